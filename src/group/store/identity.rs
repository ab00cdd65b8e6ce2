//! Whose folder it is.

use serde::{Deserialize, Serialize};

/// Whose folder it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The format version of this record: 1.
    pub format: u32,
    /// The group.
    pub group: u64,
    /// The member's name.
    pub name: String,
    /// Its incarnation.
    pub id: u64,
    /// Drawn with the folder, to tell it from every other.
    pub nonce: u64,
}

impl Identity {
    /// The identity of a new folder.
    pub fn new(group: u64, name: &str, id: u64, nonce: u64) -> Identity {
        Identity {
            format: 1,
            group,
            name: name.into(),
            id,
            nonce,
        }
    }
}
