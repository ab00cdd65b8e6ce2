//! Attempts that take long: when they stop counting as load, blame their endpoint and are hedged.
//!
//! **Rule.** At each housekeeping pass, of the attempts in flight:
//! - One in flight for [`SLOW_LATENCIES`] typical latencies of its class is slow. While slow
//!   attempts are few, they no longer count as load; neither do attempts at endpoints that are gone
//!   or ejected.
//! - One in flight for [`OVERDUE_OBJECTIVES`] of its class's latency objective is overdue: its
//!   endpoint is blamed for a timeout once (see [`super::outlier_ejection`]).
//! - A request all of whose attempts are lost, or whose only attempt is overdue while the load
//!   level is 0, is sent once more at a price from the retry budget (see [`super::retry`]). Unsafe
//!   requests never are.
//!
//! **Inputs.** Times in flight, typical latencies and latency objectives in seconds; the load
//! level.
//!
//! **Guards.** One endpoint that hangs must not hold level 2: its attempts leave the count. Where
//! many attempts are slow, that is load and they stay in it. Hedged requests must not add to
//! overload: an overdue one is hedged at level 0 only. One whose attempts are all lost has nothing
//! left in flight, so it is sent again at any level, up to the most attempts of the settings.
//! Known harm: work that a hung endpoint still does is not seen.

use super::endpoint::Endpoint;
use super::request::{Attempt, PendingRequest};
use super::{Action, DecisionEngine, EndpointId, Idempotency, Outcome, RequestId};
use std::collections::BTreeMap;

/// An attempt in flight for this many typical latencies is slow.
const SLOW_LATENCIES: f64 = 2.5;
/// Weight of one attempt in the share of slow ones: about twelve attempts of memory.
const SLOW_SHARE_WEIGHT: f64 = 0.08;
/// From this share of slow attempts on the cause is load, not a single endpoint.
const SLOW_SHARE_OF_LOAD: f64 = 0.25;
/// An attempt in flight for this share of the latency objective is overdue: the rest is time for
/// another one.
const OVERDUE_OBJECTIVES: f64 = 0.75;
/// A request with an overdue attempt is hedged while it has had fewer attempts than this.
const MAX_ATTEMPTS_FOR_OVERDUE_HEDGE: usize = 2;

/// Share of the last attempts that were slow, 0 to 1.
#[derive(Default)]
pub(super) struct SlowAttemptShare(f64);

impl SlowAttemptShare {
    /// An attempt has become slow.
    fn record_slow(&mut self) {
        self.0 += SLOW_SHARE_WEIGHT * (1.0 - self.0);
    }

    /// An attempt has ended; one that was slow has been counted before.
    pub(super) fn record_ended(&mut self, slow: bool) {
        if !slow {
            self.0 -= SLOW_SHARE_WEIGHT * self.0;
        }
    }

    fn means_load(&self) -> bool {
        self.0 >= SLOW_SHARE_OF_LOAD
    }
}

/// An attempt that has just become overdue.
struct OverdueAttempt {
    endpoint: EndpointId,
    /// When it was sent, s.
    sent_at: f64,
}

/// The times in the past that attempts are compared with.
struct AttemptLimits {
    /// Sent before this time, s: slow.
    slow_before: f64,
    /// In flight for longer than this, s: overdue.
    overdue_after: f64,
}

/// What is to be done about attempts that take long.
#[derive(Default)]
struct AttemptReview {
    overdue: Vec<OverdueAttempt>,
    to_hedge: Vec<RequestId>,
}

impl DecisionEngine {
    /// Looks at all attempts in flight at `now` (s).
    pub(super) fn review_attempts(&mut self, now: f64, actions: &mut Vec<Action>) {
        let review = self.find_long_attempts(now);
        for attempt in review.overdue {
            self.record_endpoint_failure(now, attempt.endpoint, Outcome::Timeout, attempt.sent_at);
        }
        for id in review.to_hedge {
            self.retry(now, id, actions);
        }
    }

    fn find_long_attempts(&mut self, now: f64) -> AttemptReview {
        let mut review = AttemptReview::default();
        let level = self.load.level();
        for (&id, pending) in &mut self.requests {
            let class = &self.settings.classes[pending.request.class];
            let typical_latency = self.typical_latency[pending.request.class];
            let limits = AttemptLimits {
                slow_before: now - SLOW_LATENCIES * typical_latency,
                overdue_after: OVERDUE_OBJECTIVES * class.latency_objective,
            };
            let may_add = level == 0 && pending.attempts.len() < MAX_ATTEMPTS_FOR_OVERDUE_HEDGE;
            let mut hedge = pending.awaits_answer();
            for attempt in in_flight(pending) {
                let lost = is_lost(attempt, &self.endpoints);
                self.slow_attempts.review(attempt, &limits);
                if lost || attempt.slow && !self.slow_attempts.means_load() {
                    self.load.stop_counting(attempt.uncount());
                }
                let overdue = now - attempt.sent_at > limits.overdue_after;
                review.overdue.extend(newly_overdue(attempt, overdue));
                hedge &= lost || overdue && may_add;
            }
            if hedge && self.settings.hedging && class.idempotency != Idempotency::Unsafe {
                review.to_hedge.push(id);
            }
        }
        review
    }
}

impl SlowAttemptShare {
    /// Notes an attempt that has become slow.
    fn review(&mut self, attempt: &mut Attempt, limits: &AttemptLimits) {
        if attempt.sent_at < limits.slow_before && !attempt.slow {
            attempt.slow = true;
            self.record_slow();
        }
    }
}

impl PendingRequest {
    /// Whether an answer is still awaited of any attempt.
    fn awaits_answer(&self) -> bool {
        !(self.attempts.is_empty() || self.answered || self.streaming)
    }
}

fn in_flight(pending: &mut PendingRequest) -> impl Iterator<Item = &mut Attempt> {
    pending.attempts.iter_mut().filter(|attempt| !attempt.ended)
}

/// Whether no answer is to be expected: the endpoint is gone or ejected.
fn is_lost(attempt: &Attempt, endpoints: &BTreeMap<EndpointId, Endpoint>) -> bool {
    endpoints
        .get(&attempt.endpoint)
        .is_none_or(|endpoint| endpoint.health.is_ejected() || endpoint.gone)
}

/// Marks an attempt that is overdue for the first time.
fn newly_overdue(attempt: &mut Attempt, overdue: bool) -> Option<OverdueAttempt> {
    if !overdue || attempt.overdue {
        return None;
    }
    attempt.overdue = true;
    Some(OverdueAttempt {
        endpoint: attempt.endpoint,
        sent_at: attempt.sent_at,
    })
}
