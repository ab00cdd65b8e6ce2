//! The local state of one lease: the last observed change, the grant if this ingress holds the
//! lease, and the pending proposal.

use super::{ChangeReason, LeaseChange, LeaseSpec, SafetyRules};
use crate::table::{LeaseHolder, LeaseProposal, LeaseState};
use crate::timing;

/// Additional wait per rank before acquiring a lease, ms. The first ingress that is able acquires
/// the lease. Three ingresses in a row that are unable delay this by less than the 200 ms within
/// which a released lease must be held again.
const RANK_INTERVAL_MS: f64 = 50.0;
/// First pause before acquiring again a lease that this ingress gave up, ms; doubles with each
/// failure.
const FIRST_GIVE_UP_PAUSE_MS: f64 = 1000.0;
/// Longest pause after giving up a lease, ms.
const MAX_GIVE_UP_PAUSE_MS: f64 = 60_000.0;
/// Most doublings of the pause: the sixth reaches the maximum.
const MAX_DOUBLINGS: u32 = 6;
/// Giving up a lease that was held for longer than this resets the failure count, ms.
const FAILURE_RESET_MS: f64 = 30_000.0;
/// A proposal without an answer is sent again after this interval, ms.
const RETRY_INTERVAL_MS: f64 = 300.0;

/// A lease that this ingress holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Grant {
    pub(super) token: u64,
    /// Expiry by the local clock.
    pub(super) expires_ms: f64,
}

/// The last change of the replicated lease that this ingress has observed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SeenChange {
    /// [`LeaseState::changed_at`].
    changed_at: u64,
    /// When the change was first observed.
    at_ms: f64,
}

/// The next proposal for a lease.
pub(super) enum NextProposal {
    Nothing,
    Acquire,
    /// Renews the grant of this token.
    Renew(u64),
    /// Releases the grant of this token.
    Release(u64),
}

/// The local state of one lease.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LocalLease {
    spec: LeaseSpec,
    seen: SeenChange,
    grant: Option<Grant>,
    granted_ms: f64,
    /// When the last unanswered proposal was sent.
    proposed_ms: Option<f64>,
    /// The reason to report if the pending acquisition is granted.
    reason: ChangeReason,
    /// Earliest time of the next acquisition.
    not_before_ms: f64,
    failures: u32,
    /// The token of the grant that is to be released.
    releasing: Option<u64>,
}

impl LocalLease {
    pub(super) fn new(spec: LeaseSpec, now_ms: f64) -> LocalLease {
        LocalLease {
            spec,
            seen: SeenChange {
                changed_at: 0,
                at_ms: now_ms,
            },
            grant: None,
            granted_ms: now_ms,
            proposed_ms: None,
            reason: ChangeReason::Free,
            not_before_ms: now_ms,
            failures: 0,
            releasing: None,
        }
    }

    pub(super) fn grant(&self) -> Option<Grant> {
        self.grant
    }

    pub(super) fn lease_ms(&self) -> f64 {
        f64::from(self.spec.lease_ms)
    }

    pub(super) fn is_releasing(&self) -> bool {
        self.releasing.is_some()
    }

    fn change(&self, token: Option<u64>, reason: ChangeReason) -> LeaseChange {
        LeaseChange {
            lease: self.spec.name.clone(),
            token,
            reason,
        }
    }

    /// Records a change of the replicated lease. Returns false if that change was observed before.
    pub(super) fn observe_change(&mut self, now_ms: f64, state: &LeaseState) -> bool {
        if state.changed_at == self.seen.changed_at {
            return false;
        }
        self.seen = SeenChange {
            changed_at: state.changed_at,
            at_ms: now_ms,
        };
        true
    }

    /// Records that this ingress holds the lease by a grant or renewal that counts from
    /// `counts_from_ms`.
    pub(super) fn observe_held(
        &mut self,
        now_ms: f64,
        state: &LeaseState,
        counts_from_ms: f64,
        leaving: bool,
    ) -> Option<LeaseChange> {
        // A lease that is being released, or granted during the shutdown, is not started again.
        if self.releasing == Some(state.token) || leaving {
            self.releasing = Some(state.token);
            return None;
        }
        let last = self.grant.filter(|grant| grant.token == state.token);
        let last_expires_ms = last.map_or(f64::MIN, |grant| grant.expires_ms);
        let expires_ms = timing::expires_ms(counts_from_ms, f64::from(state.lease_ms));
        self.grant = Some(Grant {
            token: state.token,
            expires_ms: expires_ms.max(last_expires_ms),
        });
        self.proposed_ms = None;
        if last.is_some() {
            return None;
        }
        self.granted_ms = now_ms;
        Some(self.change(Some(state.token), self.reason))
    }

    /// Records that another ingress, or none, holds the lease.
    pub(super) fn observe_not_held(&mut self, state: &LeaseState) -> Option<LeaseChange> {
        self.proposed_ms = None;
        self.grant.take()?;
        let reason = match state.holder {
            Some(_) => ChangeReason::Taken,
            None => ChangeReason::Leaving,
        };
        Some(self.change(None, reason))
    }

    /// Releases the lease, and postpones the next acquisition by a pause that doubles with each
    /// failure.
    pub(super) fn give_up(&mut self, now_ms: f64) -> Option<LeaseChange> {
        let grant = self.grant.take()?;
        if now_ms - self.granted_ms > FAILURE_RESET_MS {
            self.failures = 0;
        }
        let factor = f64::from(1u32 << self.failures.min(MAX_DOUBLINGS));
        let pause_ms = (FIRST_GIVE_UP_PAUSE_MS * factor).min(MAX_GIVE_UP_PAUSE_MS);
        self.failures += 1;
        self.not_before_ms = now_ms + pause_ms;
        self.releasing = Some(grant.token);
        self.proposed_ms = None;
        Some(self.change(None, ChangeReason::Unable))
    }

    /// Releases the lease for the shutdown.
    pub(super) fn leave(&mut self) -> Option<LeaseChange> {
        let grant = self.grant.take()?;
        self.releasing = Some(grant.token);
        Some(self.change(None, ChangeReason::Leaving))
    }

    /// Ends an expired grant. The decision uses the local clock alone, because an ingress that is
    /// partitioned or was suspended receives no messages.
    pub(super) fn expire(&mut self, now_ms: f64) -> Option<LeaseChange> {
        self.grant.filter(|grant| now_ms >= grant.expires_ms)?;
        self.grant = None;
        self.proposed_ms = None;
        Some(self.change(None, ChangeReason::Expired))
    }

    /// Returns the next proposal and records it as sent.
    pub(super) fn next_proposal(
        &mut self,
        now_ms: f64,
        state: Option<&LeaseState>,
        holder: &LeaseHolder,
        rules: SafetyRules,
        leaving: bool,
    ) -> NextProposal {
        if let Some(token) = self.releasing {
            return self.next_release(now_ms, token, state, holder);
        }
        if leaving || self.awaits_answer(now_ms) {
            return NextProposal::Nothing;
        }
        if let Some(grant) = self.grant {
            return self.next_renewal(now_ms, grant);
        }
        self.next_acquisition(now_ms, state, rules)
    }

    fn awaits_answer(&self, now_ms: f64) -> bool {
        let proposed_ms = self.proposed_ms;
        proposed_ms.is_some_and(|at_ms| now_ms - at_ms < RETRY_INTERVAL_MS)
    }

    fn next_release(
        &mut self,
        now_ms: f64,
        token: u64,
        state: Option<&LeaseState>,
        holder: &LeaseHolder,
    ) -> NextProposal {
        let is_held =
            |state: &LeaseState| state.token == token && state.holder.as_ref() == Some(holder);
        if !state.is_some_and(is_held) {
            self.releasing = None;
            return NextProposal::Nothing;
        }
        if self.awaits_answer(now_ms) {
            return NextProposal::Nothing;
        }
        self.proposed_ms = Some(now_ms);
        NextProposal::Release(token)
    }

    fn next_renewal(&mut self, now_ms: f64, grant: Grant) -> NextProposal {
        let lease_ms = self.lease_ms();
        let counts_from_ms = grant.expires_ms - lease_ms;
        if now_ms < counts_from_ms + timing::renewal_interval_ms(lease_ms) {
            return NextProposal::Nothing;
        }
        self.proposed_ms = Some(now_ms);
        NextProposal::Renew(grant.token)
    }

    /// A partitioned holder may act until its lease expires on the slowest permitted clock. Other
    /// ingresses wait for that long, counted from when they observed the last change. A lease
    /// without a holder requires only the wait of the rank.
    fn next_acquisition(
        &mut self,
        now_ms: f64,
        state: Option<&LeaseState>,
        rules: SafetyRules,
    ) -> NextProposal {
        let held_by_other = state.filter(|state| state.holder.is_some());
        let takeover_ms = held_by_other.map_or(0.0, |state| {
            timing::takeover_wait_ms(f64::from(state.lease_ms), rules.clock_rate_bound)
        });
        let wait_ms = takeover_ms + f64::from(self.spec.rank) * RANK_INTERVAL_MS;
        if now_ms < self.seen.at_ms + wait_ms || now_ms < self.not_before_ms {
            return NextProposal::Nothing;
        }
        self.proposed_ms = Some(now_ms);
        self.reason = match held_by_other {
            Some(_) => ChangeReason::Lapsed,
            None => ChangeReason::Free,
        };
        NextProposal::Acquire
    }

    /// Builds the proposal to acquire the lease on the condition that it has not changed since it
    /// was last observed.
    pub(super) fn acquire(&self, holder: &LeaseHolder, number: u64) -> LeaseProposal {
        LeaseProposal::Acquire {
            lease: self.spec.name.clone(),
            holder: holder.clone(),
            seen: self.seen.changed_at,
            lease_ms: self.spec.lease_ms,
            number,
        }
    }
}
