//! Delays of proposed changes: until they are committed, and until the last follower has them.

use driftgap_group::Outcome;
use std::collections::HashMap;

/// Identifies a proposal: the index of the member that received it, and the proposal's number
/// there.
type ProposalId = (usize, u64);

/// Delays of one change since its proposal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Delay {
    /// Delay until a majority had written the change to disk and the caller received the result,
    /// ms.
    pub commit_ms: f64,
    /// Delay until the last follower had the change, ms.
    pub last_follower_ms: f64,
}

/// A committed change that some followers do not have yet.
#[derive(Clone, Copy, Debug)]
struct CommittedChange {
    index: u64,
    proposed_at_ms: f64,
    commit_ms: f64,
    pending_followers: usize,
}

/// All changes of a run.
#[derive(Debug, Default)]
pub(super) struct Changes {
    proposed: HashMap<ProposalId, f64>,
    committed: Vec<CommittedChange>,
    delays: Vec<Delay>,
}

impl Changes {
    /// Records a proposal.
    pub(super) fn proposed(&mut self, now_ms: f64, proposal: ProposalId) {
        self.proposed.insert(proposal, now_ms);
    }

    /// Records the result of a proposal, its log index and the number of followers whose replicas
    /// are behind that index. Proposals that changed nothing are not tracked further.
    pub(super) fn committed(
        &mut self,
        now_ms: f64,
        proposal: ProposalId,
        outcome: Outcome,
        index: u64,
        pending_followers: usize,
    ) {
        let Some(proposed_at_ms) = self.proposed.remove(&proposal) else {
            return;
        };
        if !matches!(outcome, Outcome::Done | Outcome::Written(_)) {
            return;
        }
        let commit_ms = now_ms - proposed_at_ms;
        self.committed.push(CommittedChange {
            index,
            proposed_at_ms,
            commit_ms,
            pending_followers,
        });
        self.collect_replicated(now_ms);
    }

    /// Records that a follower's replica has advanced from log index `before` to `after`.
    pub(super) fn follower_applied(&mut self, now_ms: f64, before: u64, after: u64) {
        for change in &mut self.committed {
            if before < change.index && change.index <= after {
                change.pending_followers -= 1;
            }
        }
        self.collect_replicated(now_ms);
    }

    fn collect_replicated(&mut self, now_ms: f64) {
        let done = self
            .committed
            .extract_if(.., |change| change.pending_followers == 0);
        self.delays.extend(done.map(|change| Delay {
            commit_ms: change.commit_ms,
            last_follower_ms: now_ms - change.proposed_at_ms,
        }));
    }

    /// Returns whether every follower has every proposed change.
    pub(super) fn all_replicated(&self) -> bool {
        self.proposed.is_empty() && self.committed.is_empty()
    }

    pub(super) fn take_delays(&mut self) -> Vec<Delay> {
        std::mem::take(&mut self.delays)
    }
}
