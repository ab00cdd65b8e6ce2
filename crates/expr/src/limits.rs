//! Bounds of an expression beyond those of its text. They keep the time and the memory that checking and evaluating take
//! bounded, whatever a hostile text holds.

/// Longest pattern of a regular expression, bytes.
pub const MAX_PATTERN: usize = 512;
/// Most memory that the compiled form of a regular expression may take, bytes.
pub const MAX_REGEX: usize = 64 * 1024;
/// Most regular expressions in one expression.
pub const MAX_REGEXES: usize = 16;
/// Most parts that `split` gives.
pub const MAX_PARTS: i64 = 64;
/// Most local variables (`let`, `exists`, `all`), hidden ones of loops included.
pub const MAX_LOCALS: usize = 32;
/// Longest text that an expression may make, bytes.
pub const MAX_MADE: u32 = 64 * 1024;
