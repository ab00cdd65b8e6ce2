//! Finds the values that an expression may have, each with the facts about the input under which it
//! has them.

use super::truth::presence;
use super::Checker;
use crate::constant::{Const, ConstMap};
use crate::facts::{Fact, Facts, Path, Texts};
use crate::node::{Kind, Node};
use std::collections::BTreeSet;
use std::ops::Range;

/// Maximum number of values of one expression. It bounds the work that a hostile text can cause.
const MAX_LEAVES: usize = 512;

/// One value that an expression may have.
pub(crate) enum Leaf {
    /// A constant.
    Const(Const),
    /// The value at a path of the input.
    Place(Path),
    /// A value that only an evaluation can determine.
    Unknown,
}

/// Values with the facts under which they occur and the byte range of the text that gives them.
pub(crate) type Leaves = Vec<(Leaf, Facts, Range<usize>)>;

impl Checker<'_> {
    /// All values that an expression may have where `facts` hold; `None` if there are too many.
    pub(crate) fn leaves(&self, node: &Node, facts: &Facts) -> Option<Leaves> {
        let mut found = Vec::new();
        self.collect_leaves(node, facts.clone(), &mut Vec::new(), &mut found)?;
        Some(found)
    }

    /// Adds the values of a node to `found`; `None` if there are too many.
    fn collect_leaves<'n>(
        &self,
        node: &'n Node,
        facts: Facts,
        bindings: &mut Vec<(u16, &'n Node)>,
        found: &mut Leaves,
    ) -> Option<()> {
        if found.len() >= MAX_LEAVES {
            return None;
        }
        let span = node.span.clone();
        match &node.kind {
            Kind::If(test, then, otherwise) => {
                let [test_true, test_false] = self.facts(test);
                for (when, side) in [(test_true, then), (test_false, otherwise)] {
                    if let Some(known) = when.and_then(|when| facts.clone().meet(when)) {
                        self.collect_leaves(side, known, bindings, found)?;
                    }
                }
            }
            Kind::Let(slot, value, body) => {
                bindings.push((*slot, value));
                self.collect_leaves(body, facts, bindings, found)?;
            }
            Kind::Local(slot) => match bindings.iter().find(|(s, _)| s == slot) {
                Some((_, value)) => self.collect_leaves(value, facts, bindings, found)?,
                None => found.push((Leaf::Unknown, facts, span)),
            },
            Kind::Unwrap(of) => self.collect_leaves(of, facts, bindings, found)?,
            Kind::OrValue(of, default) => match &of.kind {
                Kind::Lookup(map, key) if map.as_const().is_some() => {
                    let Some(Const::Map(map)) = map.as_const() else {
                        return None;
                    };
                    let key = self.path(key);
                    let rest = entries(map, key, &facts, &span, found);
                    if let Some(known) = rest {
                        self.collect_leaves(default, known, bindings, found)?;
                    }
                }
                _ => {
                    let path = self.path(of);
                    if let Some(known) = with_fact(&facts, path.clone(), presence(true)) {
                        let leaf = path.clone().map_or(Leaf::Unknown, Leaf::Place);
                        found.push((leaf, known, of.span.clone()));
                    }
                    if let Some(known) = with_fact(&facts, path, presence(false)) {
                        self.collect_leaves(default, known, bindings, found)?;
                    }
                }
            },
            Kind::Const(value) => found.push((Leaf::Const(value.clone()), facts, span)),
            _ => {
                let leaf = self.path(node).map_or(Leaf::Unknown, Leaf::Place);
                found.push((leaf, facts, span));
            }
        }
        (found.len() <= MAX_LEAVES).then_some(())
    }
}

/// Adds each value of a constant map where `key` equals its key. Returns the facts where `key`
/// equals none of them.
fn entries(
    map: &ConstMap,
    key: Option<Path>,
    facts: &Facts,
    span: &Range<usize>,
    found: &mut Leaves,
) -> Option<Facts> {
    let mut entries: Vec<_> = map.entries.iter().collect();
    entries.sort_by(|a, b| a.0.cmp(b.0));
    for (name, value) in entries {
        let is_this = Fact {
            texts: Texts::In(BTreeSet::from([name.clone()])),
            ..Fact::default()
        };
        if let Some(known) = with_fact(facts, key.clone(), is_this) {
            found.push((Leaf::Const(value.clone()), known, span.clone()));
        }
    }
    let is_none = Fact {
        texts: Texts::NotIn(map.entries.keys().cloned().collect()),
        ..Fact::default()
    };
    with_fact(facts, key, is_none)
}

/// Adds a fact about a path to known facts; `None` if they contradict each other.
fn with_fact(known: &Facts, path: Option<Path>, fact: Fact) -> Option<Facts> {
    match path {
        Some(path) => known.clone().meet(Facts::one(path, fact)),
        None => Some(known.clone()),
    }
}
