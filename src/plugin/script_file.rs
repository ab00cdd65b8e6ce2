//! Reads the file of a script.

use crate::config::regular_file::require_regular;
use std::fs::File;
use std::io::Read;
use std::path::Path;

/// Longest script, bytes. The time to compile a script grows with the square of its length.
const MAX_SCRIPT_BYTES: u64 = 64 * 1024;

/// Why the file of a script cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ScriptFileError {
    /// The file cannot be read, or is not a regular file.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// The script is longer than allowed.
    #[error("it is longer than {MAX_SCRIPT_BYTES} bytes")]
    TooLong,
}

/// Returns the text of the script at this path.
///
/// # Errors
/// The file cannot be read, is not a regular file, or is too long.
pub(super) fn read_script(path: &Path) -> Result<String, ScriptFileError> {
    require_regular(path)?;
    let mut text = String::new();
    let read_bytes = File::open(path)?
        .take(MAX_SCRIPT_BYTES + 1)
        .read_to_string(&mut text)?;
    if read_bytes as u64 > MAX_SCRIPT_BYTES {
        return Err(ScriptFileError::TooLong);
    }
    Ok(text)
}
