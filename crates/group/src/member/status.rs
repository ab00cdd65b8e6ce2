//! What a member says of itself: its role, who leads, how old its replica is.

use super::Member;
use raft::StateRole;

/// What a member is to the consensus library.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It leads.
    Leader,
    /// It follows a leader.
    Follower,
    /// A candidate: it seeks votes.
    Candidate,
    /// A learner: it copies and does not vote.
    Learner,
}

/// How another member stands, as the leader sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Health {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub id: u64,
    /// Whether it votes.
    pub votes: bool,
    /// Entries that it lacks; none: only the leader knows.
    pub lag: Option<u64>,
}

/// What a member says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberStatus {
    /// What it is.
    pub role: Role,
    /// The leader's name; none: there is no leader.
    pub leader: Option<String>,
    /// The term.
    pub term: u64,
    /// The last index that is carried out here.
    pub applied: u64,
    /// The last index that is known as committed.
    pub committed: u64,
    /// So long ago it last heard of the group's leader, ms; infinite: not since it was started.
    pub age_ms: f64,
    /// All members.
    pub members: Vec<Health>,
    /// The configuration is joint: until that ends a majority of the earlier voters is needed as well.
    pub changing: bool,
    /// The format version of the log.
    pub format_version: u16,
}

impl Member {
    /// The leader's incarnation; none: nobody that is known.
    pub fn leader(&self) -> Option<u64> {
        Some(self.node.raft.leader_id).filter(|id| *id != 0)
    }

    /// Whether it leads.
    pub fn leads(&self) -> bool {
        self.node.raft.state == StateRole::Leader
    }

    /// How many vote.
    pub fn voters(&self) -> usize {
        self.conf.voters.len()
    }

    /// So long ago it last heard of the group's leader, ms; infinite: not since it was started.
    pub fn age_ms(&self, now_ms: f64) -> f64 {
        if self.leader_known {
            now_ms - self.leader_heard_ms
        } else {
            f64::INFINITY
        }
    }

    /// How it stands.
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

    /// When this leader last knew that a majority was there. A leader that was stalled does not know it any more.
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
