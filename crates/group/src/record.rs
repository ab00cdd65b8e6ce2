//! Messages, entries and snapshots of the consensus library as records of this crate, which are
//! written to the disk and sent over links. Different versions of the program must agree on them,
//! and they are encoded by position: the order of fields must not change. Bytes from outside never
//! reach the codec of the library.

mod conversion;

use serde::{Deserialize, Serialize};

/// A position in the log, and the term of the entry there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The log index.
    pub index: u64,
    /// The term of the entry at the index.
    pub term: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The library's number of the entry type.
    pub kind: u8,
    /// The term in which the entry was created.
    pub term: u64,
    /// The log index.
    pub index: u64,
    /// The content: an encoded [`Proposed`](crate::Proposed), or a configuration change.
    pub data: Vec<u8>,
    /// The library's context of the entry.
    pub context: Vec<u8>,
}

/// The hard state: what a member must remember across restarts to keep its votes and
/// acknowledgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardRecord {
    /// The latest known term.
    pub term: u64,
    /// The incarnation that the member voted for in that term; 0: none.
    pub vote: u64,
    /// The last log index that is known to be committed.
    pub commit: u64,
}

/// The configuration: voters and learners.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfRecord {
    /// Voters, by incarnation.
    pub voters: Vec<u64>,
    /// Learners, which replicate the log and do not vote.
    pub learners: Vec<u64>,
    /// Voters of the earlier configuration, while the configuration is joint.
    pub outgoing: Vec<u64>,
    /// Members that become learners once the joint configuration ends.
    pub next: Vec<u64>,
    /// Whether the joint configuration ends automatically.
    pub auto_leave: bool,
}

/// The state at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The log index.
    pub index: u64,
    /// The term of the entry at the index.
    pub term: u64,
    /// The configuration at the index.
    pub conf: ConfRecord,
    /// The encoded [`State`](crate::State).
    pub data: Vec<u8>,
}

/// A message between two incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRecord {
    kind: u8,
    /// The receiver's incarnation.
    pub to: u64,
    /// The sender's incarnation.
    pub from: u64,
    /// The sender's term.
    pub term: u64,
    log_term: u64,
    index: u64,
    entries: Vec<EntryRecord>,
    commit: u64,
    commit_term: u64,
    snapshot: Option<SnapshotRecord>,
    request_snapshot: u64,
    reject: bool,
    reject_hint: u64,
    context: Vec<u8>,
    priority: i64,
}

/// An atomic write, which must be on the disk before anything that follows from it is sent or
/// acknowledged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// A snapshot from another member, which replaces everything stored before.
    pub restored: Option<SnapshotRecord>,
    /// Entries to append. Stored entries from the index of the first one on are dropped.
    pub entries: Vec<EntryRecord>,
    /// The hard state.
    pub hard: Option<HardRecord>,
    /// A snapshot of this member's own state, in place of the entries before it.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries up to this position may be dropped.
    pub compacted: Option<LogPosition>,
    /// The format version of the log, if it has changed. An older program must not use the folder
    /// from then on.
    pub format_version: Option<u16>,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        *self == Batch::default()
    }

    /// Whether other members rely on the batch, so that it must be synced to the disk.
    pub fn must_sync(&self) -> bool {
        self.restored.is_some()
            || !self.entries.is_empty()
            || self.hard.is_some()
            || self.format_version.is_some()
    }
}

impl SnapshotRecord {
    /// Returns the position of the snapshot in the log.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}

impl MessageRecord {
    /// Whether the message carries a snapshot.
    pub fn is_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }
}
