//! Whether the counter service can be relied on: how congested it is, and whether it is
//! unavailable.
//!
//! **Rule.** A call that fails, or takes more than [`SLOW_CALL_SHARE`] of the time allowed for it,
//! raises congestion; a good one lowers it, and each second leaves a part of it. Congestion is the
//! part of the calls to shared buckets that is not made, and while the counter is unavailable that
//! of all calls. [`FAILURES_TO_UNAVAILABLE`] consecutive calls without an answer mean that the
//! counter is unavailable until the next answer. A rejection is an answer: the counter is there,
//! and congested.
//!
//! **Inputs.** Outcome and duration (s) of each call; the settings' counter timeout (s).
//!
//! **Guards.** Ingresses that all keep calling a congested counter keep it congested. While it is
//! unavailable quotas fall back to even shares (see [`super::quota_lease`]), and totals of windows
//! that began before are not trusted, as the counter may have lost them. Known harm: requests that
//! go unchecked are decided by an estimate.

use super::Outcome;

/// Congestion at the start: nothing is known, and after a restart of all ingresses the counter is
/// busy.
const START_CONGESTION: f64 = 0.3;
/// A bad call raises congestion by this part of what is left to 1.
const CONGESTION_RISE: f64 = 0.3;
/// A good call lowers congestion by this much.
const CONGESTION_FALL: f64 = 0.06;
/// Most congestion: some calls must go on, or its end would not be seen.
const MAX_CONGESTION: f64 = 0.95;
/// What a second leaves of congestion: it ends also where there are no calls.
const CONGESTION_LEFT_AFTER_SECOND: f64 = 0.8;
/// A call that takes this share of the counter timeout is bad: the next ones will be late.
const SLOW_CALL_SHARE: f64 = 0.4;
/// Consecutive calls without an answer that mean unavailable: one or two are lost in passing.
const FAILURES_TO_UNAVAILABLE: u32 = 3;

/// What calls have told of the counter.
pub(super) struct CounterHealth {
    /// Part of the calls that is not made, 0 to 0.95.
    congestion: f64,
    consecutive_failures: u32,
    /// When totals were last lost, or the counter last found unavailable, s.
    totals_lost_at: f64,
}

impl CounterHealth {
    pub(super) fn new() -> CounterHealth {
        CounterHealth {
            congestion: START_CONGESTION,
            consecutive_failures: 0,
            totals_lost_at: f64::NEG_INFINITY,
        }
    }

    pub(super) fn congestion(&self) -> f64 {
        self.congestion
    }

    pub(super) fn is_unavailable(&self) -> bool {
        self.consecutive_failures >= FAILURES_TO_UNAVAILABLE
    }

    /// Whether a window that began at `start` (s) may have totals that were lost since.
    pub(super) fn may_have_lost_totals_since(&self, start: f64) -> bool {
        start < self.totals_lost_at
    }

    /// A total is lower than what this ingress alone has added: the counter came back empty.
    pub(super) fn record_lost_totals(&mut self, now: f64) {
        self.totals_lost_at = now;
    }

    /// Takes in a call that ended at `now` after `duration`, where `timeout` is allowed, all in
    /// seconds. `answered`: with a total.
    pub(super) fn record_call(
        &mut self,
        now: f64,
        duration: f64,
        timeout: f64,
        outcome: Outcome,
        answered: bool,
    ) {
        let good = outcome == Outcome::Ok && duration < SLOW_CALL_SHARE * timeout;
        let congestion = if good {
            self.congestion - CONGESTION_FALL
        } else {
            self.congestion + CONGESTION_RISE * (1.0 - self.congestion)
        };
        self.congestion = congestion.clamp(0.0, MAX_CONGESTION);
        let unanswered = !answered && outcome != Outcome::Rejected;
        let failures = self.consecutive_failures + u32::from(unanswered);
        // Also at the answer that ends an outage: what was lost may have been lost until now.
        if failures >= FAILURES_TO_UNAVAILABLE {
            self.totals_lost_at = now;
        }
        self.consecutive_failures = if unanswered { failures } else { 0 };
    }

    /// A second has passed.
    pub(super) fn relax(&mut self) {
        self.congestion *= CONGESTION_LEFT_AFTER_SECOND;
    }
}
