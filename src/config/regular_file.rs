//! A guard for files that are read on the serving thread: to open or read a pipe or a device may wait
//! without end.

use std::io::{Error, Result};
use std::path::Path;

/// Checks that the path names a regular file, before it is opened: opening a pipe waits for its writer.
///
/// # Errors
/// The file does not exist, or is not a regular file.
pub fn require_regular(path: &Path) -> Result<()> {
    if std::fs::metadata(path)?.is_file() {
        Ok(())
    } else {
        Err(Error::other("it is not a regular file"))
    }
}
