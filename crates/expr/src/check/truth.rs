//! What is known of the input where a test is true, and where it is false. It must never claim more than holds
//! for every input.

use super::Checker;
use crate::ast::Binary;
use crate::constant::Const;
use crate::facts::{Fact, Facts, Texts};
use crate::node::{Func, Kind, Node};
use std::collections::BTreeSet;
use std::sync::Arc;

impl Checker<'_> {
    /// What holds of the input where a test is true, and where it is false; none: it never is. Each node is
    /// looked at once: asking for either way by itself would double the work with each `? :` in a test.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub(crate) fn facts(&self, node: &Node) -> [Option<Facts>; 2] {
        let nothing = || [Some(Facts::default()), Some(Facts::default())];
        let both = |of: &Node, yes: Fact, no: Fact| match self.path(of) {
            Some(path) => [
                Some(Facts::one(path.clone(), yes)),
                Some(Facts::one(path, no)),
            ],
            None => nothing(),
        };
        let texts = |of: &Node, all: BTreeSet<Arc<str>>| {
            let no = Fact {
                texts: Texts::NotIn(all.clone()),
                ..Fact::default()
            };
            both(
                of,
                Fact {
                    texts: Texts::In(all),
                    ..Fact::default()
                },
                no,
            )
        };
        let swapped = |[yes, no]: [Option<Facts>; 2]| [no, yes];
        match &node.kind {
            Kind::Const(Const::Bool(value)) => {
                [value.then(Facts::default), (!value).then(Facts::default)]
            }
            Kind::Not(a) => swapped(self.facts(a)),
            Kind::And(parts) | Kind::Or(parts) => {
                let and = matches!(node.kind, Kind::And(_));
                let (mut all, mut any) = (Some(Facts::default()), None);
                for part in parts {
                    let [yes, no] = self.facts(part);
                    let (each, either) = if and { (yes, no) } else { (no, yes) };
                    all = all.and_then(|known| known.meet(each?));
                    any = Facts::join(any, either);
                }
                if and {
                    [all, any]
                } else {
                    [any, all]
                }
            }
            Kind::If(test, yes, no) => {
                let ([when_yes, when_no], yes, no) =
                    (self.facts(test), self.facts(yes), self.facts(no));
                let met = |when: &Option<Facts>, side: Option<Facts>| when.clone()?.meet(side?);
                let ([yes_true, yes_false], [no_true, no_false]) = (yes, no);
                [
                    Facts::join(met(&when_yes, yes_true), met(&when_no, no_true)),
                    Facts::join(met(&when_yes, yes_false), met(&when_no, no_false)),
                ]
            }
            Kind::Let(_, _, body) => self.facts(body),
            Kind::Local(slot) => {
                let name = self.names.iter().find(|n| n.slot == *slot);
                name.and_then(|name| name.facts.clone())
                    .unwrap_or_else(nothing)
            }
            Kind::Has(of) => {
                let there = |present| Fact {
                    present: Some(present),
                    ..Fact::default()
                };
                both(of, there(true), there(false))
            }
            Kind::Binary(operator @ (Binary::Equal | Binary::Unequal), a, b) => {
                let (of, text) = match (a.as_text(), b.as_text()) {
                    (None, Some(text)) => (a, text),
                    (Some(text), None) => (b, text),
                    _ => return nothing(),
                };
                let known = match with_default(of) {
                    // Another text than the default is what is there.
                    Some((of, default)) if default != text => {
                        let texts = Texts::In(BTreeSet::from([text.clone()]));
                        both(
                            of,
                            Fact {
                                present: Some(true),
                                texts,
                                ..Fact::default()
                            },
                            Fact::default(),
                        )
                    }
                    _ => texts(of, BTreeSet::from([text.clone()])),
                };
                if *operator == Binary::Equal {
                    known
                } else {
                    swapped(known)
                }
            }
            Kind::InSet(of, Const::TextSet(set)) => match with_default(of) {
                Some((of, default)) if !set.contains(default) => {
                    let texts = Texts::In(set.iter().cloned().collect());
                    both(
                        of,
                        Fact {
                            present: Some(true),
                            texts,
                            ..Fact::default()
                        },
                        Fact::default(),
                    )
                }
                _ => texts(of, set.iter().cloned().collect()),
            },
            Kind::Call(Func::StartsWith, args) => match args[1].as_text() {
                Some(text) => both(
                    &args[0],
                    begins(std::slice::from_ref(text), true),
                    begins(std::slice::from_ref(text), false),
                ),
                None => nothing(),
            },
            Kind::BeginsWithAny(of, all) => both(of, begins(all, true), begins(all, false)),
            _ => nothing(),
        }
    }
}

/// What is optional and read with a default that is written out.
fn with_default(node: &Node) -> Option<(&Node, &Arc<str>)> {
    match &node.kind {
        Kind::OrValue(of, default) => Some((of, default.as_text()?)),
        _ => None,
    }
}

fn begins(all: &[Arc<str>], polarity: bool) -> Fact {
    let set = all.iter().cloned().collect();
    match polarity {
        true => Fact {
            prefixes: Some(set),
            ..Fact::default()
        },
        false => Fact {
            not_prefixes: set,
            ..Fact::default()
        },
    }
}
