//! One lease as this ingress sees it: what it last saw of it, and what it holds and proposes.

use super::{ChangeReason, LeaseChange, LeaseSpec, SafetyRules};
use crate::table::{LeaseHolder, LeaseProposal, LeaseState};
use crate::timing;

/// Each further rank comes so much later, ms: the first that can acquires the lease, and three in a row that cannot cost
/// less than the 200 ms in which a lease that was released is to be held again.
const RANK_INTERVAL_MS: f64 = 50.0;
/// A lease whose work this ingress could not do is left alone for so long at first, ms; doubles with each failure.
const FIRST_GIVE_UP_PAUSE_MS: f64 = 1000.0;
/// The same at most, ms.
const MAX_GIVE_UP_PAUSE_MS: f64 = 60_000.0;
/// Doublings beyond this change the pause no more.
const MAX_DOUBLINGS: u32 = 6;
/// One that was held for so long is no failure that adds to earlier ones, ms.
const SETTLED_MS: f64 = 30_000.0;
/// A proposal without an answer is sent anew after this, ms.
const RETRY_INTERVAL_MS: f64 = 300.0;

/// A lease that this ingress holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Grant {
    pub(super) token: u64,
    /// By this ingress's own clock.
    pub(super) expires_ms: f64,
}

/// The last change of the agreed lease that was seen here.
#[derive(Clone, Copy, Debug, PartialEq)]
struct SeenChange {
    /// [`LeaseState::changed_at`].
    changed_at: u64,
    /// When it was first seen.
    at_ms: f64,
}

/// What is to be proposed.
pub(super) enum Next {
    Nothing,
    Acquire,
    /// By this token.
    Renew(u64),
    /// By this token.
    Release(u64),
}

/// One lease as this ingress sees it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LocalLease {
    spec: LeaseSpec,
    seen: SeenChange,
    grant: Option<Grant>,
    granted_ms: f64,
    /// When the last proposal was sent that has no answer.
    proposed_ms: Option<f64>,
    /// Why the lease would begin, if what was proposed is granted.
    reason: ChangeReason,
    /// It is left alone until then.
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

    /// Notes the agreed state. False: it was seen before.
    pub(super) fn note_seen(&mut self, now_ms: f64, state: &LeaseState) -> bool {
        if state.changed_at == self.seen.changed_at {
            return false;
        }
        self.seen = SeenChange {
            changed_at: state.changed_at,
            at_ms: now_ms,
        };
        true
    }

    /// This ingress holds the lease by a grant or renewal that counts from `counts_from_ms`.
    pub(super) fn observe_held(
        &mut self,
        now_ms: f64,
        state: &LeaseState,
        counts_from_ms: f64,
        leaving: bool,
    ) -> Option<LeaseChange> {
        // What it is about to release, or has no more use for, it does not begin again.
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

    /// Another ingress holds the lease, or none.
    pub(super) fn observe_not_held(&mut self, state: &LeaseState) -> Option<LeaseChange> {
        self.proposed_ms = None;
        self.grant.take()?;
        let reason = match state.holder {
            Some(_) => ChangeReason::Taken,
            None => ChangeReason::Leaving,
        };
        Some(self.change(None, reason))
    }

    /// Releases the lease, and leaves it alone for a pause that doubles with each failure.
    pub(super) fn give_up(&mut self, now_ms: f64) -> Option<LeaseChange> {
        let grant = self.grant.take()?;
        if now_ms - self.granted_ms > SETTLED_MS {
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

    /// Releases the lease: the ingress shuts down.
    pub(super) fn leave(&mut self) -> Option<LeaseChange> {
        let grant = self.grant.take()?;
        self.releasing = Some(grant.token);
        Some(self.change(None, ChangeReason::Leaving))
    }

    /// Ends a grant whose time is up, by this ingress's own clock alone: one that is cut off, or was stopped, hears of
    /// nothing.
    pub(super) fn expire(&mut self, now_ms: f64) -> Option<LeaseChange> {
        self.grant.filter(|grant| now_ms >= grant.expires_ms)?;
        self.grant = None;
        self.proposed_ms = None;
        Some(self.change(None, ChangeReason::Expired))
    }

    /// What is to be proposed now, which counts as sent.
    pub(super) fn next(
        &mut self,
        now_ms: f64,
        state: Option<&LeaseState>,
        holder: &LeaseHolder,
        rules: SafetyRules,
        leaving: bool,
    ) -> Next {
        if let Some(token) = self.releasing {
            return self.next_release(now_ms, token, state, holder);
        }
        if leaving || self.awaits_answer(now_ms) {
            return Next::Nothing;
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
    ) -> Next {
        let is_held =
            |state: &LeaseState| state.token == token && state.holder.as_ref() == Some(holder);
        if !state.is_some_and(is_held) {
            self.releasing = None;
            return Next::Nothing;
        }
        if self.awaits_answer(now_ms) {
            return Next::Nothing;
        }
        self.proposed_ms = Some(now_ms);
        Next::Release(token)
    }

    fn next_renewal(&mut self, now_ms: f64, grant: Grant) -> Next {
        let lease_ms = self.lease_ms();
        let counts_from_ms = grant.expires_ms - lease_ms;
        if now_ms < counts_from_ms + timing::renewal_interval_ms(lease_ms) {
            return Next::Nothing;
        }
        self.proposed_ms = Some(now_ms);
        Next::Renew(grant.token)
    }

    /// A holder that is cut off may act until its lease is over by the slowest clock: others wait for that, from when
    /// they saw the last change. A lease without a holder needs no wait but that of the rank.
    fn next_acquisition(
        &mut self,
        now_ms: f64,
        state: Option<&LeaseState>,
        rules: SafetyRules,
    ) -> Next {
        let held_by_other = state.filter(|state| state.holder.is_some());
        let takeover_ms = held_by_other.map_or(0.0, |state| {
            timing::takeover_wait_ms(f64::from(state.lease_ms), rules.clock_rate_bound)
        });
        let wait_ms = takeover_ms + f64::from(self.spec.rank) * RANK_INTERVAL_MS;
        if now_ms < self.seen.at_ms + wait_ms || now_ms < self.not_before_ms {
            return Next::Nothing;
        }
        self.proposed_ms = Some(now_ms);
        self.reason = match held_by_other {
            Some(_) => ChangeReason::Lapsed,
            None => ChangeReason::Free,
        };
        Next::Acquire
    }

    /// The proposal to acquire the lease, if nothing has happened to it since it was last seen here.
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
