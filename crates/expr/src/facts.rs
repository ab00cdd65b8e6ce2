//! Facts about the input that hold where an expression is evaluated: which fields are present,
//! which texts they may hold, and how those begin. `join` keeps what holds in either of two cases,
//! `meet` combines what holds in both at once. Facts must never claim more than holds for every
//! input: type narrowing, effects and the index over rules depend on them.

use crate::schema::FieldId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Maximum number of texts kept for one path; a larger set is dropped, which loses facts but adds
/// none.
const MAX_TEXTS: usize = 8192;

/// A path to a value that facts can be about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Path {
    /// A field.
    Field(FieldId),
    /// An entry of a map by its key.
    Key(FieldId, String),
    /// An item of a list by its index.
    Item(FieldId, i64),
    /// A local variable of the expression, by its slot.
    Local(u16),
}

type TextSet = BTreeSet<Arc<str>>;

/// The texts that a path may hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Texts {
    /// One of these.
    In(TextSet),
    /// None of these.
    NotIn(TextSet),
}

/// What is known about the value at one path.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// Whether the value is present, if that is known.
    pub present: Option<bool>,
    /// The texts that the value may be.
    pub texts: Texts,
    /// The value begins with one of these.
    pub prefixes: Option<TextSet>,
    /// The value begins with none of these.
    pub not_prefixes: TextSet,
}

impl Default for Fact {
    fn default() -> Fact {
        let texts = Texts::NotIn(TextSet::new());
        Fact {
            present: None,
            texts,
            prefixes: None,
            not_prefixes: TextSet::new(),
        }
    }
}

impl Fact {
    fn known_prefixes(&self) -> Option<&TextSet> {
        match &self.texts {
            Texts::In(texts) => Some(texts),
            Texts::NotIn(_) => self.prefixes.as_ref(),
        }
    }

    /// The fact that holds in either of two cases; `None` if nothing is known.
    fn join(self, other: Fact) -> Option<Fact> {
        let prefixes = match (self.known_prefixes(), other.known_prefixes()) {
            // The texts are known exactly, so prefixes add nothing.
            _ if matches!((&self.texts, &other.texts), (Texts::In(_), Texts::In(_))) => None,
            (Some(a), Some(b)) if a.len() + b.len() <= MAX_TEXTS => {
                Some(a.union(b).cloned().collect())
            }
            _ => None,
        };
        let not_prefixes = match (&self.texts, &other.texts) {
            // A set of texts excludes each prefix that none of its texts has.
            (Texts::In(texts), _) => still_excluded(&other.not_prefixes, texts, &self.not_prefixes),
            (_, Texts::In(texts)) => still_excluded(&self.not_prefixes, texts, &other.not_prefixes),
            _ => self
                .not_prefixes
                .intersection(&other.not_prefixes)
                .cloned()
                .collect(),
        };
        let texts = match (self.texts, other.texts) {
            (Texts::In(mut a), Texts::In(mut b)) => {
                if a.len() < b.len() {
                    std::mem::swap(&mut a, &mut b);
                }
                a.extend(b);
                Texts::In(a)
            }
            (Texts::In(a), Texts::NotIn(b)) | (Texts::NotIn(b), Texts::In(a)) => {
                Texts::NotIn(b.difference(&a).cloned().collect())
            }
            (Texts::NotIn(a), Texts::NotIn(b)) => {
                Texts::NotIn(a.intersection(&b).cloned().collect())
            }
        };
        let texts = match texts {
            Texts::In(all) if all.len() > MAX_TEXTS => Texts::NotIn(TextSet::new()),
            texts => texts,
        };
        let present = if self.present == other.present {
            self.present
        } else {
            None
        };
        let fact = Fact {
            present,
            texts,
            prefixes,
            not_prefixes,
        };
        (fact != Fact::default()).then_some(fact)
    }

    /// The fact where both hold; `None` if they contradict each other.
    fn meet(self, other: Fact) -> Option<Fact> {
        let present = match (self.present, other.present) {
            (Some(a), Some(b)) if a != b => return None,
            (a, b) => a.or(b),
        };
        let texts = match (self.texts, other.texts) {
            (Texts::In(a), Texts::In(b)) => Texts::In(a.intersection(&b).cloned().collect()),
            (Texts::In(a), Texts::NotIn(b)) | (Texts::NotIn(b), Texts::In(a)) => {
                Texts::In(a.difference(&b).cloned().collect())
            }
            (Texts::NotIn(mut a), Texts::NotIn(b)) => {
                a.extend(b);
                Texts::NotIn(a)
            }
        };
        let mut not_prefixes = self.not_prefixes;
        not_prefixes.extend(other.not_prefixes);
        // Both sets hold; the smaller one restricts more.
        let prefixes = match (self.prefixes, other.prefixes) {
            (Some(a), Some(b)) => Some(if a.len() <= b.len() { a } else { b }),
            (a, b) => a.or(b),
        };
        let texts = match texts {
            Texts::In(mut all) => {
                let begins =
                    |text: &str, with: &TextSet| with.iter().any(|p| text.starts_with(&**p));
                all.retain(|text| prefixes.as_ref().is_none_or(|p| begins(text, p)));
                all.retain(|text| !begins(text, &not_prefixes));
                if all.is_empty() {
                    return None;
                }
                Texts::In(all)
            }
            texts => texts,
        };
        Some(Fact {
            present,
            texts,
            prefixes,
            not_prefixes,
        })
    }

    /// Whether a value with this fact cannot begin with `prefix`.
    pub fn never_begins(&self, prefix: &str) -> bool {
        if self.not_prefixes.iter().any(|p| prefix.starts_with(&**p)) {
            return true;
        }
        let disjoint = |known: &str| !known.starts_with(prefix) && !prefix.starts_with(known);
        match &self.texts {
            Texts::In(texts) => texts.iter().all(|text| !text.starts_with(prefix)),
            Texts::NotIn(_) => self
                .prefixes
                .as_ref()
                .is_some_and(|all| all.iter().all(|p| disjoint(p))),
        }
    }
}

/// The excluded prefixes of one fact that none of `texts` has, or that `other` excludes as well.
fn still_excluded(excluded: &TextSet, texts: &TextSet, other: &TextSet) -> TextSet {
    let kept =
        |p: &&Arc<str>| other.contains(*p) || texts.iter().all(|text| !text.starts_with(&***p));
    excluded.iter().filter(kept).cloned().collect()
}

/// All facts about the input, by path.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Facts(BTreeMap<Path, Fact>);

impl Facts {
    /// Facts about a single path.
    pub(crate) fn one(path: Path, fact: Fact) -> Facts {
        Facts(BTreeMap::from([(path, fact)]))
    }

    /// The fact about a path, if there is one.
    pub fn get(&self, path: &Path) -> Option<&Fact> {
        self.0.get(path)
    }

    /// All paths with their facts.
    pub fn iter(&self) -> impl Iterator<Item = (&Path, &Fact)> {
        self.0.iter()
    }

    /// Whether the value at a path is known to be present.
    pub fn present(&self, path: &Path) -> bool {
        self.get(path)
            .is_some_and(|fact| fact.present == Some(true))
    }

    /// Whether the value at a path is known to be absent.
    pub fn absent(&self, path: &Path) -> bool {
        self.get(path)
            .is_some_and(|fact| fact.present == Some(false))
    }

    /// The texts of which the path holds one, if they are known.
    pub fn texts(&self, path: &Path) -> Option<impl Iterator<Item = &str>> {
        match &self.get(path)?.texts {
            Texts::In(texts) => Some(texts.iter().map(|text| &**text)),
            Texts::NotIn(_) => None,
        }
    }

    /// Facts that hold in either of two cases; `None` stands for a case that never occurs.
    pub(crate) fn join(a: Option<Facts>, b: Option<Facts>) -> Option<Facts> {
        let (a, mut b) = match (a, b) {
            (Some(a), Some(b)) => (a, b),
            (a, b) => return a.or(b),
        };
        let joined = a.0.into_iter().filter_map(|(path, fact)| {
            let other = b.0.remove(&path)?;
            Some((path, fact.join(other)?))
        });
        Some(Facts(joined.collect()))
    }

    /// Facts where both sets hold; `None` if they contradict each other.
    pub fn meet(self, other: Facts) -> Option<Facts> {
        let (mut large, small) = if self.0.len() < other.0.len() {
            (other, self)
        } else {
            (self, other)
        };
        for (path, fact) in small.0 {
            let fact = match large.0.remove(&path) {
                Some(known) => known.meet(fact)?,
                None => fact,
            };
            large.0.insert(path, fact);
        }
        Some(large)
    }
}

#[cfg(test)]
mod tests;
