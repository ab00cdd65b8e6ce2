//! Hashes of content, by which an unchanged rule of a new file is recognised without keeping its
//! text.

use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

/// The secret hash keys of this process.
static KEYS: LazyLock<[RandomState; 2]> =
    LazyLock::new(|| [RandomState::new(), RandomState::new()]);

/// A hash of 128 bits: SipHash under two random keys, which are chosen when the process starts.
///
/// Equal hashes are treated as equal content. Two different texts have the same hash with a
/// probability of 2^-128, which is below 10^-28 for a file of 63,000 rules that replaces another
/// one of that size. The author of a file cannot produce a collision on purpose, because the keys
/// never leave the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ContentHash([u64; 2]);

impl ContentHash {
    /// Computes the hash of a value.
    pub(crate) fn of(value: &(impl std::hash::Hash + ?Sized)) -> ContentHash {
        ContentHash([KEYS[0].hash_one(value), KEYS[1].hash_one(value)])
    }
}
