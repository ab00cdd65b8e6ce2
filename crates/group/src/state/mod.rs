//! The state of the group, and how committed entries change it: excluded endpoints, numbered
//! documents, and the members with their incarnations. The module defines the meaning of every
//! entry.

mod apply;
mod proposal;

pub use proposal::{DocumentKind, OpId, Outcome, Proposal, Proposed};

use crate::{NEWEST_FORMAT, OLDEST_FORMAT};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Most endpoints that are excluded at a time.
pub const MAX_EXCLUDED: usize = 1024;
/// Largest document, bytes.
pub const MAX_DOCUMENT: usize = 1 << 20;

/// One member with one folder. A member that lost its folder returns as another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The member's name.
    pub name: String,
    /// The address of the member's link.
    pub address: String,
    /// The nonce of the folder that was admitted.
    pub nonce: u64,
    /// Whether the member was removed or replaced.
    pub removed: bool,
    /// Incarnations whose votes this one takes over: those of the member's lost folders, or of the
    /// member that it replaces.
    pub replaced_ids: Vec<u64>,
}

impl Incarnation {
    /// Creates an incarnation that replaces no other.
    fn new(name: &str, address: &str, nonce: u64) -> Incarnation {
        Incarnation {
            name: name.into(),
            address: address.into(),
            nonce,
            removed: false,
            replaced_ids: Vec::new(),
        }
    }
}

/// A member that may join although the other members' settings do not name it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invitation {
    /// The address of the member's link.
    pub address: String,
    /// The name of the member that it replaces.
    pub instead_of: Option<String>,
}

/// One version of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version number, counted from 1.
    pub number: u64,
    /// The content.
    pub bytes: Vec<u8>,
}

/// The outcome of an earlier proposal, by which a repeated one is recognized.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecentOutcome {
    /// The log index of the proposal.
    index: u64,
    op: OpId,
    outcome: Outcome,
}

/// The state that the group has agreed on. Encoded by position: the order of fields must not
/// change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The group id, drawn once.
    pub group: u64,
    next_incarnation: u64,
    /// Members by incarnation.
    pub members: BTreeMap<u64, Incarnation>,
    /// How often the list of excluded endpoints has changed.
    pub changes: u64,
    /// Excluded endpoints, with the log index of each exclusion.
    pub excluded: BTreeMap<String, u64>,
    /// The last accepted document of each kind.
    pub documents: BTreeMap<DocumentKind, Document>,
    /// Invited members by name.
    pub invited: BTreeMap<String, Invitation>,
    recent_outcomes: VecDeque<RecentOutcome>,
    /// The format version of the log. Encoded after the fields of version 1, and only from version
    /// 2 on: a program of version 1 reads a state of that version, and is never given a newer one.
    #[serde(skip)]
    format_version: u16,
}

impl State {
    /// Creates a new group with one member, whose incarnation is 1.
    pub fn first(group: u64, name: &str, address: &str, nonce: u64) -> State {
        let first = Incarnation::new(name, address, nonce);
        State {
            group,
            next_incarnation: 2,
            members: [(1, first)].into(),
            ..State::default()
        }
    }

    /// Returns the format version of the log: what its entries and snapshots may contain.
    pub fn format_version(&self) -> u16 {
        self.format_version.max(OLDEST_FORMAT)
    }

    /// Encodes the state for the disk and for links.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        if self.format_version() > OLDEST_FORMAT {
            bytes.extend(postcard::to_stdvec(&self.format_version).unwrap_or_default());
        }
        bytes
    }

    /// Decodes a state; `None`: the bytes are invalid, incomplete, or in a newer format version.
    pub fn decode(bytes: &[u8]) -> Option<State> {
        let (mut state, rest) = postcard::take_from_bytes::<State>(bytes).ok()?;
        if !rest.is_empty() {
            let (format_version, rest) = postcard::take_from_bytes::<u16>(rest).ok()?;
            if format_version > NEWEST_FORMAT || !rest.is_empty() {
                return None;
            }
            state.format_version = format_version;
        }
        Some(state)
    }

    /// Returns the incarnation of a member that is in the group now.
    pub fn incarnation(&self, name: &str) -> Option<(u64, &Incarnation)> {
        self.members
            .iter()
            .rev()
            .find(|(_, m)| m.name == name && !m.removed)
            .map(|(id, m)| (*id, m))
    }

    /// Returns the incarnation of the folder with this nonce; `None`: that folder has not been
    /// admitted, or another one has been admitted since.
    pub fn admitted(&self, name: &str, nonce: u64) -> Option<u64> {
        self.incarnation(name)
            .filter(|(_, m)| m.nonce == nonce)
            .map(|(id, _)| id)
    }

    /// Returns the incarnations that are to vote: the latest one of each member.
    pub fn target_voters(&self) -> Vec<u64> {
        let latest: BTreeMap<&str, u64> = self
            .members
            .iter()
            .filter(|(_, m)| !m.removed)
            .map(|(id, m)| (m.name.as_str(), *id))
            .collect();
        let mut ids: Vec<u64> = latest.into_values().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns this state as that of another group with this member alone in it, and the member's
    /// incarnation there. For operators who have lost a majority for good: the old group does not
    /// continue anywhere.
    pub fn into_single_member(
        mut self,
        group: u64,
        name: &str,
        address: &str,
        nonce: u64,
    ) -> (State, u64) {
        let id = self.next_incarnation.max(1);
        self.group = group;
        self.next_incarnation = id + 1;
        self.members = [(id, Incarnation::new(name, address, nonce))].into();
        self.invited.clear();
        (self, id)
    }

    /// Drops removed members that are in no configuration any more.
    pub(crate) fn drop_unused_members(&mut self, in_use: &[u64]) {
        self.members
            .retain(|id, m| !m.removed || in_use.contains(id));
    }
}
