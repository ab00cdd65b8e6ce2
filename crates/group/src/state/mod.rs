//! What the group holds, and how a committed entry changes it: excluded endpoints, documents by number, and who is in
//! the group under which incarnation. It owns the meaning of every entry.

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

/// One member with one folder: a member that lost its folder comes back as another incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Incarnation {
    /// The member.
    pub name: String,
    /// Where its link listens.
    pub address: String,
    /// Which folder was admitted.
    pub nonce: u64,
    /// Whether it was let go.
    pub gone: bool,
    /// Those whose vote it takes over: lost folders of its own, or the member that it replaces.
    pub place_of: Vec<u64>,
}

impl Incarnation {
    /// One that takes nobody's place.
    fn new(name: &str, address: &str, nonce: u64) -> Incarnation {
        Incarnation {
            name: name.into(),
            address: address.into(),
            nonce,
            gone: false,
            place_of: Vec::new(),
        }
    }
}

/// Who is awaited beyond those that the members' files name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Invitation {
    /// Where its link listens.
    pub address: String,
    /// Whose place it takes.
    pub instead_of: Option<String>,
}

/// A document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Counted from 1.
    pub number: u64,
    /// Its content.
    pub bytes: Vec<u8>,
}

/// The outcome of an earlier proposal, by which a repeated one is known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecentOutcome {
    /// Where it stands in the log.
    index: u64,
    op: OpId,
    outcome: Outcome,
}

/// All that is agreed. Encoded by position: the order of fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Which group this is; drawn once.
    pub group: u64,
    next_incarnation: u64,
    /// By incarnation.
    pub members: BTreeMap<u64, Incarnation>,
    /// How often the list of excluded endpoints has changed.
    pub changes: u64,
    /// Excluded endpoints, and the index of the log since when.
    pub excluded: BTreeMap<String, u64>,
    /// The last accepted ones.
    pub documents: BTreeMap<DocumentKind, Document>,
    /// Who is awaited, by name.
    pub invited: BTreeMap<String, Invitation>,
    recent_outcomes: VecDeque<RecentOutcome>,
    /// The format version of what the log may hold. Encoded behind all that version 1 knew, and only from version 2 on:
    /// a program of version 1 reads a state of that version, and is never given another.
    #[serde(skip)]
    format_version: u16,
}

impl State {
    /// A new group with one member in it; its incarnation is 1.
    pub fn first(group: u64, name: &str, address: &str, nonce: u64) -> State {
        let first = Incarnation::new(name, address, nonce);
        State {
            group,
            next_incarnation: 2,
            members: [(1, first)].into(),
            ..State::default()
        }
    }

    /// The format version of the log: what its entries and snapshots may hold.
    pub fn format_version(&self) -> u16 {
        self.format_version.max(OLDEST_FORMAT)
    }

    /// The state for the disk and the link.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        if self.format_version() > OLDEST_FORMAT {
            bytes.extend(postcard::to_stdvec(&self.format_version).unwrap_or_default());
        }
        bytes
    }

    /// A state that was encoded; none: it was not, or not whole, or in a newer format version.
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

    /// The incarnation in which a member is in the group now.
    pub fn incarnation(&self, name: &str) -> Option<(u64, &Incarnation)> {
        self.members
            .iter()
            .rev()
            .find(|(_, m)| m.name == name && !m.gone)
            .map(|(id, m)| (*id, m))
    }

    /// The incarnation of the folder with this nonce; none: it has not been admitted, or another one since.
    pub fn admitted(&self, name: &str, nonce: u64) -> Option<u64> {
        self.incarnation(name)
            .filter(|(_, m)| m.nonce == nonce)
            .map(|(id, _)| id)
    }

    /// Those who are to vote: each member in its latest incarnation.
    pub fn wanted(&self) -> Vec<u64> {
        let latest: BTreeMap<&str, u64> = self
            .members
            .iter()
            .filter(|(_, m)| !m.gone)
            .map(|(id, m)| (m.name.as_str(), *id))
            .collect();
        let mut ids: Vec<u64> = latest.into_values().collect();
        ids.sort_unstable();
        ids
    }

    /// The same state as another group's, with this member alone in it, and the incarnation that it has there. For
    /// operators who have lost a majority for good: the old group goes on nowhere.
    pub fn alone(mut self, group: u64, name: &str, address: &str, nonce: u64) -> (State, u64) {
        let id = self.next_incarnation.max(1);
        self.group = group;
        self.next_incarnation = id + 1;
        self.members = [(id, Incarnation::new(name, address, nonce))].into();
        self.invited.clear();
        (self, id)
    }

    /// Forgets members that are gone and in no configuration any more.
    pub(crate) fn forget(&mut self, in_use: &[u64]) {
        self.members.retain(|id, m| !m.gone || in_use.contains(id));
    }
}
