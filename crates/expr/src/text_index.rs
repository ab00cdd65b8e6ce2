//! Hash tables from texts to numbers, held in a few large arrays: one finds the entries of an exact
//! text, the other the entries whose texts are prefixes of a given text. The time of a look-up
//! depends on the length of the text and the number of entries found, not on the size of the table.

use hashbrown::{hash_table, HashTable};
use rapidhash::v3::rapidhash_v3;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::mem::size_of;
use std::sync::Arc;

/// Entry number that marks the end of a chain.
const NONE: u32 = u32::MAX;
/// An odd number with evenly spread bits (2^64 divided by the golden ratio), for mixing hashes.
const MIX: u64 = 0x9e37_79b9_7f4a_7c15;

/// A text with a number, and the number of the next entry with the same text.
#[derive(Debug)]
struct Entry {
    text: Arc<str>,
    value: u32,
    next: u32,
}

/// A hash table from texts to entries. Entries with equal texts form a chain, in the order in which
/// they were given.
#[derive(Debug)]
struct Table {
    entries: Box<[Entry]>,
    /// Number of each chain's first entry, by the hash of its text.
    chains: HashTable<u32>,
}

impl Table {
    fn new(texts: Vec<(Arc<str>, u32)>, hash: impl Fn(&[u8]) -> u64) -> Table {
        let entry = |(text, value)| Entry {
            text,
            value,
            next: NONE,
        };
        let mut entries: Box<[Entry]> = texts.into_iter().map(entry).collect();
        let mut chains = HashTable::with_capacity(entries.len());
        // Inserted in reverse, so that each chain leads from the first entry to the last.
        for number in (0..entries.len()).rev() {
            let text = entries[number].text.as_bytes();
            let same = |first: &u32| entries[*first as usize].text.as_bytes() == text;
            let rehash = |first: &u32| hash(entries[*first as usize].text.as_bytes());
            match chains.entry(hash(text), same, rehash) {
                hash_table::Entry::Occupied(mut first) => {
                    entries[number].next = std::mem::replace(first.get_mut(), number as u32);
                }
                hash_table::Entry::Vacant(place) => {
                    place.insert(number as u32);
                }
            }
        }
        // If entries share texts, there are fewer chains than the capacity allows.
        chains.shrink_to_fit(|first| hash(entries[*first as usize].text.as_bytes()));
        Table { entries, chains }
    }

    /// The numbers of a text, in the order in which they were given.
    fn find(&self, text: &[u8], hash: u64) -> impl Iterator<Item = u32> + '_ {
        let same = |first: &u32| self.entries[*first as usize].text.as_bytes() == text;
        let mut next = self.chains.find(hash, same).copied().unwrap_or(NONE);
        std::iter::from_fn(move || {
            let entry = self.entries.get(next as usize)?;
            next = entry.next;
            Some(entry.value)
        })
    }

    fn texts(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.iter().map(|entry| &entry.text)
    }

    /// Heap bytes of the table, without the texts.
    fn heap_bytes(&self) -> usize {
        self.entries.len() * size_of::<Entry>() + self.chains.allocation_size()
    }
}

/// Finds numbers by exact texts.
#[derive(Debug)]
pub(crate) struct ExactIndex(Table);

impl ExactIndex {
    pub(crate) fn new(texts: Vec<(Arc<str>, u32)>) -> ExactIndex {
        ExactIndex(Table::new(texts, rapidhash_v3))
    }

    /// The numbers of a text, in the order in which they were given.
    pub(crate) fn find(&self, text: &str) -> impl Iterator<Item = u32> + '_ {
        self.0.find(text.as_bytes(), rapidhash_v3(text.as_bytes()))
    }

    /// Heap bytes of the index, without the texts.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.0.heap_bytes()
    }
}

/// Finds numbers by prefixes of a text. A look-up tries each length that any prefix has, and
/// extends the hash of the text's beginning from one length to the next.
#[derive(Debug)]
pub(crate) struct PrefixIndex {
    table: Table,
    /// Distinct lengths of the prefixes in ascending order, bytes.
    lengths: Box<[usize]>,
}

impl PrefixIndex {
    pub(crate) fn new(prefixes: Vec<(Arc<str>, u32)>) -> PrefixIndex {
        let lengths: BTreeSet<usize> = prefixes.iter().map(|(text, _)| text.len()).collect();
        let lengths: Box<[usize]> = lengths.into_iter().collect();
        let last_hash = |text: &[u8]| {
            beginnings(&lengths, text)
                .last()
                .map_or(0, |(_, hash)| hash)
        };
        let table = Table::new(prefixes, last_hash);
        PrefixIndex { table, lengths }
    }

    /// Length of the longest prefix, bytes.
    pub(crate) fn longest(&self) -> usize {
        self.lengths.last().copied().unwrap_or(0)
    }

    /// The numbers of all prefixes that a text has, from the shortest prefix to the longest.
    pub(crate) fn find<'t>(&'t self, text: &'t str) -> impl Iterator<Item = u32> + 't {
        let beginnings = beginnings(&self.lengths, text.as_bytes());
        beginnings.flat_map(|(beginning, hash)| self.table.find(beginning, hash))
    }

    /// Heap bytes of the index, without the texts.
    pub(crate) fn heap_bytes(&self) -> usize {
        self.table.heap_bytes() + size_of::<usize>() * self.lengths.len()
    }
}

/// The beginnings of a text that have these lengths, with their hashes. A hash depends on all
/// lengths up to that of its beginning.
fn beginnings<'t>(lengths: &'t [usize], text: &'t [u8]) -> impl Iterator<Item = (&'t [u8], u64)> {
    let (mut from, mut hash) = (0, 0u64);
    lengths.iter().map_while(move |&to| {
        let part = text.get(from..to)?;
        hash = (hash.rotate_left(32) ^ rapidhash_v3(part)).wrapping_mul(MIX);
        from = to;
        Some((&text[..to], hash))
    })
}

/// Compares the prefixes in order.
impl PartialEq for PrefixIndex {
    fn eq(&self, other: &PrefixIndex) -> bool {
        self.table.texts().eq(other.table.texts())
    }
}

impl Eq for PrefixIndex {}

impl Hash for PrefixIndex {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.table.entries.len().hash(state);
        self.table.texts().for_each(|text| text.hash(state));
    }
}
