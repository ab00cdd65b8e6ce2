//! How a file of rules is read: what is taken over, and how much memory it may take.

use crate::environment::Catalog;
use crate::rules::Rules;

/// Bytes that a file's text, the rules in force and those that are compiled anew may take together, unless the caller
/// says otherwise: 64 MiB.
pub const DEFAULT_MAX_BYTES: usize = 64 * 1024 * 1024;
/// How a file is read.
#[derive(Clone, Copy, Debug)]
pub struct ReadOptions<'a> {
    /// The rules in force. Those that the file still has are taken over, with the state of their limits.
    pub previous: Option<&'a Rules>,
    /// Bytes that the file's text, the rules in force and those that are compiled anew may take together. A file
    /// that has changed throughout counts in full beside the rules in force, until those are dropped.
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
    /// Its text.
    pub(crate) text: &'a str,
    /// The file's name in messages.
    pub(crate) file: &'a str,
    /// The table that holds the rules; none: the file's own.
    pub(crate) table_name: Option<&'a str>,
    /// The platform's classes and plans.
    pub(crate) catalog: &'a Catalog,
}
