//! Costs beyond the one that every step has, from lengths in bytes or in items. They are summed up when an
//! expression is compiled, from the bounds of the input, and spent when it runs, from the input itself: so what
//! is spent never passes what was stated.

/// Comparing two texts.
pub(crate) fn compare(a: u64, b: u64) -> u64 {
    a.min(b) / 16
}

/// Looking up a key.
pub(crate) fn lookup(key: u64) -> u64 {
    4 + key / 8
}

/// Searching a text for a part.
pub(crate) fn contains(text: u64, part: u64) -> u64 {
    2 + text / 4 + part / 4
}

/// Copying a text.
pub(crate) fn copy(bytes: u64) -> u64 {
    2 + bytes / 4
}

/// Splitting a text.
pub(crate) fn split(bytes: u64, parts: u64) -> u64 {
    2 + bytes / 4 + 2 * parts
}

/// Hashing a text.
pub(crate) fn hash(bytes: u64) -> u64 {
    4 + bytes / 8
}

/// Looking up which prefixes a text has, the longest of which has this length.
pub(crate) fn prefixes(text: u64, longest: u64) -> u64 {
    4 + text.min(longest)
}

/// Running a regular expression.
pub(crate) fn matches(text: u64, pattern: u64) -> u64 {
    16 + text.saturating_mul(1 + pattern / 8)
}

/// Looking for an address in ranges.
pub(crate) fn networks(count: u64) -> u64 {
    2 * count
}

/// Reading a text as a number or an address.
pub(crate) const READ: u64 = 8;
/// Writing a value as a text.
pub(crate) const WRITE: u64 = 16;
