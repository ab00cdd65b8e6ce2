//! In-memory copy of the log on the disk, as the consensus library reads it, from the last
//! compaction on. It never contains entries that have not been handed out to be written, and writes
//! nothing itself.

use crate::record::LogPosition;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;

/// The in-memory copy of the log.
#[derive(Debug, Default)]
pub(crate) struct LogReplica {
    pub(crate) hard: HardState,
    pub(crate) conf: ConfState,
    /// The last position that was compacted.
    compacted: LogPosition,
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    /// Whether the library has requested a newer snapshot than the stored one.
    snapshot_requested: Cell<bool>,
}

impl LogReplica {
    pub(crate) fn new(
        compacted: LogPosition,
        hard: HardState,
        conf: ConfState,
        entries: Vec<Entry>,
    ) -> LogReplica {
        LogReplica {
            hard,
            conf,
            compacted,
            entries: entries.into(),
            snapshot: None,
            snapshot_requested: Cell::new(false),
        }
    }

    pub(crate) fn first(&self) -> u64 {
        self.compacted.index + 1
    }

    pub(crate) fn last(&self) -> u64 {
        self.compacted.index + self.entries.len() as u64
    }

    /// Returns the term of an index in the log, or of the last compacted one.
    pub(crate) fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.compacted.index {
            return Some(self.compacted.term);
        }
        let at = index.checked_sub(self.first())?;
        self.entries.get(at as usize).map(|e| e.term)
    }

    /// Appends entries and replaces those from the index of the first new one on. Returns false if
    /// there would be a gap.
    pub(crate) fn append(&mut self, entries: &[Entry]) -> bool {
        let Some(first) = entries.first().map(|e| e.index) else {
            return true;
        };
        if first < self.first() || first > self.last() + 1 {
            return false;
        }
        self.entries.truncate((first - self.first()) as usize);
        self.entries.extend(entries.iter().cloned());
        true
    }

    /// Replaces the log with a snapshot from another member.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        let metadata = snapshot.get_metadata();
        self.compacted = LogPosition {
            index: metadata.index,
            term: metadata.term,
        };
        self.entries.clear();
        self.conf = metadata.get_conf_state().clone();
        self.snapshot = Some(snapshot.clone());
    }

    /// Drops the entries up to and including this index, and returns the position of the last one;
    /// `None`: the index is not in the log.
    pub(crate) fn compact(&mut self, index: u64) -> Option<LogPosition> {
        let term = self.term_of(index)?;
        let dropped = (index - self.compacted.index) as usize;
        self.entries.drain(..dropped);
        self.compacted = LogPosition { index, term };
        Some(self.compacted)
    }

    pub(crate) fn snapshot_requested(&self) -> bool {
        self.snapshot_requested.get()
    }

    pub(crate) fn offer_snapshot(&mut self, snapshot: Snapshot) {
        self.snapshot_requested.set(false);
        self.snapshot = Some(snapshot);
    }
}

/// Whether the snapshot's configuration includes this member.
fn has_member(snapshot: &Snapshot, id: u64) -> bool {
    let conf = snapshot.get_metadata().get_conf_state();
    conf.voters.contains(&id) || conf.learners.contains(&id)
}

impl Storage for LogReplica {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState {
            hard_state: self.hard.clone(),
            conf_state: self.conf.clone(),
        })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let range = (low - self.first()) as usize..(high - self.first()) as usize;
        let mut entries: Vec<Entry> = self.entries.range(range).cloned().collect();
        raft::util::limit_size(&mut entries, max_size.into());
        Ok(entries)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index < self.compacted.index {
            return Err(Error::Store(StorageError::Compacted));
        }
        self.term_of(index)
            .ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, to: u64) -> raft::Result<Snapshot> {
        let min_index = request_index.max(self.compacted.index);
        match &self.snapshot {
            // A member that is not in the configuration of the snapshot would reject it.
            Some(snapshot)
                if snapshot.get_metadata().index >= min_index && has_member(snapshot, to) =>
            {
                Ok(snapshot.clone())
            }
            _ => {
                self.snapshot_requested.set(true);
                Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}
