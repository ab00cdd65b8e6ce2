//! Limits of an expression besides those of its text. They bound the time and the memory that
//! checking and evaluating take for any text, a hostile one included.

/// Maximum length of a regular expression's pattern, bytes.
pub const MAX_PATTERN: usize = 512;
/// Maximum memory of the compiled form of a regular expression, bytes.
pub const MAX_REGEX: usize = 64 * 1024;
/// Maximum number of regular expressions in one expression.
pub const MAX_REGEXES: usize = 16;
/// Maximum number of parts that `split` returns.
pub const MAX_PARTS: i64 = 64;
/// Maximum number of slots for local variables (`let`, `exists`, `all`), including the hidden ones
/// of loops.
pub const MAX_LOCALS: usize = 32;
/// Maximum length of a text that an expression concatenates, bytes.
pub const MAX_CONCATENATED: u32 = 64 * 1024;
