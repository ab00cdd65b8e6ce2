//! Cost of instructions in units, beyond the one unit that each instruction costs, as a function of
//! lengths in bytes or items. The compiler sums these up from the bounds of the input, the machine
//! spends them by the actual input. An evaluation therefore never exceeds the maximum cost that the
//! compiler computed.

/// Comparing two texts.
pub(crate) fn compare(a: u64, b: u64) -> u64 {
    a.min(b) / 16
}

/// Looking up a key.
pub(crate) fn lookup(key: u64) -> u64 {
    4 + key / 8
}

/// Searching a text for a substring.
pub(crate) fn contains(text: u64, part: u64) -> u64 {
    2 + text / 4 + part / 4
}

/// Copying a text.
pub(crate) fn copy(bytes: u64) -> u64 {
    2 + bytes / 4
}

/// Splitting a text into parts.
pub(crate) fn split(bytes: u64, parts: u64) -> u64 {
    2 + bytes / 4 + 2 * parts
}

/// Hashing a text.
pub(crate) fn hash(bytes: u64) -> u64 {
    4 + bytes / 8
}

/// Finding which of some prefixes a text has; `longest` is the length of the longest prefix.
pub(crate) fn prefixes(text: u64, longest: u64) -> u64 {
    4 + text.min(longest)
}

/// Running a regular expression.
pub(crate) fn matches(text: u64, pattern: u64) -> u64 {
    16 + text.saturating_mul(1 + pattern / 8)
}

/// Searching an address in a list of networks.
pub(crate) fn networks(count: u64) -> u64 {
    2 * count
}

/// Parsing a text as a number or an address.
pub(crate) const PARSE: u64 = 8;
/// Formatting a value as a text.
pub(crate) const FORMAT: u64 = 16;
