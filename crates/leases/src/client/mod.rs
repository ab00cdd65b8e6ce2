//! What one ingress does about leases: when it acquires, renews and releases them, and by which token it may act right
//! now. It goes by this ingress's own clock alone. It must never say that the ingress may act by a lease that counts from
//! anything later than before its proposal was sent, nor acquire a lease before the last one is over for the slowest
//! clock.

mod local_lease;

use crate::table::{LeaseHolder, LeaseProposal, LeaseTable};
use crate::timing;
use local_lease::{LocalLease, Next};
use std::collections::BTreeMap;

/// A lease as this ingress is to hold it.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseSpec {
    /// Its name.
    pub name: String,
    /// How long a grant or renewal may be used, ms.
    pub lease_ms: u32,
    /// This ingress's rank among those who are to hold it; 0: the first.
    pub rank: u32,
}

/// What the safety of leases rests on. Anything but [`SafetyRules::SOUND`] is for tests that show what breaks without it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SafetyRules {
    /// Clocks run so much too fast or slow at most, as a part of the true rate.
    pub clock_rate_bound: f64,
    /// Leases count from when their proposal was sent, and not from when it was seen carried out.
    pub count_from_sending: bool,
}

impl SafetyRules {
    /// As they have to be.
    pub const SOUND: SafetyRules = SafetyRules {
        clock_rate_bound: timing::CLOCK_RATE_BOUND,
        count_from_sending: true,
    };
}

/// Why a lease has changed hands, as this ingress knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeReason {
    /// Nobody held it.
    Free,
    /// The last holder had not renewed it in time.
    Lapsed,
    /// No renewal came through in time: this ingress stops by its own clock.
    Expired,
    /// Another ingress holds it now.
    Taken,
    /// This ingress cannot do the work.
    Unable,
    /// The holder is shutting down.
    Leaving,
}

/// A change of what this ingress may do.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseChange {
    /// The lease.
    pub lease: String,
    /// The token by which it begins; none: it ends.
    pub token: Option<u64>,
    /// Why.
    pub reason: ChangeReason,
}

/// One ingress's part in leases.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseClient {
    holder: LeaseHolder,
    rules: SafetyRules,
    leases: BTreeMap<String, LocalLease>,
    /// When each proposal whose answer is still of use was sent, by number, ms.
    sent_ms: BTreeMap<u64, f64>,
    last_number: u64,
    leaving: bool,
    changes: Vec<LeaseChange>,
}

impl LeaseClient {
    /// One that may hold these leases.
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

    /// The same by other rules, for tests.
    pub fn with_rules(self, rules: SafetyRules) -> LeaseClient {
        LeaseClient { rules, ..self }
    }

    /// The token by which this ingress may act at this moment; to be asked right before each act, and sent with it.
    pub fn token(&self, now_ms: f64, lease: &str) -> Option<u64> {
        let grant = self.leases.get(lease)?.grant()?;
        (now_ms < grant.expires_ms).then_some(grant.token)
    }

    /// Until when this ingress may act, by its own clock, ms; none: it does not hold the lease.
    pub fn expires_ms(&self, lease: &str) -> Option<f64> {
        let grant = self.leases.get(lease)?.grant()?;
        Some(grant.expires_ms)
    }

    /// Takes in what is agreed, as far as it is known here now.
    pub fn observe(&mut self, now_ms: f64, table: &LeaseTable) {
        for (name, lease) in &mut self.leases {
            let Some(state) = table.state(name) else {
                continue;
            };
            if !lease.note_seen(now_ms, state) {
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
                // Without the time at which it was sent there is nothing to count from: it lapses.
                None
            };
            self.changes.extend(change);
        }
    }

    /// This ingress cannot do the work of a lease now: it releases the lease, and leaves it alone for a while.
    pub fn give_up(&mut self, now_ms: f64, lease: &str) {
        if let Some(lease) = self.leases.get_mut(lease) {
            let change = lease.give_up(now_ms);
            self.changes.extend(change);
        }
    }

    /// The ingress shuts down: all that it holds is released at once, and nothing more is acquired.
    pub fn leave(&mut self) {
        self.leaving = true;
        for lease in self.leases.values_mut() {
            let change = lease.leave();
            self.changes.extend(change);
        }
    }

    /// Whether nothing is left to be released.
    pub fn has_left(&self) -> bool {
        self.leaving && !self.leases.values().any(LocalLease::is_releasing)
    }

    /// Time goes by; what to propose now. `table`: as it was shown to [`LeaseClient::observe`] last.
    pub fn pass(&mut self, now_ms: f64, table: &LeaseTable) -> Vec<LeaseProposal> {
        let number = self.last_number + 1;
        let mut proposals = Vec::new();
        let mut renewals = Vec::new();
        for (name, lease) in &mut self.leases {
            self.changes.extend(lease.expire(now_ms));
            let state = table.state(name);
            match lease.next(now_ms, state, &self.holder, self.rules, self.leaving) {
                Next::Nothing => {}
                Next::Renew(token) => renewals.push((name.clone(), token)),
                Next::Release(token) => proposals.push(LeaseProposal::Release {
                    lease: name.clone(),
                    token,
                }),
                Next::Acquire => proposals.push(lease.acquire(&self.holder, number)),
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

    /// An answer that comes later than any lease lasts is of no use.
    fn note_sent(&mut self, now_ms: f64, number: u64) {
        self.last_number = number;
        self.sent_ms.insert(number, now_ms);
        let leases = self.leases.values();
        let longest_ms = leases.map(LocalLease::lease_ms).fold(0.0, f64::max);
        self.sent_ms
            .retain(|_, sent_ms| now_ms - *sent_ms <= longest_ms);
    }

    /// Takes what has begun and ended.
    pub fn changes(&mut self) -> Vec<LeaseChange> {
        std::mem::take(&mut self.changes)
    }
}
