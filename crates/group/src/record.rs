//! The library's messages, entries and snapshots as records of our own: what is written to the disk and sent over the
//! link. Two versions of the program must agree on them, and they are encoded by position: the order of fields must not
//! change. The library's own codec must never see bytes that came from outside.

mod conversion;

use serde::{Deserialize, Serialize};

/// A place in the log, and the term of the entry there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogPosition {
    /// The index.
    pub index: u64,
    /// Its term.
    pub term: u64,
}

/// An entry of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// The library's number of its kind.
    pub kind: u8,
    /// The term in which it was made.
    pub term: u64,
    /// Its index.
    pub index: u64,
    /// Its content: an encoded [`Proposed`](crate::Proposed), or a change of the configuration.
    pub data: Vec<u8>,
    /// The library's context of it.
    pub context: Vec<u8>,
}

/// The hard state: what a member must remember to keep what it has promised to others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardRecord {
    /// The latest term it knows.
    pub term: u64,
    /// The incarnation that it voted for in that term; 0: none.
    pub vote: u64,
    /// The last index that is known as committed.
    pub commit: u64,
}

/// The configuration: who votes, and who only copies.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfRecord {
    /// Voters, by incarnation.
    pub voters: Vec<u64>,
    /// Learners: they copy and do not vote.
    pub learners: Vec<u64>,
    /// Voters of the earlier configuration, while the configuration is joint.
    pub outgoing: Vec<u64>,
    /// Learners once the joint configuration ends.
    pub next: Vec<u64>,
    /// Whether the joint configuration ends by itself.
    pub auto_leave: bool,
}

/// The state at one index of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotRecord {
    /// The index.
    pub index: u64,
    /// Its term.
    pub term: u64,
    /// The configuration there.
    pub conf: ConfRecord,
    /// The encoded [`State`](crate::State).
    pub data: Vec<u8>,
}

/// A message between two incarnations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MessageRecord {
    kind: u8,
    /// To whom.
    pub to: u64,
    /// From whom.
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

/// What has to be on the disk, in one piece, before anything that follows from it may be sent or said.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// A snapshot from another member, which replaces all that was there.
    pub restored: Option<SnapshotRecord>,
    /// Entries; those on the disk from the index of the first one on go.
    pub entries: Vec<EntryRecord>,
    /// The hard state.
    pub hard: Option<HardRecord>,
    /// A snapshot of this member's own, in place of the entries before it.
    pub snapshot: Option<SnapshotRecord>,
    /// Entries up to here may go.
    pub compacted: Option<LogPosition>,
    /// The format version of the log, where it has changed: an older program must not use the folder from then on.
    pub format_version: Option<u16>,
}

impl Batch {
    /// Whether nothing has to be written.
    pub fn is_empty(&self) -> bool {
        *self == Batch::default()
    }

    /// Whether others rely on something in it, so that it must be on the disk, and not on its way there.
    pub fn must_sync(&self) -> bool {
        self.restored.is_some()
            || !self.entries.is_empty()
            || self.hard.is_some()
            || self.format_version.is_some()
    }
}

impl SnapshotRecord {
    /// Its place in the log.
    pub fn position(&self) -> LogPosition {
        LogPosition {
            index: self.index,
            term: self.term,
        }
    }
}

impl MessageRecord {
    /// Whether it carries a snapshot.
    pub fn is_snapshot(&self) -> bool {
        self.snapshot.is_some()
    }
}
