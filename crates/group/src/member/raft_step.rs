//! Time and messages for the consensus library: its ticks, what other members send, and its election timeouts.

use super::{Member, MemberFailure};
use crate::record::MessageRecord;
use crate::state::Proposed;
use raft::eraftpb::{Message, MessageType};
use raft::{ProgressState, SnapshotStatus, StateRole};

/// A member that was stalled makes up for at most so many ticks: it listens before it seeks votes.
const MAX_TICKS_AT_ONCE: u32 = 2;
/// A snapshot that was sent and not taken after this is sent again, ms.
const SNAPSHOT_TIMEOUT_MS: f64 = 3000.0;

impl Member {
    /// Time goes by. To be called at least once a tick.
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

    /// A snapshot may be lost on its way, and the library waits for its end: without a report the member it was for
    /// would never be sent another.
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

    /// A message has come.
    pub fn receive(&mut self, now_ms: f64, message: MessageRecord) {
        let from = message.from;
        let Some(message) = message.message().filter(|m| m.to == self.id()) else {
            return;
        };
        self.last_heard_ms.insert(from, now_ms);
        if self.shows_lost_entries(&message) {
            self.lost = Some(MemberFailure::Behind);
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

    /// A heartbeat names as committed only what this member has acknowledged. If the log is shorter, the disk has lost
    /// what it had confirmed, and the library would abort on it: the member must not vote on.
    fn shows_lost_entries(&self, message: &Message) -> bool {
        let raft = &self.node.raft;
        message.get_msg_type() == MessageType::MsgHeartbeat
            && message.term >= raft.term
            && message.commit > raft.raft_log.last_index()
    }

    /// A message could not be sent.
    pub fn unreachable(&mut self, id: u64) {
        self.node.report_unreachable(id);
    }

    /// To be called after each step of the library: draws the election timeout anew, and notes who leads.
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

    /// The library draws election timeouts from the thread's generator. Here they follow from seed, incarnation, term
    /// and role, so that a run can be repeated, and come from a part of the range that is this voter's own in that
    /// term: two candidates at once would split the votes.
    fn election_timeout_ticks(&self) -> usize {
        let raft = &self.node.raft;
        let min_ticks = self.settings.election_ticks as u64;
        let voters = (self.conf.voters.len() as u64).clamp(1, min_ticks);
        let rank = self.conf.voters.iter().filter(|id| **id < raft.id).count() as u64;
        let part = min_ticks / voters;
        let own_part = (rank + raft.term) % voters;
        let drawn = mix([self.settings.seed, raft.id, raft.term, raft.state as u64]) % part;
        (min_ticks + own_part * part + drawn) as usize
    }
}

/// A proposal that nobody could carry out would stop every member that reads it in the log.
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

/// A hash whose low bits vary with every word.
fn mix(words: [u64; 4]) -> u64 {
    words.iter().fold(0x9e37_79b9_7f4a_7c15, |hash, word| {
        let mixed = (hash ^ word).wrapping_mul(0xff51_afd7_ed55_8ccd);
        (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53)
    })
}
