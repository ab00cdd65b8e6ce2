//! The values that an expression may have, each with what is known of the input where it has it.

use super::truth::presence;
use super::Checker;
use crate::constant::{Const, ConstMap};
use crate::facts::{Fact, Facts, Path, Texts};
use crate::node::{Kind, Node};
use std::collections::BTreeSet;
use std::ops::Range;

/// Most values of one expression. With more, a hostile text could make the work on them long.
const MAX_LEAVES: usize = 512;

/// A value that an expression may have, and what is known of the input where it has it.
pub(crate) enum Leaf {
    /// This constant.
    Const(Const),
    /// The value of this place of the input.
    Place(Path),
    /// A value that is known only when it is evaluated.
    Unknown,
}

/// Values with what is known of the input, and the bytes of the text that give them.
pub(crate) type Leaves = Vec<(Leaf, Facts, Range<usize>)>;

impl Checker<'_> {
    /// All values that an expression may have, given what is known; none: too many to tell apart.
    pub(crate) fn leaves(&self, node: &Node, facts: &Facts) -> Option<Leaves> {
        let mut found = Vec::new();
        self.gather(node, facts.clone(), &mut Vec::new(), &mut found)?;
        Some(found)
    }

    /// Adds the values of a node to `found`; none: there are too many.
    fn gather<'n>(
        &self,
        node: &'n Node,
        facts: Facts,
        lets: &mut Vec<(u16, &'n Node)>,
        found: &mut Leaves,
    ) -> Option<()> {
        if found.len() >= MAX_LEAVES {
            return None;
        }
        let span = node.span.clone();
        match &node.kind {
            Kind::If(test, yes, no) => {
                let [when_yes, when_no] = self.facts(test);
                for (when, side) in [(when_yes, yes), (when_no, no)] {
                    if let Some(known) = when.and_then(|when| facts.clone().meet(when)) {
                        self.gather(side, known, lets, found)?;
                    }
                }
            }
            Kind::Let(slot, value, body) => {
                lets.push((*slot, value));
                self.gather(body, facts, lets, found)?;
            }
            Kind::Local(slot) => match lets.iter().find(|(s, _)| s == slot) {
                Some((_, value)) => self.gather(value, facts, lets, found)?,
                None => found.push((Leaf::Unknown, facts, span)),
            },
            Kind::Sure(of) => self.gather(of, facts, lets, found)?,
            Kind::OrValue(of, default) => match &of.kind {
                Kind::Lookup(map, key) if map.as_const().is_some() => {
                    let Some(Const::Map(map)) = map.as_const() else {
                        return None;
                    };
                    let key = self.path(key);
                    let rest = entries(map, key, &facts, &span, found);
                    if let Some(known) = rest {
                        self.gather(default, known, lets, found)?;
                    }
                }
                _ => {
                    let path = self.path(of);
                    if let Some(known) = with(&facts, path.clone(), presence(true)) {
                        let leaf = path.clone().map_or(Leaf::Unknown, Leaf::Place);
                        found.push((leaf, known, of.span.clone()));
                    }
                    if let Some(known) = with(&facts, path, presence(false)) {
                        self.gather(default, known, lets, found)?;
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

/// Each value of a map that is written out, where the key is that value's; what is known where the key is none of them.
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
        if let Some(known) = with(facts, key.clone(), is_this) {
            found.push((Leaf::Const(value.clone()), known, span.clone()));
        }
    }
    let is_none = Fact {
        texts: Texts::NotIn(map.entries.keys().cloned().collect()),
        ..Fact::default()
    };
    with(facts, key, is_none)
}

/// What is known where a fact holds of a place as well; none: that contradicts it.
fn with(known: &Facts, path: Option<Path>, fact: Fact) -> Option<Facts> {
    match path {
        Some(path) => known.clone().meet(Facts::one(path, fact)),
        None => Some(known.clone()),
    }
}
