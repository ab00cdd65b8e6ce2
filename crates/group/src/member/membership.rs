//! Admission and voting: the leader adapts the voters to the members that the group has agreed on,
//! one configuration change at a time.

use super::{Member, SILENT_MS};
use crate::state::Proposal;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::ProgressState;

/// A learner becomes a voter once it lacks at most this many entries.
const MAX_LEARNER_LAG: u64 = 64;
/// Interval between two proposals to admit the same member, ms.
const ADMIT_INTERVAL_MS: f64 = 1000.0;

/// The next change of the configuration.
enum Step {
    AddLearner(u64),
    /// Makes the learner a voter and removes the voters that it replaces in one change, so that the
    /// number of voters does not drop in between.
    Promote {
        learner: u64,
        replaced: Vec<u64>,
    },
    Remove(u64),
}

impl Step {
    fn changes(self) -> Vec<ConfChangeSingle> {
        match self {
            Step::AddLearner(id) => vec![change(id, ConfChangeType::AddLearnerNode)],
            Step::Promote { learner, replaced } => {
                let removed = replaced
                    .into_iter()
                    .map(|id| change(id, ConfChangeType::RemoveNode));
                std::iter::once(change(learner, ConfChangeType::AddNode))
                    .chain(removed)
                    .collect()
            }
            Step::Remove(id) => vec![change(id, ConfChangeType::RemoveNode)],
        }
    }
}

fn change(id: u64, kind: ConfChangeType) -> ConfChangeSingle {
    let mut change = ConfChangeSingle {
        node_id: id,
        ..ConfChangeSingle::default()
    };
    change.set_change_type(kind);
    change
}

impl Member {
    /// Handles the request of a member with an empty folder to join. Returns its incarnation, if it
    /// has been admitted.
    pub fn join(&mut self, now_ms: f64, name: &str, nonce: u64) -> Option<u64> {
        if let Some(id) = self.state.admitted(name, nonce) {
            return Some(id);
        }
        // An older program could not apply entries that the log may contain by now.
        if self.newest_format_of(name) < self.state.format_version() {
            return None;
        }
        let invited = self.state.invited.get(name).map(|i| &i.address);
        let address = invited.or_else(|| self.settings.members.get(name))?.clone();
        let proposed_ms = self.admit_proposed_ms.get(name);
        let due = proposed_ms.is_none_or(|at_ms| now_ms - at_ms > ADMIT_INTERVAL_MS);
        let other = name != self.settings.name;
        if due && other && self.leads() && self.may_admit(now_ms, name) {
            self.admit_proposed_ms.insert(name.into(), now_ms);
            let admit = Proposal::Admit {
                name: name.into(),
                address,
                nonce,
            };
            let _ = self.propose_membership(now_ms, admit);
        }
        None
    }

    /// Whether a member with an empty folder may be admitted. Two processes may run under one name,
    /// one of them with an empty folder. The one that is still active must not lose its vote to the
    /// other: it is replaced only if this leader has received nothing from it for a while.
    fn may_admit(&self, now_ms: f64, name: &str) -> bool {
        let Some((id, _)) = self.state.incarnation(name) else {
            return true;
        };
        let is_long_ago = |since_ms: f64| now_ms - since_ms > SILENT_MS;
        let heard_ms = self.last_heard_ms.get(&id);
        self.leading_since_ms.is_some_and(is_long_ago) && heard_ms.is_none_or(|at| is_long_ago(*at))
    }

    /// Transfers leadership, if this member leads, to the voter that lacks the fewest entries.
    pub fn step_down(&mut self) {
        if !self.leads() {
            return;
        }
        let others = self.conf.voters.iter().filter(|id| **id != self.id());
        let matched = |id: &u64| self.node.raft.prs().get(*id).map_or(0, |p| p.matched);
        if let Some(id) = others.max_by_key(|id| matched(id)).copied() {
            self.node.transfer_leader(id);
        }
    }

    /// Proposes the next change towards the voters that the state requires, if this member leads
    /// and no other change is in progress.
    pub(super) fn reconcile_members(&mut self) {
        let in_change = self.node.raft.has_pending_conf() || !self.conf.voters_outgoing.is_empty();
        if !self.leads() || in_change {
            return;
        }
        let Some(step) = self.next_step() else { return };
        if matches!(step, Step::Remove(id) if id == self.id()) {
            return self.step_down();
        }
        let mut change = ConfChangeV2::default();
        change.set_changes(step.changes().into());
        let _ = self.node.propose_conf_change(Vec::new(), change);
    }

    fn next_step(&self) -> Option<Step> {
        let (voters, learners) = (&self.conf.voters, &self.conf.learners);
        let target_voters = self.state.target_voters();
        let is_new = |id: &&u64| !voters.contains(id) && !learners.contains(id);
        if let Some(id) = target_voters.iter().find(is_new) {
            return Some(Step::AddLearner(*id));
        }
        let is_ready = |id: &&u64| learners.contains(id) && self.has_caught_up(**id);
        if let Some(learner) = target_voters.iter().find(is_ready) {
            let replaced = voters.iter().filter(|old| self.replaces(*learner, **old));
            return Some(Step::Promote {
                learner: *learner,
                replaced: replaced.copied().collect(),
            });
        }
        // A voter whose replacement is still catching up keeps its vote until then.
        let awaits_replacement = |old: u64| {
            let mut new = target_voters.iter().filter(|id| learners.contains(id));
            new.any(|id| self.replaces(*id, old))
        };
        let mut present = voters.iter().chain(learners);
        present
            .find(|id| !target_voters.contains(id) && !awaits_replacement(**id))
            .map(|id| Step::Remove(*id))
    }

    fn replaces(&self, id: u64, old: u64) -> bool {
        let member = self.state.members.get(&id);
        member.is_some_and(|member| member.replaced_ids.contains(&old))
    }

    /// Whether a learner lacks so few entries that its vote does not delay the group.
    fn has_caught_up(&self, id: u64) -> bool {
        let raft = &self.node.raft;
        let Some(progress) = raft.prs().get(id) else {
            return false;
        };
        let replicates = progress.recent_active && progress.state != ProgressState::Snapshot;
        let last_index = raft.raft_log.last_index();
        replicates && progress.matched > 0 && progress.matched + MAX_LEARNER_LAG >= last_index
    }
}
