//! What the reading of a file takes over from the rules in force: unchanged rules, and the states of equal limits.

use crate::content_hash::ContentHash;
use crate::environment::Environment;
use crate::limit::Limit;
use crate::rule::{LimitSpec, Rule};
use crate::rules::Rules;
use std::cell::OnceCell;
use std::collections::HashMap;
use std::sync::Arc;

/// The rules in force, as the reading of another file sees them.
pub(crate) struct Previous<'a> {
    rules: &'a [Arc<Rule>],
    /// Numbers of the rules in the order of their contents; empty where the environment is another one.
    by_content: Vec<u32>,
    /// Filled when a rule with a limit is compiled.
    by_name: OnceCell<HashMap<&'a str, u32>>,
}

impl<'a> Previous<'a> {
    pub(crate) fn new(previous: Option<&'a Rules>, environment: &Environment) -> Previous<'a> {
        let rules = previous.map_or(&[][..], |previous| &previous.set.rules);
        let is_same = previous.is_some_and(|previous| *previous.set.environment == *environment);
        let comparable = if is_same { rules.len() as u32 } else { 0 };
        let mut by_content: Vec<u32> = (0..comparable).collect();
        by_content.sort_unstable_by_key(|number| rules[*number as usize].content);
        Previous {
            rules,
            by_content,
            by_name: OnceCell::new(),
        }
    }

    /// The rule that was read from this content in an equal environment.
    pub(crate) fn rule(&self, content: ContentHash) -> Option<&'a Arc<Rule>> {
        let found = self
            .by_content
            .binary_search_by_key(&content, |number| self.rules[*number as usize].content);
        self.rules.get(self.by_content[found.ok()?] as usize)
    }

    /// The state of an equal limit.
    pub(crate) fn limit(&self, rule: &str, spec: &LimitSpec) -> Option<Arc<Limit>> {
        let names = || {
            self.rules
                .iter()
                .zip(0..)
                .map(|(rule, number)| (&*rule.name, number))
                .collect()
        };
        let number = *self.by_name.get_or_init(names).get(rule)?;
        let held = self.rules.get(number as usize)?.limit.as_deref()?;
        (held.spec == *spec).then(|| held.limit.clone())
    }
}
