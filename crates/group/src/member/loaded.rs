//! What a member's folder holds: of a new group, of a member that was just admitted, and of a group that is begun anew
//! from what is left of a lost one.

use super::MemberFailure;
use crate::record::{ConfRecord, EntryRecord, HardRecord, LogPosition, SnapshotRecord};
use crate::state::{Proposed, State};
use raft::eraftpb::EntryType;

/// What a folder holds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredMember {
    /// The group.
    pub group: u64,
    /// The member's incarnation.
    pub id: u64,
    /// Term, vote and commit index.
    pub hard: HardRecord,
    /// The last snapshot.
    pub snapshot: SnapshotRecord,
    /// The last position that was compacted away.
    pub compacted: LogPosition,
    /// The log behind it.
    pub entries: Vec<EntryRecord>,
}

/// A group that was begun anew from one folder, and how much of that folder's log was known as committed.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovered {
    /// The new group's first folder.
    pub loaded: StoredMember,
    /// The last index that was known as committed in the old group.
    pub committed: u64,
    /// The last index of the old log: those between the two were carried out though nobody knows if the old group did.
    pub last: u64,
}

impl StoredMember {
    /// The folder of a new group's first member.
    pub fn first(group: u64, name: &str, address: &str, nonce: u64) -> StoredMember {
        const FIRST_ID: u64 = 1;
        let start = LogPosition { index: 1, term: 1 };
        let state = State::first(group, name, address, nonce);
        StoredMember::at_snapshot(group, FIRST_ID, start, start.term, &state)
    }

    /// The folder of a member that has just been admitted.
    pub fn admitted(group: u64, id: u64) -> StoredMember {
        StoredMember {
            group,
            id,
            ..StoredMember::default()
        }
    }

    /// A new group from what one folder holds, committed or not: nobody else is left who could know.
    ///
    /// # Errors
    /// The folder's snapshot cannot be read.
    pub fn recover(
        self,
        group: u64,
        name: &str,
        address: &str,
        nonce: u64,
    ) -> Result<Recovered, MemberFailure> {
        let mut state = State::decode(&self.snapshot.data).ok_or(MemberFailure::State)?;
        let mut last = self.snapshot.position();
        let behind = |entry: &&EntryRecord| entry.index > self.snapshot.index;
        for entry in self.entries.iter().filter(behind) {
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
        let (state, id) = state.alone(group, name, address, nonce);
        // Beyond every term of the old group.
        let term = self.hard.term.max(last.term) + 1;
        Ok(Recovered {
            loaded: StoredMember::at_snapshot(group, id, last, term, &state),
            committed,
            last: last.index,
        })
    }

    /// A folder with a snapshot and no log, whose only voter is this member.
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

    /// Whether the log has no hole and reaches what was committed.
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
