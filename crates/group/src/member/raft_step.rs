//! Input of the consensus library: ticks, messages from other members, and election timeouts.

use super::{Member, MemberFailure};
use crate::record::MessageRecord;
use crate::state::Proposed;
use raft::eraftpb::{Message, MessageType};
use raft::{ProgressState, SnapshotStatus, StateRole};

/// Most ticks that a member makes up for after a stall: it processes messages before it starts an
/// election.
const MAX_TICKS_AT_ONCE: u32 = 2;
/// A snapshot that was not received within this time is sent again, ms.
const SNAPSHOT_TIMEOUT_MS: f64 = 3000.0;

impl Member {
    /// Advances the time. Must be called at least once per tick.
    pub fn tick(&mut self, now_ms: f64) {
        let mut ticks = 0;
        while now_ms - self.last_tick_ms >= self.settings.tick_ms {
            self.last_tick_ms += self.settings.tick_ms;
            ticks += 1;
            if ticks > MAX_TICKS_AT_ONCE {
                self.last_tick_ms = now_ms;
                break;
            }
            self.node.tick();
            self.after_step(now_ms);
        }
        if ticks == 0 {
            return;
        }
        self.expire_snapshots(now_ms);
        self.reconcile_members();
        self.raise_format(now_ms);
        self.retry_calls(now_ms);
    }

    /// Reports lost snapshots to the library, which waits for the end of each transfer: without a
    /// report the receiver would never be sent another snapshot.
    fn expire_snapshots(&mut self, now_ms: f64) {
        let expired: Vec<u64> = self
            .snapshots_sent_ms
            .iter()
            .filter(|(_, sent_ms)| now_ms - **sent_ms > SNAPSHOT_TIMEOUT_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.snapshots_sent_ms.remove(&id);
            let progress = self.node.raft.prs().get(id);
            if progress.is_some_and(|p| p.state == ProgressState::Snapshot) {
                self.node.report_snapshot(id, SnapshotStatus::Failure);
            }
        }
    }

    /// Handles a message from another member.
    pub fn receive(&mut self, now_ms: f64, message: MessageRecord) {
        let from = message.from;
        let Some(message) = message.message().filter(|m| m.to == self.id()) else {
            return;
        };
        self.last_heard_ms.insert(from, now_ms);
        if self.shows_lost_entries(&message) {
            self.failure = Some(MemberFailure::LostEntries);
            return;
        }
        if is_unreadable_proposal(&message) {
            return;
        }
        let (term, from_leader) = (message.term, is_from_leader(&message));
        let _ = self.node.step(message);
        if from_leader && term == self.node.raft.term {
            self.leader_heard_ms = now_ms;
            self.leader_known = true;
        }
        self.after_step(now_ms);
    }

    /// Whether a message shows that the disk has lost entries. The commit index of a heartbeat
    /// covers only entries that this member has acknowledged. If the log is shorter, acknowledged
    /// entries are missing, the library would abort on the message, and the member must not vote
    /// any more.
    fn shows_lost_entries(&self, message: &Message) -> bool {
        let raft = &self.node.raft;
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= raft.term
            && message.commit > raft.raft_log.last_index()
    }

    /// Reports that a message to this member could not be sent.
    pub fn unreachable(&mut self, id: u64) {
        self.node.report_unreachable(id);
    }

    /// Sets a new election timeout and records who leads. Must be called after each step of the
    /// library.
    pub(super) fn after_step(&mut self, now_ms: f64) {
        let election_timeout = self.election_timeout_ticks();
        let raft = &mut self.node.raft;
        raft.set_randomized_election_timeout(election_timeout);
        if raft.state == StateRole::Leader {
            self.leading_since_ms.get_or_insert(now_ms);
            let heard_ms = self.majority_heard_ms(now_ms);
            self.leader_heard_ms = self.leader_heard_ms.max(heard_ms);
            self.leader_known |= heard_ms > 0.0;
        } else {
            self.leading_since_ms = None;
        }
    }

    /// Returns the next election timeout. The library would draw it from a thread-local random
    /// generator. Here it follows from the seed, incarnation, term and role, so that a run can be
    /// repeated, and lies in a part of the range that belongs to this voter alone in that term: two
    /// candidates at the same time would split the votes.
    fn election_timeout_ticks(&self) -> usize {
        let raft = &self.node.raft;
        let min_ticks = self.settings.election_ticks as u64;
        let voters = (self.conf.voters.len() as u64).clamp(1, min_ticks);
        let rank = self.conf.voters.iter().filter(|id| **id < raft.id).count() as u64;
        let slot_ticks = min_ticks / voters;
        let slot = (rank + raft.term) % voters;
        let offset =
            hash_words([self.settings.seed, raft.id, raft.term, raft.state as u64]) % slot_ticks;
        (min_ticks + slot * slot_ticks + offset) as usize
    }
}

/// Whether a message proposes an entry that cannot be decoded: in the log, it would stop every
/// member that applies it.
fn is_unreadable_proposal(message: &Message) -> bool {
    let mut entries = message.entries.iter();
    message.get_msg_type() == MessageType::MsgPropose
        && !entries.all(|entry| postcard::from_bytes::<Proposed>(&entry.data).is_ok())
}

fn is_from_leader(message: &Message) -> bool {
    matches!(
        message.get_msg_type(),
        MessageType::MsgAppend | MessageType::MsgHeartbeat | MessageType::MsgSnapshot
    )
}

/// Hashes the words so that the low bits depend on every word.
fn hash_words(words: [u64; 4]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |hash, word| {
        let mixed = (hash ^ word).wrapping_mul(0xff51_afd7_ed55_8ccd);
        (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53)
    })
}
