//! What is on the disk, in memory, as the library wants to read it. It owns the log between the last cut and its end.
//! It must never hold what has not been handed out to be written, and it writes nothing itself.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::Cell;
use std::collections::VecDeque;

/// The log.
#[derive(Debug, Default)]
pub(crate) struct LogReplica {
    pub(crate) hard: HardState,
    pub(crate) conf: ConfState,
    /// The last place that is held no more, and its term.
    cut: (u64, u64),
    entries: VecDeque<Entry>,
    snapshot: Option<Snapshot>,
    /// Somebody needs a state of a later place than the one held.
    wanted: Cell<bool>,
}

impl LogReplica {
    pub(crate) fn new(
        cut: (u64, u64),
        hard: HardState,
        conf: ConfState,
        entries: Vec<Entry>,
    ) -> LogReplica {
        LogReplica {
            hard,
            conf,
            cut,
            entries: entries.into(),
            snapshot: None,
            wanted: Cell::new(false),
        }
    }

    pub(crate) fn first(&self) -> u64 {
        self.cut.0 + 1
    }

    pub(crate) fn last(&self) -> u64 {
        self.cut.0 + self.entries.len() as u64
    }

    /// The term of a place that is held.
    pub(crate) fn term_of(&self, index: u64) -> Option<u64> {
        if index == self.cut.0 {
            return Some(self.cut.1);
        }
        let at = index.checked_sub(self.first())?;
        self.entries.get(at as usize).map(|e| e.term)
    }

    /// Appends; what was held from the place of the first one on goes. False: there would be a gap.
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

    /// Begins anew behind a state that came from another member.
    pub(crate) fn restore(&mut self, snapshot: &Snapshot) {
        let at = snapshot.get_metadata();
        self.cut = (at.index, at.term);
        self.entries.clear();
        self.conf = at.get_conf_state().clone();
        self.snapshot = Some(snapshot.clone());
    }

    /// Lets entries up to this place go.
    pub(crate) fn cut(&mut self, index: u64) -> Option<(u64, u64)> {
        let cut = (index, self.term_of(index)?);
        let gone = (index - self.cut.0) as usize;
        self.entries.drain(..gone);
        self.cut = cut;
        Some(cut)
    }

    pub(crate) fn wanted(&self) -> bool {
        self.wanted.get()
    }

    pub(crate) fn offer(&mut self, snapshot: Snapshot) {
        self.wanted.set(false);
        self.snapshot = Some(snapshot);
    }
}

fn names(snapshot: &Snapshot, id: u64) -> bool {
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
        if index < self.cut.0 {
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
        let min = request_index.max(self.cut.0);
        match &self.snapshot {
            // Whom it does not name takes it for another group's.
            Some(held) if held.get_metadata().index >= min && names(held, to) => Ok(held.clone()),
            _ => {
                self.wanted.set(true);
                Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}
