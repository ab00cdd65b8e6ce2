//! The content of a member's folder: for a new group, for a member that was just admitted, and for
//! a group that is recovered from a remaining folder of a lost one.

use super::MemberFailure;
use crate::record::{ConfRecord, EntryRecord, HardRecord, LogPosition, SnapshotRecord};
use crate::state::{Proposed, State};
use raft::eraftpb::EntryType;

/// The content of a member's folder.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredMember {
    /// The group id.
    pub group: u64,
    /// The member's incarnation.
    pub id: u64,
    /// Term, vote and commit index.
    pub hard: HardRecord,
    /// The last snapshot.
    pub snapshot: SnapshotRecord,
    /// The last position that was compacted.
    pub compacted: LogPosition,
    /// The log after the compacted position.
    pub entries: Vec<EntryRecord>,
}

/// A group that was recovered from one folder, and how much of the folder's log was known to be
/// committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The content of the first folder of the new group.
    pub loaded: StoredMember,
    /// The last index that was known to be committed in the old group.
    pub committed: u64,
    /// The last index of the old log. Entries after `committed` were applied although it is unknown
    /// whether the old group had committed them.
    pub last: u64,
}

impl StoredMember {
    /// Returns the folder of a new group's first member.
    pub fn first(group: u64, name: &str, address: &str, nonce: u64) -> StoredMember {
        const FIRST_ID: u64 = 1;
        let start = LogPosition { index: 1, term: 1 };
        let state = State::first(group, name, address, nonce);
        StoredMember::at_snapshot(group, FIRST_ID, start, start.term, &state)
    }

    /// Returns the folder of a member that has just been admitted.
    pub fn admitted(group: u64, id: u64) -> StoredMember {
        StoredMember {
            group,
            id,
            ..StoredMember::default()
        }
    }

    /// Recovers a new group from this folder, including entries that are not known to be committed:
    /// no other member is left that could confirm them.
    ///
    /// # Errors
    /// The snapshot of the folder cannot be decoded.
    pub fn recover(
        self,
        group: u64,
        name: &str,
        address: &str,
        nonce: u64,
    ) -> Result<Recovered, MemberFailure> {
        let mut state = State::decode(&self.snapshot.data).ok_or(MemberFailure::InvalidSnapshot)?;
        let mut last = self.snapshot.position();
        let after_snapshot = |entry: &&EntryRecord| entry.index > self.snapshot.index;
        for entry in self.entries.iter().filter(after_snapshot) {
            last = LogPosition {
                index: entry.index,
                term: entry.term,
            };
            if entry.kind != EntryType::EntryNormal as u8 {
                continue;
            }
            if let Ok(proposed) = postcard::from_bytes::<Proposed>(&entry.data) {
                state.apply(entry.index, &proposed);
            }
        }
        let committed = self.hard.commit.max(self.snapshot.index);
        let (state, id) = state.into_single_member(group, name, address, nonce);
        // Higher than every term of the old group.
        let term = self.hard.term.max(last.term) + 1;
        Ok(Recovered {
            loaded: StoredMember::at_snapshot(group, id, last, term, &state),
            committed,
            last: last.index,
        })
    }

    /// Returns a folder with a snapshot and no log, whose only voter is this member.
    fn at_snapshot(group: u64, id: u64, at: LogPosition, term: u64, state: &State) -> StoredMember {
        let conf = ConfRecord {
            voters: vec![id],
            ..ConfRecord::default()
        };
        StoredMember {
            group,
            id,
            hard: HardRecord {
                term,
                vote: 0,
                commit: at.index,
            },
            snapshot: SnapshotRecord {
                index: at.index,
                term: at.term,
                conf,
                data: state.encode(),
            },
            compacted: at,
            entries: Vec::new(),
        }
    }

    /// Whether the log has no gap and reaches the commit index.
    pub(super) fn is_contiguous(&self) -> bool {
        let first = self.compacted.index + 1;
        let last = self.compacted.index + self.entries.len() as u64;
        let applied = self.snapshot.index;
        let commit = self.hard.commit.max(applied);
        let in_order = self
            .entries
            .iter()
            .zip(first..)
            .all(|(entry, index)| entry.index == index);
        in_order && commit <= last && applied >= self.compacted.index
    }
}
