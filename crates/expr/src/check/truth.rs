//! Derives the facts that hold where a test is true and where it is false. They must hold for every
//! input: reads of optional values are allowed, request classes are proved and tests are skipped on
//! their basis.

use super::Checker;
use crate::ast::Binary;
use crate::constant::Const;
use crate::facts::{Fact, Facts, Texts};
use crate::node::{Func, Kind, Node};
use std::collections::BTreeSet;
use std::sync::Arc;

/// Facts where a test is true and where it is false; `None` if that never happens.
type TestFacts = [Option<Facts>; 2];

impl Checker<'_> {
    /// Facts where a test is true and where it is false; `None` if that never happens. Both are
    /// derived in one pass: two passes would double the work with each `? :` in a test, which a
    /// hostile text could nest.
    pub(crate) fn facts(&self, node: &Node) -> TestFacts {
        match &node.kind {
            Kind::Const(Const::Bool(value)) => {
                [value.then(Facts::default), (!value).then(Facts::default)]
            }
            Kind::Not(a) => negated(self.facts(a)),
            Kind::And(parts) => self.facts_of_and(parts),
            Kind::Or(parts) => self.facts_of_or(parts),
            Kind::If(test, then, otherwise) => self.facts_of_if(test, then, otherwise),
            Kind::Let(_, _, body) => self.facts(body),
            Kind::Local(slot) => {
                let local = self.locals.iter().find(|n| n.slot == *slot);
                let facts = local.and_then(|local| local.facts.clone());
                facts.unwrap_or_else(no_facts)
            }
            Kind::Has(of) => self.facts_about(of, presence(true), presence(false)),
            Kind::Binary(Binary::Equal, a, b) => self.facts_of_equal(a, b),
            Kind::Binary(Binary::Unequal, a, b) => negated(self.facts_of_equal(a, b)),
            Kind::InSet(of, Const::TextSet(set)) => {
                self.facts_of_texts(of, set.iter().cloned().collect())
            }
            Kind::Call(Func::StartsWith, args) => match args[1].as_text() {
                Some(text) => self.facts_of_prefixes(&args[0], std::slice::from_ref(text)),
                None => no_facts(),
            },
            Kind::BeginsWithAny(of, all) => self.facts_of_prefixes(of, all),
            _ => no_facts(),
        }
    }

    /// `a && b && ...`: all parts are true where it is true, one part is false where it is false.
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

    /// `a || b || ...`: one part is true where it is true, all parts are false where it is false.
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

    /// `test ? then : otherwise`: the facts of either branch, combined with those of the test.
    fn facts_of_if(&self, test: &Node, then: &Node, otherwise: &Node) -> TestFacts {
        let [test_true, test_false] = self.facts(test);
        let [then_true, then_false] = self.facts(then);
        let [otherwise_true, otherwise_false] = self.facts(otherwise);
        let combine = |branch: &Option<Facts>, side: Option<Facts>| branch.clone()?.meet(side?);
        [
            Facts::join(
                combine(&test_true, then_true),
                combine(&test_false, otherwise_true),
            ),
            Facts::join(
                combine(&test_true, then_false),
                combine(&test_false, otherwise_false),
            ),
        ]
    }

    /// `a == b`, where one side is a constant text.
    fn facts_of_equal(&self, a: &Node, b: &Node) -> TestFacts {
        match (a.as_text(), b.as_text()) {
            (None, Some(text)) => self.facts_of_texts(a, BTreeSet::from([text.clone()])),
            (Some(text), None) => self.facts_of_texts(b, BTreeSet::from([text.clone()])),
            _ => no_facts(),
        }
    }

    /// The value of a node is one of these texts.
    fn facts_of_texts(&self, of: &Node, texts: BTreeSet<Arc<str>>) -> TestFacts {
        match with_default(of) {
            // The default is none of the texts, so where the test is true the value is present and
            // is one of them.
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

    /// The value of a node begins with one of these texts.
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

    /// Facts about the path that a node reads, if there is one.
    fn facts_about(&self, of: &Node, when_true: Fact, when_false: Fact) -> TestFacts {
        let Some(path) = self.path(of) else {
            return no_facts();
        };
        let when_true = Facts::one(path.clone(), when_true);
        let when_false = Facts::one(path, when_false);
        [Some(when_true), Some(when_false)]
    }
}

/// A test that proves no facts.
fn no_facts() -> TestFacts {
    [Some(Facts::default()), Some(Facts::default())]
}

/// The facts of the negated test.
fn negated([when_true, when_false]: TestFacts) -> TestFacts {
    [when_false, when_true]
}

/// The fact that a value is present, or that it is absent.
pub(super) fn presence(present: bool) -> Fact {
    Fact {
        present: Some(present),
        ..Fact::default()
    }
}

/// The optional value and the constant text default of `value.orValue(default)`.
fn with_default(node: &Node) -> Option<(&Node, &Arc<str>)> {
    match &node.kind {
        Kind::OrValue(of, default) => Some((of, default.as_text()?)),
        _ => None,
    }
}
