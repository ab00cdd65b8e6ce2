//! The lease client of one ingress: decides when to acquire, renew and release leases, and returns
//! the fencing token that the ingress may use now. The client relies on the local clock alone. Two
//! rules must hold: a lease counts from a moment before its proposal was sent, and a lease is not
//! acquired before the last grant has expired on the slowest permitted clock.

mod local_lease;

use crate::table::{LeaseHolder, LeaseProposal, LeaseTable};
use crate::timing;
use local_lease::{LocalLease, NextProposal};
use std::collections::BTreeMap;

/// A lease that this ingress tries to hold.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSpec {
    /// The name of the lease.
    pub name: String,
    /// How long a grant or renewal may be used, ms.
    pub lease_ms: u32,
    /// Priority of this ingress among the ingresses that compete for the lease; 0 is the highest.
    pub rank: u32,
}

/// Assumptions on which the safety of leases rests. Values other than [`SafetyRules::SOUND`] are
/// for tests that show what breaks without them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SafetyRules {
    /// Upper bound on the relative error of a clock's rate.
    pub clock_rate_bound: f64,
    /// Whether a lease counts from when its proposal was sent, rather than from when its commit was
    /// observed.
    pub count_from_sending: bool,
}

impl SafetyRules {
    /// The rules for production.
    pub const SOUND: SafetyRules = SafetyRules {
        clock_rate_bound: timing::CLOCK_RATE_BOUND,
        count_from_sending: true,
    };
}

/// Why a lease has begun or ended on this ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// Acquired: the lease had no holder.
    Free,
    /// Acquired: the previous holder did not renew the lease in time.
    Lapsed,
    /// Lost: this ingress did not renew the lease in time and stops by its own clock.
    Expired,
    /// Lost: another ingress holds the lease now.
    Taken,
    /// Lost: this ingress cannot do the work that the lease covers.
    Unable,
    /// Lost: the holder is shutting down.
    Leaving,
}

/// The start or end of a lease on this ingress.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseChange {
    /// The name of the lease.
    pub lease: String,
    /// The fencing token of a lease that starts; `None` if the lease ends.
    pub token: Option<u64>,
    /// The cause of the change.
    pub reason: ChangeReason,
}

/// The lease client of one ingress.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseClient {
    holder: LeaseHolder,
    rules: SafetyRules,
    leases: BTreeMap<String, LocalLease>,
    /// When each proposal was sent, by proposal number, ms. Proposals older than the longest lease
    /// are dropped.
    sent_ms: BTreeMap<u64, f64>,
    last_number: u64,
    leaving: bool,
    changes: Vec<LeaseChange>,
}

impl LeaseClient {
    /// Creates a client that competes for the leases in `specs`.
    pub fn new(
        holder: LeaseHolder,
        specs: impl IntoIterator<Item = LeaseSpec>,
        now_ms: f64,
    ) -> LeaseClient {
        let leases = specs
            .into_iter()
            .map(|spec| (spec.name.clone(), LocalLease::new(spec, now_ms)))
            .collect();
        LeaseClient {
            holder,
            rules: SafetyRules::SOUND,
            leases,
            sent_ms: BTreeMap::new(),
            last_number: 0,
            leaving: false,
            changes: Vec::new(),
        }
    }

    /// Replaces the safety rules, for tests.
    pub fn with_rules(self, rules: SafetyRules) -> LeaseClient {
        LeaseClient { rules, ..self }
    }

    /// Returns the fencing token that this ingress may use at this moment. Call it immediately
    /// before each operation and send the token with the operation.
    pub fn token(&self, now_ms: f64, lease: &str) -> Option<u64> {
        let grant = self.leases.get(lease)?.grant()?;
        (now_ms < grant.expires_ms).then_some(grant.token)
    }

    /// Returns when the lease expires by the local clock, ms; `None`: this ingress does not hold
    /// the lease.
    pub fn expires_ms(&self, lease: &str) -> Option<f64> {
        let grant = self.leases.get(lease)?.grant()?;
        Some(grant.expires_ms)
    }

    /// Updates the client from the replicated table, as far as this ingress has applied the log.
    pub fn observe(&mut self, now_ms: f64, table: &LeaseTable) {
        for (name, lease) in &mut self.leases {
            let Some(state) = table.state(name) else {
                continue;
            };
            if !lease.observe_change(now_ms, state) {
                continue;
            }
            let change = if state.holder.as_ref() != Some(&self.holder) {
                lease.observe_not_held(state)
            } else if let Some(sent_ms) = self.sent_ms.get(&state.number) {
                let counts_from_ms = match self.rules.count_from_sending {
                    true => *sent_ms,
                    false => now_ms,
                };
                lease.observe_held(now_ms, state, counts_from_ms, self.leaving)
            } else {
                // The send time of this grant is unknown, so its expiry cannot be computed: this
                // ingress does not use the grant.
                None
            };
            self.changes.extend(change);
        }
    }

    /// Releases a lease whose work this ingress cannot do now, and pauses before acquiring it
    /// again.
    pub fn give_up(&mut self, now_ms: f64, lease: &str) {
        if let Some(lease) = self.leases.get_mut(lease) {
            let change = lease.give_up(now_ms);
            self.changes.extend(change);
        }
    }

    /// Starts the shutdown: releases all leases and acquires no more.
    pub fn leave(&mut self) {
        self.leaving = true;
        for lease in self.leases.values_mut() {
            let change = lease.leave();
            self.changes.extend(change);
        }
    }

    /// Whether the shutdown has no lease left to release.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.leases.values().any(LocalLease::is_releasing)
    }

    /// Expires leases and returns the proposals to send now. `table` must be the one last passed to
    /// [`LeaseClient::observe`].
    pub fn poll(&mut self, now_ms: f64, table: &LeaseTable) -> Vec<LeaseProposal> {
        let number = self.last_number + 1;
        let mut proposals = Vec::new();
        let mut renewals = Vec::new();
        for (name, lease) in &mut self.leases {
            self.changes.extend(lease.expire(now_ms));
            let state = table.state(name);
            match lease.next_proposal(now_ms, state, &self.holder, self.rules, self.leaving) {
                NextProposal::Nothing => {}
                NextProposal::Renew(token) => renewals.push((name.clone(), token)),
                NextProposal::Release(token) => proposals.push(LeaseProposal::Release {
                    lease: name.clone(),
                    token,
                }),
                NextProposal::Acquire => proposals.push(lease.acquire(&self.holder, number)),
            }
        }
        if !renewals.is_empty() {
            proposals.push(LeaseProposal::Renew {
                holder: self.holder.clone(),
                leases: renewals,
                number,
            });
        }
        if !proposals.is_empty() {
            self.note_sent(now_ms, number);
        }
        proposals
    }

    /// Records the send time of a proposal, and drops send times older than the longest lease: an
    /// answer to one of those proposals can no longer grant a valid lease.
    fn note_sent(&mut self, now_ms: f64, number: u64) {
        self.last_number = number;
        self.sent_ms.insert(number, now_ms);
        let leases = self.leases.values();
        let longest_ms = leases.map(LocalLease::lease_ms).fold(0.0, f64::max);
        self.sent_ms
            .retain(|_, sent_ms| now_ms - *sent_ms <= longest_ms);
    }

    /// Returns and clears the changes since the last call.
    pub fn changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }
}
