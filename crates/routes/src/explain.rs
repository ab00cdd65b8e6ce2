//! Explains at a terminal how a file of rules routes a request, rule by rule and expression by
//! expression. For this it keeps the checked expressions with their texts, which rules in force do
//! not.

use crate::environment::Catalog;
use crate::fault::Fault;
use crate::read::read;
use crate::read_options::{Input, ReadOptions};
use crate::request::{Request, View};
use crate::rule::CheckedRule;
use crate::rules::Rules;
use driftgap_expr::{Chosen, Scratch, Step};

/// How one rule applies to a request.
#[derive(Clone, Debug)]
pub struct RuleExplanation {
    /// The name of the rule.
    pub rule: String,
    /// Whether the rule's test holds for the request.
    pub matched: bool,
    /// Whether the index excludes the rule, so that its test is not evaluated when serving.
    pub ruled_out: bool,
    /// Whether an earlier rule ended the evaluation.
    pub skipped: bool,
    /// The rule's test and, if it matched, the expressions of its actions, each with its steps and
    /// their values.
    pub expressions: Vec<(String, Vec<Step>)>,
}

/// A file of rules whose effect on requests can be explained.
pub struct Explainer {
    rules: Rules,
    checked: Vec<CheckedRule>,
}

impl Explainer {
    /// Reads a file as [`Rules::read_table`] does.
    ///
    /// # Errors
    /// Every fault of the file, 100 at most.
    pub fn read(
        text: &str,
        file: &str,
        table_name: Option<&str>,
        catalog: &Catalog,
    ) -> Result<Explainer, Vec<Fault>> {
        let mut checked = Vec::new();
        let input = Input {
            text,
            file,
            table_name,
            catalog,
        };
        let rules = read(&input, &ReadOptions::default(), Some(&mut checked))?;
        Ok(Explainer { rules, checked })
    }

    /// Returns the rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Explains how every rule of the file applies to a request.
    pub fn explain(&self, request: &Request<'_>) -> Vec<RuleExplanation> {
        let view = View::new(request);
        let mut chosen = Chosen::default();
        self.rules.set.selector.choose(&view, &mut chosen);
        let chosen: Vec<usize> = chosen.iter().collect();
        let mut skipped = false;
        let mut all = Vec::with_capacity(self.checked.len());
        for (number, rule) in self.checked.iter().enumerate() {
            let ruled_out = chosen.binary_search(&number).is_err();
            let matched = rule.when.test(&view, &mut Scratch::default()) == Ok(true);
            let mut expressions = vec![("when".to_string(), rule.when.explain(&view))];
            if matched && !skipped {
                let actions = rule
                    .actions
                    .iter()
                    .map(|(kind, action)| (kind.to_string(), action.explain(&view)));
                expressions.extend(actions);
            }
            all.push(RuleExplanation {
                rule: rule.name.clone(),
                matched,
                ruled_out,
                skipped,
                expressions,
            });
            skipped |= matched && !rule.continues;
        }
        all
    }
}
