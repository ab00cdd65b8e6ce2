//! An index over the tests of a file: which of a thousand can be true for an input at all. It owns the choice
//! of the place that a test is found by, one look-up of equal texts and one automaton of beginnings for each
//! such place. It must never leave out a test that could be true: what is left in is evaluated as before.

use crate::facts::{Facts, Path, Texts};
use crate::program::Begins;
use crate::schema::{FieldId, Input, Value};
use rapidhash::RapidHashMap;
use std::collections::BTreeMap;
use std::sync::Arc;

/// A test that is found by more texts than this is always looked at.
const MOST_TEXTS: usize = 4096;

/// Tests found by one field.
struct Place {
    field: FieldId,
    /// Tests by a text that the field must be.
    equal: RapidHashMap<Arc<str>, Vec<u32>>,
    /// Beginnings that the field must have, and their tests.
    begins: Option<Begins>,
    tests: Vec<Vec<u32>>,
}

/// The index.
pub struct Selector {
    places: Vec<Place>,
    /// Tests that are always looked at, as a set of bits.
    always: Vec<u64>,
    count: usize,
}

/// The tests that were chosen, kept for the next time so that nothing is allocated again.
#[derive(Clone, Debug, Default)]
pub struct Chosen(Vec<u64>);

impl Chosen {
    /// The tests' numbers, from the lowest.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        self.0.iter().enumerate().flat_map(|(word, bits)| {
            let mut bits = *bits;
            std::iter::from_fn(move || {
                let bit = bits.trailing_zeros() as usize;
                (bits != 0).then(|| {
                    bits &= bits - 1;
                    64 * word + bit
                })
            })
        })
    }

    fn add(&mut self, tests: &[u32]) {
        for test in tests {
            self.0[*test as usize / 64] |= 1 << (test % 64);
        }
    }
}

impl Selector {
    /// An index over tests by what is known wherever each is true, in order; none: it never is.
    pub fn new<'a>(tests: impl Iterator<Item = Option<&'a Facts>>) -> Selector {
        type Found = (RapidHashMap<Arc<str>, Vec<u32>>, BTreeMap<Arc<str>, Vec<u32>>);
        let mut found: BTreeMap<FieldId, Found> = BTreeMap::new();
        let (mut always, mut count) = (Vec::new(), 0);
        for facts in tests {
            let test = count as u32;
            if count % 64 == 0 {
                always.push(0);
            }
            count += 1;
            let Some(facts) = facts else { continue };
            match place(facts) {
                Some((field, true, texts)) => {
                    let (equal, _) = found.entry(field).or_default();
                    texts.into_iter().for_each(|text| equal.entry(text).or_default().push(test));
                }
                Some((field, false, texts)) => {
                    let (_, begins) = found.entry(field).or_default();
                    texts.into_iter().for_each(|text| begins.entry(text).or_default().push(test));
                }
                None => always[test as usize / 64] |= 1 << (test % 64),
            }
        }
        let mut places = Vec::new();
        for (field, (equal, begins)) in found {
            let (texts, tests): (Vec<_>, Vec<_>) = begins.into_iter().unzip();
            let automaton = if texts.is_empty() { None } else { Begins::new(&texts) };
            if automaton.is_none() {
                // Too large for an automaton: always looked at.
                for test in tests.iter().flatten() {
                    always[*test as usize / 64] |= 1 << (test % 64);
                }
            }
            places.push(Place { field, equal, begins: automaton, tests });
        }
        Selector { places, always, count }
    }

    /// Tests that are always looked at.
    pub fn unindexed(&self) -> usize {
        self.always.iter().map(|word| word.count_ones() as usize).sum()
    }

    /// Tests in all.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Chooses the tests that may be true for an input.
    pub fn choose(&self, input: &dyn Input, chosen: &mut Chosen) {
        chosen.0.clear();
        chosen.0.extend_from_slice(&self.always);
        for place in &self.places {
            let Some(Value::Text(text)) = input.get(place.field) else { continue };
            if let Some(tests) = place.equal.get(text) {
                chosen.add(tests);
            }
            if let Some(begins) = &place.begins {
                begins.each(text, |pattern| {
                    chosen.add(&place.tests[pattern]);
                    true
                });
            }
        }
    }
}

/// The field, and the texts that it must be (`true`) or begin with, by which a test is found best.
fn place(facts: &Facts) -> Option<(FieldId, bool, Vec<Arc<str>>)> {
    let candidates = facts.iter().filter_map(|(path, fact)| {
        let Path::Field(field) = path else { return None };
        let (equal, texts) = match (&fact.texts, &fact.prefixes) {
            (Texts::In(texts), _) => (true, texts),
            (_, Some(prefixes)) => (false, prefixes),
            _ => return None,
        };
        let texts: Vec<Arc<str>> = texts.iter().cloned().collect();
        let shortest = texts.iter().map(|text| text.len()).min().unwrap_or(0);
        (texts.len() <= MOST_TEXTS && shortest > 0).then_some((shortest, *field, equal, texts))
    });
    // Long texts tell most apart: a path does, a method does not.
    candidates.max_by_key(|(shortest, ..)| *shortest).map(|(_, field, equal, texts)| (field, equal, texts))
}
