//! An index over the tests of a file: which of many can be true for an input at all. It must never leave out a
//! test that could be true: what is left in is evaluated as before.

use crate::schema::{FieldId, Input, Value};
use crate::select_key::SelectKey;
use crate::text_index::{ExactIndex, PrefixIndex};
use std::collections::BTreeMap;
use std::iter::Peekable;
use std::sync::Arc;

/// Tests that are found by one field.
struct FieldIndex {
    field: FieldId,
    /// Tests by a text that the field must be.
    equal: ExactIndex,
    /// Tests by a text that the field must begin with.
    prefixes: PrefixIndex,
}

/// The index. Tests have the numbers of their keys' order.
pub struct Selector {
    fields: Vec<FieldIndex>,
    /// Tests that are always looked at, in order.
    always: Arc<[u32]>,
    count: usize,
}

/// The texts by which tests are found by one field, with the tests' numbers.
#[derive(Default)]
struct FieldTexts {
    equal: Vec<(Arc<str>, u32)>,
    prefixes: Vec<(Arc<str>, u32)>,
}

/// The tests that were chosen, kept for the next time so that nothing is allocated again.
#[derive(Clone, Debug, Default)]
pub struct Chosen {
    /// In order, each once.
    found: Vec<u32>,
    /// In order, none of them found.
    always: Arc<[u32]>,
}

impl Chosen {
    /// The tests' numbers, from the lowest.
    pub fn iter(&self) -> impl Iterator<Item = usize> + '_ {
        let (mut found, mut always) = (self.found.iter().peekable(), self.always.iter().peekable());
        std::iter::from_fn(move || lower(&mut found, &mut always)).map(|test| test as usize)
    }
}

/// The lower one of the next of two orders.
fn lower<'a, I: Iterator<Item = &'a u32>>(a: &mut Peekable<I>, b: &mut Peekable<I>) -> Option<u32> {
    let from_a = match (a.peek(), b.peek()) {
        (Some(a), Some(b)) => a < b,
        (a, _) => a.is_some(),
    };
    if from_a { a.next() } else { b.next() }.copied()
}

impl Selector {
    /// An index over tests by their keys.
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

    /// Tests that are always looked at.
    pub fn unindexed(&self) -> usize {
        self.always.len()
    }

    /// Tests in all.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Bytes on the heap, the texts apart.
    pub fn heap_bytes(&self) -> usize {
        let fields = self
            .fields
            .iter()
            .map(|index| index.equal.heap_bytes() + index.prefixes.heap_bytes());
        fields.sum::<usize>()
            + self.fields.capacity() * size_of::<FieldIndex>()
            + self.always.len() * size_of::<u32>()
    }

    /// Chooses the tests that may be true for an input. It takes time by the texts that are looked up and the
    /// tests that they choose, not by the tests that there are.
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
        // Tests with several texts may have been found by more than one.
        chosen.found.dedup();
    }
}
