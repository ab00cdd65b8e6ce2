//! Index over many tests, such as those of a file of rules: finds the tests that can be true for an
//! input. It may choose a test that turns out to be false, but must never leave out one that is
//! true.

use crate::schema::{FieldId, Input, Value};
use crate::select_key::SelectKey;
use crate::text_index::{ExactIndex, PrefixIndex};
use std::collections::BTreeMap;
use std::iter::Peekable;
use std::sync::Arc;

/// Index of the tests that are found by one field.
struct FieldIndex {
    field: FieldId,
    /// Tests by a text that the field must equal.
    equal: ExactIndex,
    /// Tests by a text that the field must begin with.
    prefixes: PrefixIndex,
}

/// Index over tests. A test's number is the position of its key in [`Selector::new`].
pub struct Selector {
    fields: Vec<FieldIndex>,
    /// Tests that are chosen for every input, in ascending order.
    always: Arc<[u32]>,
    count: usize,
}

/// Texts by which tests are found through one field, with the numbers of the tests.
#[derive(Default)]
struct FieldTexts {
    equal: Vec<(Arc<str>, u32)>,
    prefixes: Vec<(Arc<str>, u32)>,
}

/// Tests chosen for an input, kept for the next input to avoid allocations.
#[derive(Clone, Debug, Default)]
pub struct Chosen {
    /// Tests found by a text, in ascending order without duplicates.
    found: Vec<u32>,
    /// Tests chosen for every input, in ascending order; none of them is in `found`.
    always: Arc<[u32]>,
}

impl Chosen {
    /// The numbers of the chosen tests in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let (mut found, mut always) = (self.found.iter().peekable(), self.always.iter().peekable());
        std::iter::from_fn(move || next_lower(&mut found, &mut always)).map(|test| test as usize)
    }
}

/// Takes the lower one of the next items of two ascending sequences.
fn next_lower<'a, I: Iterator<Item = &'a u32>>(
    a: &mut Peekable<I>,
    b: &mut Peekable<I>,
) -> Option<u32> {
    let from_a = match (a.peek(), b.peek()) {
        (Some(a), Some(b)) => a < b,
        (a, _) => a.is_some(),
    };
    if from_a { a.next() } else { b.next() }.copied()
}

impl Selector {
    /// Builds an index over tests from their keys.
    pub fn new<'k>(keys: impl Iterator<Item = &'k SelectKey>) -> Selector {
        let mut texts: BTreeMap<FieldId, FieldTexts> = BTreeMap::new();
        let (mut always, mut count) = (Vec::new(), 0);
        for (number, key) in keys.enumerate() {
            let test = number as u32;
            count += 1;
            match key {
                SelectKey::Always => always.push(test),
                SelectKey::Never => {}
                SelectKey::Equals(field, text) => {
                    texts
                        .entry(*field)
                        .or_default()
                        .equal
                        .push((text.clone(), test));
                }
                SelectKey::EqualsAny(field, all) => {
                    let equal = &mut texts.entry(*field).or_default().equal;
                    equal.extend(all.iter().map(|text| (text.clone(), test)));
                }
                SelectKey::BeginsWith(field, text) => {
                    texts
                        .entry(*field)
                        .or_default()
                        .prefixes
                        .push((text.clone(), test));
                }
                SelectKey::BeginsWithAny(field, all) => {
                    let prefixes = &mut texts.entry(*field).or_default().prefixes;
                    prefixes.extend(all.iter().map(|text| (text.clone(), test)));
                }
            }
        }
        let index = |(field, texts): (FieldId, FieldTexts)| {
            let (equal, prefixes) = (
                ExactIndex::new(texts.equal),
                PrefixIndex::new(texts.prefixes),
            );
            FieldIndex {
                field,
                equal,
                prefixes,
            }
        };
        let fields = texts.into_iter().map(index).collect();
        Selector {
            fields,
            always: always.into(),
            count,
        }
    }

    /// Number of tests that are chosen for every input.
    pub fn unindexed(&self) -> usize {
        self.always.len()
    }

    /// Number of all tests.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether the index has no tests.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Heap bytes of the index, without the texts.
    pub fn heap_bytes(&self) -> usize {
        let fields = self
            .fields
            .iter()
            .map(|index| index.equal.heap_bytes() + index.prefixes.heap_bytes());
        fields.sum::<usize>()
            + self.fields.capacity() * size_of::<FieldIndex>()
            + self.always.len() * size_of::<u32>()
    }

    /// Selects the tests that may be true for an input. The time depends on the texts that are
    /// looked up and on the selected tests. The number of tests in the index does not affect the
    /// time.
    pub fn choose(&self, input: &dyn Input, chosen: &mut Chosen) {
        if !Arc::ptr_eq(&chosen.always, &self.always) {
            chosen.always = self.always.clone();
        }
        chosen.found.clear();
        for index in &self.fields {
            let Some(Value::Text(text)) = input.get(index.field) else {
                continue;
            };
            chosen.found.extend(index.equal.find(text));
            chosen.found.extend(index.prefixes.find(text));
        }
        chosen.found.sort_unstable();
        // A test with several texts may have been found by more than one of them.
        chosen.found.dedup();
    }
}
