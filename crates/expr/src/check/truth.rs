//! What is known of the input where a test is true, and where it is false. It must never claim more than holds for every
//! input: reads are allowed, classes proved and tests skipped by it.

use super::Checker;
use crate::ast::Binary;
use crate::constant::Const;
use crate::facts::{Fact, Facts, Texts};
use crate::node::{Func, Kind, Node};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What holds of the input where a test is true, and where it is false; none: it never is.
type TestFacts = [Option<Facts>; 2];

impl Checker<'_> {
    /// What holds of the input where a test is true, and where it is false; none: it never is. Both are derived at once:
    /// one after the other would double the work with each `? :` in a test, which a hostile text could nest.
    pub(crate) fn facts(&self, node: &Node) -> TestFacts {
        match &node.kind {
            Kind::Const(Const::Bool(value)) => {
                [value.then(Facts::default), (!value).then(Facts::default)]
            }
            Kind::Not(a) => swapped(self.facts(a)),
            Kind::And(parts) => self.facts_of_and(parts),
            Kind::Or(parts) => self.facts_of_or(parts),
            Kind::If(test, yes, no) => self.facts_of_if(test, yes, no),
            Kind::Let(_, _, body) => self.facts(body),
            Kind::Local(slot) => {
                let local = self.names.iter().find(|n| n.slot == *slot);
                let facts = local.and_then(|local| local.facts.clone());
                facts.unwrap_or_else(nothing)
            }
            Kind::Has(of) => self.facts_about(of, presence(true), presence(false)),
            Kind::Binary(Binary::Equal, a, b) => self.facts_of_equal(a, b),
            Kind::Binary(Binary::Unequal, a, b) => swapped(self.facts_of_equal(a, b)),
            Kind::InSet(of, Const::TextSet(set)) => {
                self.facts_of_texts(of, set.iter().cloned().collect())
            }
            Kind::Call(Func::StartsWith, args) => match args[1].as_text() {
                Some(text) => self.facts_of_prefixes(&args[0], std::slice::from_ref(text)),
                None => nothing(),
            },
            Kind::BeginsWithAny(of, all) => self.facts_of_prefixes(of, all),
            _ => nothing(),
        }
    }

    /// `a && b && ...`: where it is true all parts are, where it is false one of them is.
    fn facts_of_and(&self, parts: &[Node]) -> TestFacts {
        let mut all_true = Some(Facts::default());
        let mut one_false = None;
        for part in parts {
            let [when_true, when_false] = self.facts(part);
            all_true = all_true.and_then(|known| known.meet(when_true?));
            one_false = Facts::join(one_false, when_false);
        }
        [all_true, one_false]
    }

    /// `a || b || ...`: where it is true one part is, where it is false all of them are.
    fn facts_of_or(&self, parts: &[Node]) -> TestFacts {
        let mut one_true = None;
        let mut all_false = Some(Facts::default());
        for part in parts {
            let [when_true, when_false] = self.facts(part);
            all_false = all_false.and_then(|known| known.meet(when_false?));
            one_true = Facts::join(one_true, when_true);
        }
        [one_true, all_false]
    }

    /// `test ? yes : no`: what holds on either branch, with what the test establishes for it.
    fn facts_of_if(&self, test: &Node, yes: &Node, no: &Node) -> TestFacts {
        let [when_yes, when_no] = self.facts(test);
        let [yes_true, yes_false] = self.facts(yes);
        let [no_true, no_false] = self.facts(no);
        let on = |branch: &Option<Facts>, side: Option<Facts>| branch.clone()?.meet(side?);
        [
            Facts::join(on(&when_yes, yes_true), on(&when_no, no_true)),
            Facts::join(on(&when_yes, yes_false), on(&when_no, no_false)),
        ]
    }

    /// `a == b`, of which one is a text that is written out.
    fn facts_of_equal(&self, a: &Node, b: &Node) -> TestFacts {
        match (a.as_text(), b.as_text()) {
            (None, Some(text)) => self.facts_of_texts(a, BTreeSet::from([text.clone()])),
            (Some(text), None) => self.facts_of_texts(b, BTreeSet::from([text.clone()])),
            _ => nothing(),
        }
    }

    /// A value is one of these texts.
    fn facts_of_texts(&self, of: &Node, texts: BTreeSet<Arc<str>>) -> TestFacts {
        match with_default(of) {
            // The default is none of them: the value is there, and is one of them.
            Some((of, default)) if !texts.contains(default) => {
                let is_one = Fact {
                    present: Some(true),
                    texts: Texts::In(texts),
                    ..Fact::default()
                };
                self.facts_about(of, is_one, Fact::default())
            }
            _ => {
                let is_none = Fact {
                    texts: Texts::NotIn(texts.clone()),
                    ..Fact::default()
                };
                let is_one = Fact {
                    texts: Texts::In(texts),
                    ..Fact::default()
                };
                self.facts_about(of, is_one, is_none)
            }
        }
    }

    /// A text begins with one of these.
    fn facts_of_prefixes(&self, of: &Node, prefixes: &[Arc<str>]) -> TestFacts {
        let set: BTreeSet<Arc<str>> = prefixes.iter().cloned().collect();
        let begins = Fact {
            prefixes: Some(set.clone()),
            ..Fact::default()
        };
        let never_begins = Fact {
            not_prefixes: set,
            ..Fact::default()
        };
        self.facts_about(of, begins, never_begins)
    }

    /// Facts about the place that a node reads, if it reads one.
    fn facts_about(&self, of: &Node, when_true: Fact, when_false: Fact) -> TestFacts {
        let Some(path) = self.path(of) else {
            return nothing();
        };
        let when_true = Facts::one(path.clone(), when_true);
        let when_false = Facts::one(path, when_false);
        [Some(when_true), Some(when_false)]
    }
}

/// A test that establishes nothing.
fn nothing() -> TestFacts {
    [Some(Facts::default()), Some(Facts::default())]
}

/// The facts of the opposite test.
fn swapped([when_true, when_false]: TestFacts) -> TestFacts {
    [when_false, when_true]
}

/// Whether a value is there.
pub(super) fn presence(present: bool) -> Fact {
    Fact {
        present: Some(present),
        ..Fact::default()
    }
}

/// An optional value and the default that it is read with, where that is a text that is written out.
fn with_default(node: &Node) -> Option<(&Node, &Arc<str>)> {
    match &node.kind {
        Kind::OrValue(of, default) => Some((of, default.as_text()?)),
        _ => None,
    }
}
