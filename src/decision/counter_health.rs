//! Health of the counter service: how congested it is, and whether it is unavailable.
//!
//! **Rule.** A call that fails, or takes more than [`SLOW_CALL_SHARE`] of its timeout, raises
//! congestion. A good call lowers it, and it also decays by a fixed factor each second. Congestion
//! is the fraction of calls to skip: of the calls to shared buckets normally, of all calls while
//! the
//! counter is unavailable. The counter counts as unavailable after [`FAILURES_TO_UNAVAILABLE`]
//! consecutive calls without an answer, until the next answer. A rejection is an answer: it shows a
//! counter that is available but congested.
//!
//! **Inputs.** Outcome and duration (s) of each call; the counter timeout of the settings (s).
//!
//! **Guards.** A congested counter stays congested if every ingress keeps calling it. While the
//! counter is unavailable, quotas fall back to even shares (see [`super::quota_lease`]). Totals of
//! windows that began before the outage are not trusted, because the counter may have lost them.
//! Known harm: requests whose call is skipped are decided by an estimate or, during an outage, by
//! the even share.

use super::Outcome;

/// Congestion at the start: the state of the counter is unknown, and it is busy after a restart of
/// all ingresses.
const START_CONGESTION: f64 = 0.3;
/// Fraction of the remaining distance to 1 by which a bad call raises congestion.
const CONGESTION_RISE: f64 = 0.3;
/// Amount by which a good call lowers congestion.
const CONGESTION_FALL: f64 = 0.06;
/// Upper bound of congestion: some calls must continue in order to detect its end.
const MAX_CONGESTION: f64 = 0.95;
/// Factor by which congestion decays each second, so that it also ends when there are no calls.
const CONGESTION_DECAY_PER_SECOND: f64 = 0.8;
/// Share of the counter timeout from which a call counts as bad: later calls would time out.
const SLOW_CALL_SHARE: f64 = 0.4;
/// Consecutive unanswered calls after which the counter is unavailable: one or two can be lost in
/// normal operation.
const FAILURES_TO_UNAVAILABLE: u32 = 3;

/// Health of the counter as observed through calls.
pub(super) struct CounterHealth {
    /// Fraction of calls to skip, 0 to [`MAX_CONGESTION`].
    congestion: f64,
    consecutive_failures: u32,
    /// When totals were last found lost, or the counter was last found unavailable, s.
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

    /// Returns whether totals of a window that began at `start` (s) may have been lost since then.
    pub(super) fn may_have_lost_totals_since(&self, start: f64) -> bool {
        start < self.totals_lost_at
    }

    /// Records at `now` (s) that a total is lower than the units this ingress alone has added: the
    /// counter has restarted empty.
    pub(super) fn record_lost_totals(&mut self, now: f64) {
        self.totals_lost_at = now;
    }

    /// Records a call that ended at `now` after `duration`, with `timeout` as its limit, all in
    /// seconds. `answered` means that the call returned a total.
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
        // This includes the answer that ends an outage: totals may have been lost up to that
        // moment.
        if failures >= FAILURES_TO_UNAVAILABLE {
            self.totals_lost_at = now;
        }
        self.consecutive_failures = if unanswered { failures } else { 0 };
    }

    /// Applies the decay of congestion for one second.
    pub(super) fn decay_congestion(&mut self) {
        self.congestion *= CONGESTION_DECAY_PER_SECOND;
    }
}
