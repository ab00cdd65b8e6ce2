//! Errors of reading an inventory.

use super::files::{MAX_FILES, MAX_FOLDER_DEPTH};
use driftgap_inventory::{summary, Fault, Severity};

/// An inventory that cannot be applied.
#[derive(Debug, thiserror::Error)]
pub enum InventoryError {
    /// A file or folder cannot be read.
    #[error("cannot read the inventory: {0}")]
    Read(#[from] std::io::Error),
    /// A file was written to while it was read.
    #[error("the file changed while it was read and may be half-written")]
    Changing,
    /// The folder has too many files or is nested too deeply.
    #[error("the folder contains more than {MAX_FILES} files, or is nested more than {MAX_FOLDER_DEPTH} levels deep")]
    Folder,
    /// The content is invalid; the value holds all faults, in the order in which they were found.
    #[error("{}", first_error_and_count(.0))]
    Faults(Vec<Fault>),
    /// The list is suspicious and must be confirmed; the value gives the reason.
    #[error("{0}: the list is not applied until it is read again unchanged")]
    Unconfirmed(String),
}

impl InventoryError {
    /// Returns one line per fault; repeated faults are combined.
    pub fn lines(&self) -> Vec<String> {
        match self {
            InventoryError::Faults(faults) => summary(faults),
            other => vec![other.to_string()],
        }
    }
}

/// Returns the first error as one line, with the number of further errors.
fn first_error_and_count(faults: &[Fault]) -> String {
    let errors: Vec<&Fault> = faults
        .iter()
        .filter(|fault| fault.severity == Severity::Error)
        .collect();
    match errors.as_slice() {
        [] => "no error".into(),
        [one] => one.to_string(),
        [first, more @ ..] => format!("{first} (and {} more)", more.len()),
    }
}
