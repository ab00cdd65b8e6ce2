//! Finds what reading a file can reuse from the rules in force: unchanged rules, and the state of
//! equal limits.

use crate::content_hash::ContentHash;
use crate::environment::Environment;
use crate::limit::Limit;
use crate::rule::{LimitSpec, Rule};
use crate::rules::Rules;
use std::cell::OnceCell;
use std::collections::HashMap;
use std::sync::Arc;

/// The rules in force, indexed for reading another file.
pub(crate) struct PreviousRules<'a> {
    rules: &'a [Arc<Rule>],
    /// Indices of the rules, sorted by content hash; empty if the environment has changed.
    by_content: Vec<u32>,
    /// Indices of the rules by name; built when the first rule with a limit is compiled.
    by_name: OnceCell<HashMap<&'a str, u32>>,
}

impl<'a> PreviousRules<'a> {
    /// Indexes the rules in force, if there are any, for a file that is read in this environment.
    pub(crate) fn new(previous: Option<&'a Rules>, environment: &Environment) -> PreviousRules<'a> {
        let rules = previous.map_or(&[][..], |previous| &previous.set.rules);
        let is_same = previous.is_some_and(|previous| *previous.set.environment == *environment);
        let comparable = if is_same { rules.len() as u32 } else { 0 };
        let mut by_content: Vec<u32> = (0..comparable).collect();
        by_content.sort_unstable_by_key(|index| rules[*index as usize].content);
        PreviousRules {
            rules,
            by_content,
            by_name: OnceCell::new(),
        }
    }

    /// Returns the rule that was read from this content in an equal environment.
    pub(crate) fn rule(&self, content: ContentHash) -> Option<&'a Arc<Rule>> {
        let found = self
            .by_content
            .binary_search_by_key(&content, |index| self.rules[*index as usize].content);
        self.rules.get(self.by_content[found.ok()?] as usize)
    }

    /// Returns the limit of the rule with this name, with its state, if its configuration equals
    /// `spec`.
    pub(crate) fn limit(&self, rule: &str, spec: &LimitSpec) -> Option<Arc<Limit>> {
        let names = || {
            self.rules
                .iter()
                .zip(0..)
                .map(|(rule, index)| (&*rule.name, index))
                .collect()
        };
        let index = *self.by_name.get_or_init(names).get(rule)?;
        let limit = self.rules.get(index as usize)?.limit.as_deref()?;
        (limit.spec == *spec).then(|| limit.limit.clone())
    }
}
