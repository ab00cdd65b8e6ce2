//! What has to be on the disk, and what waits for it. Nothing that follows from a write is sent before the write is
//! done: a member that acknowledged an entry and lost it would break the promise that rests on it.

use super::{Event, Member, MemberFailure};
use crate::record::{Batch, EntryRecord, HardRecord, MessageRecord, SnapshotRecord};
use crate::state::State;
use raft::eraftpb::{Message, Snapshot};
use raft::Ready;

/// A snapshot that came from another member.
struct ReceivedSnapshot {
    snapshot: Snapshot,
    /// None: it cannot be read.
    state: Option<State>,
}

/// A batch on its way to the disk, and what waits for it.
pub(super) struct PendingWrite {
    /// The library's number of the batch.
    number: u64,
    received: Option<ReceivedSnapshot>,
    messages: Vec<Message>,
}

impl Member {
    /// What has to be on the disk next; none: nothing, or an earlier batch is not there yet. Every batch is to be
    /// followed by [`Member::written`]; meanwhile the member takes messages, and sends what follows from no write.
    pub fn batch(&mut self, now_ms: f64) -> Option<Batch> {
        if self.pending_write.is_some() || self.lost.is_some() || !self.node.has_ready() {
            return None;
        }
        let mut ready = self.node.ready();
        let mut batch = Batch::default();
        let received = self.take_snapshot(&ready, &mut batch);
        if !self.node.mut_store().append(ready.entries()) {
            self.lost = Some(MemberFailure::Gap);
            return None;
        }
        batch.entries = ready.entries().iter().map(EntryRecord::from).collect();
        self.take_hard_state(&ready, &mut batch);
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

    /// A snapshot from the leader takes the place of the log.
    fn take_snapshot(&mut self, ready: &Ready, batch: &mut Batch) -> Option<ReceivedSnapshot> {
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

    fn take_hard_state(&mut self, ready: &Ready, batch: &mut Batch) {
        let Some(hard) = ready.hs() else { return };
        self.node.mut_store().hard = hard.clone();
        // A commit index alone is learnt again after a start: it is written along with the next batch that must be.
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
            // Who votes follows from the commit index, and is needed again at the next start: a member that forgot
            // that it may vote would wait for ever for voters that are gone.
            let hard = self.node.raft.hard_state();
            self.node.mut_store().hard = hard.clone();
            batch.hard = Some((&hard).into());
        }
    }

    /// Puts a snapshot in place of old entries, once there are many.
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

    /// Gives the library a snapshot, if it has asked for one to send.
    fn offer_snapshot(&mut self) {
        if !self.node.store().wants_snapshot() {
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

    /// The batch is on the disk.
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
                self.lost = Some(MemberFailure::Form(state.format_version()));
            }
            Some(state) => self.state = state,
            None => self.lost = Some(MemberFailure::State),
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
