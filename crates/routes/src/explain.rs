//! A request's way through a file of rules, rule by rule and part by part. It keeps the checked expressions with
//! their texts, which rules in force do not: it is for people at a terminal, not for serving.

use crate::environment::Catalog;
use crate::fault::Fault;
use crate::read::{read, Input, ReadOptions};
use crate::request::{Request, View};
use crate::rule::CheckedRule;
use crate::rules::Rules;
use driftgap_expr::{Chosen, Scratch, Step};

/// A rule's part in the explanation of a request's way.
#[derive(Clone, Debug)]
pub struct Explained {
    /// The rule.
    pub rule: String,
    /// Whether it matched.
    pub matched: bool,
    /// The index had ruled it out: its test was not looked at.
    pub ruled_out: bool,
    /// An earlier rule had ended the way.
    pub behind: bool,
    /// Its test, and the expressions of what it does where it matched, with each part's value.
    pub parts: Vec<(String, Vec<Step>)>,
}

/// A file of rules that can be explained.
pub struct Explainer {
    rules: Rules,
    checked: Vec<CheckedRule>,
}

impl Explainer {
    /// Reads a file as [`Rules::read_part`] does.
    ///
    /// # Errors
    /// Every fault of the file.
    pub fn read(
        text: &str,
        file: &str,
        part: Option<&str>,
        catalog: &Catalog,
    ) -> Result<Explainer, Vec<Fault>> {
        let mut checked = Vec::new();
        let input = Input {
            text,
            file,
            part,
            catalog,
        };
        let rules = read(&input, &ReadOptions::default(), Some(&mut checked))?;
        Ok(Explainer { rules, checked })
    }

    /// The rules.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// A request's way rule by rule.
    pub fn explain(&self, request: &Request<'_>) -> Vec<Explained> {
        let view = View::new(request);
        let mut chosen = Chosen::default();
        self.rules.set.selector.choose(&view, &mut chosen);
        let chosen: Vec<usize> = chosen.iter().collect();
        let mut behind = false;
        let mut all = Vec::with_capacity(self.checked.len());
        for (number, rule) in self.checked.iter().enumerate() {
            let ruled_out = chosen.binary_search(&number).is_err();
            let matched = rule.when.test(&view, &mut Scratch::default()) == Ok(true);
            let mut parts = vec![("when".to_string(), rule.when.explain(&view))];
            if matched && !behind {
                let actions = rule
                    .parts
                    .iter()
                    .map(|(name, part)| (name.to_string(), part.explain(&view)));
                parts.extend(actions);
            }
            all.push(Explained {
                rule: rule.name.clone(),
                matched,
                ruled_out,
                behind,
                parts,
            });
            behind |= matched && !rule.goes_on;
        }
        all
    }
}
