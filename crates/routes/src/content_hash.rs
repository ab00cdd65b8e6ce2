//! Hashes of content, by which an unchanged rule of a new file is recognised without keeping its text.

use std::hash::{BuildHasher, RandomState};
use std::sync::LazyLock;

/// The secret keys of this process's hashes.
static KEYS: LazyLock<[RandomState; 2]> =
    LazyLock::new(|| [RandomState::new(), RandomState::new()]);

/// A hash of 128 bits: SipHash under two keys drawn at the start of the process.
///
/// Two different texts have the same hash with a probability of 2^-128. With 63,000 rules and as many again in
/// the next file that is below 10^-28 for a whole file, and nobody who writes one can aim at it, since the keys
/// never leave the process. That is why equal hashes are taken for equal content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct ContentHash([u64; 2]);

impl ContentHash {
    /// The hash of a value.
    pub(crate) fn of(value: &(impl std::hash::Hash + ?Sized)) -> ContentHash {
        ContentHash([KEYS[0].hash_one(value), KEYS[1].hash_one(value)])
    }
}
