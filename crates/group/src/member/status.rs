//! The status of a member: its role, the leader, and the age of its state.

use super::Member;
use raft::StateRole;

/// The role of a member in the consensus.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The leader.
    Leader,
    /// A voter that follows a leader.
    Follower,
    /// A candidate, which requests votes.
    Candidate,
    /// A learner, which replicates the log and does not vote.
    Learner,
}

/// The replication status of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    /// The member's name.
    pub name: String,
    /// The member's incarnation.
    pub id: u64,
    /// Whether the member votes.
    pub votes: bool,
    /// Number of entries that the member lacks; `None`: not known, because only the leader tracks
    /// it.
    pub lag: Option<u64>,
}

/// The status that a member reports.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// The member's role.
    pub role: Role,
    /// The leader's name; `None`: there is no leader.
    pub leader: Option<String>,
    /// The current term.
    pub term: u64,
    /// The last log index that this member has applied.
    pub applied: u64,
    /// The last log index that is known to be committed.
    pub committed: u64,
    /// Time since the last message from the group's leader, ms; infinite: none since the start.
    pub age_ms: f64,
    /// All members of the group.
    pub members: Vec<Health>,
    /// Whether the configuration is joint, so that a majority of the earlier voters is required as
    /// well.
    pub changing: bool,
    /// The format version of the log.
    pub format_version: u16,
}

impl Member {
    /// Returns the leader's incarnation; `None`: no leader is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// Whether this member is the leader.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// Returns the number of voters.
    pub fn voters(&self) -> usize {
        self.conf.voters.len()
    }

    /// Returns the time since the last message from the group's leader, ms; infinite: none since
    /// the start.
    pub fn age_ms(&self, now_ms: f64) -> f64 {
        if self.leader_known {
            now_ms - self.leader_heard_ms
        } else {
            f64::INFINITY
        }
    }

    /// Returns the member's status.
    pub fn status(&self, now_ms: f64) -> MemberStatus {
        let leader = self.leader().and_then(|id| self.state.members.get(&id));
        MemberStatus {
            role: self.role(),
            leader: leader.map(|member| member.name.clone()),
            term: self.node.raft.term,
            applied: self.applied,
            committed: self.node.raft.raft_log.committed,
            age_ms: self.age_ms(now_ms),
            members: self.health(),
            changing: !self.conf.voters_outgoing.is_empty(),
            format_version: self.state.format_version(),
        }
    }

    fn role(&self) -> Role {
        let raft = &self.node.raft;
        match raft.state {
            StateRole::Leader => Role::Leader,
            _ if !self.conf.voters.contains(&raft.id) => Role::Learner,
            StateRole::Follower => Role::Follower,
            _ => Role::Candidate,
        }
    }

    fn health(&self) -> Vec<Health> {
        let raft = &self.node.raft;
        let last_index = raft.raft_log.last_index();
        let lag = |id: &u64| {
            let progress = raft.prs().get(*id).filter(|_| self.leads());
            progress.map(|p| last_index.saturating_sub(p.matched))
        };
        let health = self.state.members.iter().map(|(id, member)| Health {
            name: member.name.clone(),
            id: *id,
            votes: self.conf.voters.contains(id),
            lag: lag(id),
        });
        health.collect()
    }

    /// Returns when this leader last received messages from a majority. After a stall, the leader
    /// cannot assume that a majority still follows it.
    pub(super) fn majority_heard_ms(&self, now_ms: f64) -> f64 {
        let others = self.conf.voters.iter().filter(|id| **id != self.id());
        let mut times: Vec<f64> = others
            .map(|id| self.last_heard_ms.get(id).copied().unwrap_or(0.0))
            .collect();
        times.sort_by(|a, b| b.total_cmp(a));
        match self.conf.voters.len() / 2 {
            0 => now_ms,
            needed => times.get(needed - 1).copied().unwrap_or(0.0),
        }
    }
}
