//! What entries of the log ask for, and what becomes of them. These types are written to the disk and sent over links
//! by position: the order of fields and variants must not change.

use serde::{Deserialize, Serialize};

/// An operation id: who proposed it and its number there. A proposal that is sent twice takes effect once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OpId {
    /// The process incarnation.
    pub origin: u64,
    /// Counted there.
    pub number: u64,
}

/// What kind of document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DocumentKind {
    /// The last accepted inventory.
    Inventory,
    /// The last accepted rules.
    Rules,
}

/// What an entry asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Proposal {
    /// Excludes an endpoint, for the whole group.
    Suspend(String),
    /// Ends its exclusion.
    Restore(String),
    /// A new version of a document, made from the one of this number.
    Write(DocumentKind, u64, Vec<u8>),
    /// Admits a member, for the first time or again: a new incarnation. `nonce` tells its folder from every other.
    Admit {
        /// The member.
        name: String,
        /// Where its link listens.
        address: String,
        /// Chosen by the folder that was empty.
        nonce: u64,
    },
    /// Lets a member go for good.
    Remove(String),
    /// Admits a member that the others' files do not name, once it comes with an empty folder.
    Invite {
        /// The member.
        name: String,
        /// Where its link listens.
        address: String,
        /// Whose place it takes.
        instead_of: Option<String>,
    },
    /// From here on the log may hold what this format version knows: all members speak it.
    Raise(u16),
}

/// A proposal as it stands in the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposed {
    /// Whose.
    pub op: OpId,
    /// The last index of the log when it was made: long after it, it is refused.
    pub made_at: u64,
    /// What.
    pub proposal: Proposal,
}

/// What has become of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// It is so now.
    Done,
    /// It was so before.
    Unchanged,
    /// Too many endpoints are excluded.
    TooMany,
    /// It came too late to know whether it had come before.
    Late,
    /// It makes no sense: a name, a size.
    Refused,
    /// Somebody else wrote the document meanwhile; this is its number now.
    Newer(u64),
    /// Written under this number.
    Written(u64),
    /// Admitted as this incarnation.
    Admitted(u64),
    /// Nobody of this name is in the group.
    Unknown,
}
