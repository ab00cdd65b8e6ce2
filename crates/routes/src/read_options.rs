//! Options for reading a file of rules: the rules to reuse and the memory limit.

use crate::environment::Catalog;
use crate::rules::Rules;

/// Default of [`ReadOptions::max_bytes`]: 64 MiB.
pub const DEFAULT_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Options for reading a file of rules.
#[derive(Clone, Copy, Debug)]
pub struct ReadOptions<'a> {
    /// The rules in force. Rules that are unchanged in the file are reused with the state of their
    /// limits.
    pub previous: Option<&'a Rules>,
    /// Maximum memory of the file's text, the rules in force and the newly compiled rules together,
    /// in bytes. If every rule has changed, the new rules count in full in addition to the rules in
    /// force, until those are dropped.
    pub max_bytes: usize,
}

impl Default for ReadOptions<'_> {
    fn default() -> Self {
        ReadOptions {
            previous: None,
            max_bytes: DEFAULT_MAX_BYTES,
        }
    }
}

/// The file to read.
pub(crate) struct Input<'a> {
    /// The text of the file.
    pub(crate) text: &'a str,
    /// The name of the file in messages.
    pub(crate) file: &'a str,
    /// The table that contains the rules; the top level of the file if there is none.
    pub(crate) table_name: Option<&'a str>,
    /// The platform's classes and plans.
    pub(crate) catalog: &'a Catalog,
}
