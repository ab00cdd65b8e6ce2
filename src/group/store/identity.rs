//! The identity record of a folder.

use serde::{Deserialize, Serialize};

/// The member that a folder belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The format version of this record: 1.
    pub format: u32,
    /// The group.
    pub group: u64,
    /// The member's name.
    pub name: String,
    /// The member's incarnation.
    pub id: u64,
    /// A random number that distinguishes this folder from every other.
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
