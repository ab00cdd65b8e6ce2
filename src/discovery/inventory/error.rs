//! Why an inventory cannot be used.

use super::files::{MAX_FILES, MAX_FOLDER_DEPTH};
use driftgap_inventory::{summary, Fault, Weight};

/// An inventory that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryError {
    /// It cannot be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// It was written to while it was read.
    #[error("it changed while it was read: it may be half-written")]
    Changing,
    /// A folder with too much in it.
    #[error("the folder holds more than {MAX_FILES} files, or folders more than {MAX_FOLDER_DEPTH} deep")]
    Folder,
    /// It is wrong; all that is, in the order in which it was found.
    #[error("{}", first_and_count(.0))]
    Faults(Vec<Fault>),
    /// It must be confirmed.
    #[error("{0}: held back until it is read again unchanged")]
    Held(String),
}

impl InventoryError {
    /// Each fault as a line, those that repeat as one.
    pub fn lines(&self) -> Vec<String> {
        match self {
            InventoryError::Faults(faults) => summary(faults),
            other => vec![other.to_string()],
        }
    }
}

/// The first error in a line, and how many there are besides.
fn first_and_count(faults: &[Fault]) -> String {
    let errors: Vec<&Fault> = faults
        .iter()
        .filter(|fault| fault.weight == Weight::Error)
        .collect();
    match errors.as_slice() {
        [] => "no fault".into(),
        [one] => one.to_string(),
        [first, more @ ..] => format!("{first} (and {} more)", more.len()),
    }
}
