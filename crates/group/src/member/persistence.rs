//! Writes to the disk, and messages that wait for them. A message that depends on a write is sent
//! only after the write is done: a member that acknowledged an entry and then lost it would break
//! the guarantee that a committed entry is on the disks of a majority.

use super::{Event, Member, MemberFailure};
use crate::record::{Batch, EntryRecord, HardRecord, MessageRecord, SnapshotRecord};
use crate::state::State;
use raft::eraftpb::{Message, Snapshot};
use raft::Ready;

/// A snapshot from another member.
struct ReceivedSnapshot {
    snapshot: Snapshot,
    /// `None`: the snapshot cannot be decoded.
    state: Option<State>,
}

/// A batch that is being written, and the messages that wait for it.
pub(super) struct PendingWrite {
    /// The library's number of the batch.
    number: u64,
    received: Option<ReceivedSnapshot>,
    messages: Vec<Message>,
}

impl Member {
    /// Returns the next batch to write; `None`: there is nothing to write, or an earlier batch is
    /// not on the disk yet. Each batch must be followed by [`Member::written`]. Meanwhile the
    /// member handles messages and sends those that follow from no write.
    pub fn batch(&mut self, now_ms: f64) -> Option<Batch> {
        if self.pending_write.is_some() || self.failure.is_some() || !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        let mut batch = Batch::default();
        let received = self.restore_snapshot(&ready, &mut batch);
        if !self.node.mut_store().append(ready.entries()) {
            self.failure = Some(MemberFailure::LogGap);
            return None;
        }
        batch.entries = ready.entries().iter().map(EntryRecord::from).collect();
        self.update_hard_state(&ready, &mut batch);
        self.send(now_ms, ready.take_messages());
        for read in ready.take_read_states() {
            self.note_read_index(&read);
        }
        self.apply_committed(&mut ready, &mut batch);
        self.pending_write = Some(PendingWrite {
            number: ready.number(),
            received,
            messages: ready.take_persisted_messages(),
        });
        self.node.advance_append_async(ready);
        self.node.advance_apply_to(self.applied);
        self.compact(&mut batch);
        self.offer_snapshot();
        self.after_step(now_ms);
        self.retry_calls(now_ms);
        Some(batch)
    }

    /// Replaces the log with a snapshot from the leader.
    fn restore_snapshot(&mut self, ready: &Ready, batch: &mut Batch) -> Option<ReceivedSnapshot> {
        if ready.snapshot().is_empty() {
            return None;
        }
        let snapshot = ready.snapshot().clone();
        let state = State::decode(&snapshot.data);
        self.node.mut_store().restore(&snapshot);
        batch.restored = Some((&snapshot).into());
        batch.format_version = state.as_ref().map(State::format_version);
        Some(ReceivedSnapshot { snapshot, state })
    }

    fn update_hard_state(&mut self, ready: &Ready, batch: &mut Batch) {
        let Some(hard) = ready.hs() else { return };
        self.node.mut_store().hard = hard.clone();
        // The commit index alone is learned again after a restart, so it is written with the next
        // batch that must be synced.
        if ready.must_sync() || batch.restored.is_some() {
            batch.hard = Some(hard.into());
        }
    }

    fn apply_committed(&mut self, ready: &mut Ready, batch: &mut Batch) {
        let format_version = self.state.format_version();
        let reconfigured = self.apply(ready.take_committed_entries());
        if self.state.format_version() != format_version {
            batch.format_version = Some(self.state.format_version());
        }
        if reconfigured {
            // The set of voters follows from the commit index and is needed at the next start: with
            // an outdated set, a member that may vote by now would wait forever for voters that
            // have been removed.
            let hard = self.node.raft.hard_state();
            self.node.mut_store().hard = hard.clone();
            batch.hard = Some((&hard).into());
        }
    }

    /// Replaces old entries with a snapshot, once there are many.
    fn compact(&mut self, batch: &mut Batch) {
        let retained = self.settings.retained_entries;
        let (first, applied) = (self.node.store().first(), self.applied);
        if batch.restored.is_some() || applied < first + 2 * retained {
            return;
        }
        let Some(snapshot) = self.snapshot() else {
            return;
        };
        let Some(compacted) = self.node.mut_store().compact(applied - retained) else {
            return;
        };
        let hard: HardRecord = (&self.node.store().hard).into();
        batch.hard = Some(HardRecord {
            commit: hard.commit.max(applied),
            ..hard
        });
        batch.snapshot = Some(snapshot);
        batch.compacted = Some(compacted);
    }

    /// Passes a snapshot to the library, if it has requested one to send.
    fn offer_snapshot(&mut self) {
        if !self.node.store().snapshot_requested() {
            return;
        }
        if let Some(snapshot) = self.snapshot() {
            self.node.mut_store().offer_snapshot(snapshot.snapshot());
        }
    }

    fn snapshot(&self) -> Option<SnapshotRecord> {
        let term = self.node.store().term_of(self.applied)?;
        Some(SnapshotRecord {
            index: self.applied,
            term,
            conf: (&self.conf).into(),
            data: self.state.encode(),
        })
    }

    /// Reports that the batch is on the disk.
    pub fn written(&mut self, now_ms: f64) {
        let Some(write) = self.pending_write.take() else {
            return;
        };
        if let Some(received) = write.received {
            self.install_snapshot(received);
        }
        self.node.on_persist_ready(write.number);
        self.send(now_ms, write.messages);
        self.after_step(now_ms);
    }

    fn install_snapshot(&mut self, received: ReceivedSnapshot) {
        match received.state {
            Some(state) if state.format_version() > self.settings.newest_format => {
                self.failure = Some(MemberFailure::UnsupportedFormat(state.format_version()));
            }
            Some(state) => self.state = state,
            None => self.failure = Some(MemberFailure::InvalidSnapshot),
        }
        let metadata = received.snapshot.get_metadata();
        self.conf = metadata.get_conf_state().clone();
        self.applied = metadata.index;
        self.events.push(Event::Changed);
    }

    fn send(&mut self, now_ms: f64, messages: Vec<Message>) {
        for message in &messages {
            let message = MessageRecord::from(message);
            if message.is_snapshot() {
                self.snapshots_sent_ms.insert(message.to, now_ms);
            }
            self.messages.push(message);
        }
    }
}
