//! Proposals in log entries, and their outcomes. These types are written to the disk and sent over
//! links by position: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};

/// An operation id: the ingress that proposed the operation, and its number there. A proposal that
/// is sent twice takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OpId {
    /// The process incarnation of the ingress.
    pub origin: u64,
    /// The number of the operation, counted by the ingress.
    pub number: u64,
}

/// The kind of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The last accepted inventory.
    Inventory,
    /// The last accepted rules.
    Rules,
}

/// A change that a log entry proposes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Excludes an endpoint for the whole group.
    Suspend(String),
    /// Ends the exclusion of an endpoint.
    Restore(String),
    /// Writes a new version of a document, based on the version of this number.
    Write(DocumentKind, u64, Vec<u8>),
    /// Admits a member as a new incarnation, for the first time or again.
    Admit {
        /// The member's name.
        name: String,
        /// The address of the member's link.
        address: String,
        /// Identifies the member's folder, unique among all folders.
        nonce: u64,
    },
    /// Removes a member for good.
    Remove(String),
    /// Admits a member that the others' settings do not name, once it asks with an empty folder.
    Invite {
        /// The member's name.
        name: String,
        /// The address of the member's link.
        address: String,
        /// The name of the member that it replaces.
        instead_of: Option<String>,
    },
    /// Raises the format version of the log: from here on, entries may use what this version adds.
    /// All members support it.
    Raise(u16),
}

/// A proposal as it is stored in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposed {
    /// The operation id.
    pub op: OpId,
    /// The last log index known to the ingress when it made the proposal. A proposal that is
    /// committed long after this index is refused.
    pub made_at: u64,
    /// The proposed change.
    pub proposal: Proposal,
}

/// The outcome of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The change was made.
    Done,
    /// No change was needed: the state was already as proposed.
    Unchanged,
    /// Too many endpoints are excluded.
    TooMany,
    /// The proposal came too late to determine whether it had taken effect before.
    Late,
    /// The proposal is invalid, for example a name or a size, or would exceed a limit on members.
    Refused,
    /// The document has been changed since the base version. This is its current version number.
    Newer(u64),
    /// The document was written under this version number.
    Written(u64),
    /// The member was admitted as this incarnation.
    Admitted(u64),
    /// No member of this name is in the group.
    Unknown,
}
