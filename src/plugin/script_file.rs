//! Reads the file of a script.

use std::fs::File;
use std::io::Read;
use std::path::Path;

/// Longest script, bytes. The time to compile a script grows with the square of its length.
const MAX_SCRIPT_BYTES: u64 = 64 * 1024;

/// Why the file of a script cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum ScriptFileError {
    /// The operating system's error.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Reading from a pipe or a device might wait without end.
    #[error("it is not a regular file")]
    NotRegular,
    /// The script is longer than allowed.
    #[error("it is longer than {MAX_SCRIPT_BYTES} bytes")]
    TooLong,
}

/// Returns the text of the script at this path.
///
/// # Errors
/// The file cannot be read, is not a regular file, or is too long.
pub(super) fn read_script(path: &Path) -> Result<String, ScriptFileError> {
    // Checked before opening: opening a pipe waits for its writer.
    if !std::fs::metadata(path)?.is_file() {
        return Err(ScriptFileError::NotRegular);
    }
    let mut text = String::new();
    let read_bytes = File::open(path)?
        .take(MAX_SCRIPT_BYTES + 1)
        .read_to_string(&mut text)?;
    if read_bytes as u64 > MAX_SCRIPT_BYTES {
        return Err(ScriptFileError::TooLong);
    }
    Ok(text)
}
