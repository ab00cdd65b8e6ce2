//! Who is admitted, and who votes: the leader brings the voters in line with the members that the group agreed on, one
//! step at a time.

use super::{Member, SILENT_MS};
use crate::state::Proposal;
use raft::eraftpb::{ConfChangeSingle, ConfChangeType, ConfChangeV2};
use raft::ProgressState;

/// A learner becomes a voter once it lacks at most so many entries.
const MAX_LEARNER_LAG: u64 = 64;
/// Between two proposals to admit the same member, ms.
const ADMIT_INTERVAL_MS: f64 = 1000.0;

/// The next change of the configuration.
enum Step {
    AddLearner(u64),
    /// In one step with the voters that it replaces: there are never fewer votes in between.
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
    /// A member says that its folder is empty. Its incarnation, if it has been admitted.
    pub fn join(&mut self, now_ms: f64, name: &str, nonce: u64) -> Option<u64> {
        if let Some(id) = self.state.admitted(name, nonce) {
            return Some(id);
        }
        // An older program could not carry out what the log may hold by now.
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

    /// Two processes may be started under one name, one of them with an empty folder. The one that still speaks must
    /// not lose its vote to it: it is replaced only when this leader has heard nothing of it for a while.
    fn may_admit(&self, now_ms: f64, name: &str) -> bool {
        let Some((id, _)) = self.state.incarnation(name) else {
            return true;
        };
        let is_past = |since_ms: f64| now_ms - since_ms > SILENT_MS;
        let heard_ms = self.last_heard_ms.get(&id);
        self.leading_since_ms.is_some_and(is_past) && heard_ms.is_none_or(|at| is_past(*at))
    }

    /// Gives leadership away, if it has it, to the voter that lacks least.
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

    /// The leader proposes the next step towards the voters that the state asks for, if no other one is on its way.
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
        let wanted = self.state.wanted();
        let is_new = |id: &&u64| !voters.contains(id) && !learners.contains(id);
        if let Some(id) = wanted.iter().find(is_new) {
            return Some(Step::AddLearner(*id));
        }
        let is_ready = |id: &&u64| learners.contains(id) && self.has_caught_up(**id);
        if let Some(learner) = wanted.iter().find(is_ready) {
            let replaced = voters.iter().filter(|old| self.replaces(*learner, **old));
            return Some(Step::Promote {
                learner: *learner,
                replaced: replaced.copied().collect(),
            });
        }
        // One whose replacement still catches up votes until then.
        let awaits_replacement = |old: u64| {
            let mut new = wanted.iter().filter(|id| learners.contains(id));
            new.any(|id| self.replaces(*id, old))
        };
        let mut present = voters.iter().chain(learners);
        present
            .find(|id| !wanted.contains(id) && !awaits_replacement(**id))
            .map(|id| Step::Remove(*id))
    }

    fn replaces(&self, id: u64, old: u64) -> bool {
        let member = self.state.members.get(&id);
        member.is_some_and(|member| member.place_of.contains(&old))
    }

    /// Whether a learner lacks so little that the group is not held up by its vote.
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
