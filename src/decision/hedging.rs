//! Handling of attempts that take long: when they stop counting as load, when they count as a
//! failure of their endpoint, and when their request is hedged.
//!
//! **Rule.** Each housekeeping pass reviews the attempts in flight:
//! - An attempt in flight for [`SLOW_LATENCIES`] typical latencies of its class is slow. While slow
//!   attempts are few, they no longer count as load. Attempts at endpoints that are removed or
//!   ejected do not count as load either.
//! - An attempt in flight for [`OVERDUE_OBJECTIVES`] of the latency objective of its class is
//!   overdue: it counts once as a timeout of its endpoint (see [`super::outlier_ejection`]).
//! - A request is hedged, that is sent once more at the price of a retry token (see
//!   [`super::retry`]), if all its attempts are lost, or if its only attempt is overdue while the
//!   load level is 0. Unsafe requests are never hedged.
//!
//! **Inputs.** Times in flight, typical latencies and latency objectives in seconds; the load
//! level.
//!
//! **Guards.** A single hung endpoint must not hold the load level at 2, so its attempts stop
//! counting as load. If many attempts are slow, load is the cause and they keep counting. Hedged
//! requests must not add to overload, so an overdue request is hedged only at level 0. A request
//! whose attempts are all lost has nothing left in flight, so it is sent again at any level, up to
//! the maximum number of attempts of the settings. Known harm: work that a hung endpoint still does
//! is not counted as load.

use super::endpoint::Endpoint;
use super::request::{Attempt, PendingRequest};
use super::{Action, DecisionEngine, EndpointId, Idempotency, Outcome, RequestId};
use std::collections::BTreeMap;

/// An attempt in flight for this many typical latencies is slow.
const SLOW_LATENCIES: f64 = 2.5;
/// Weight of one attempt in the share of slow ones: a memory of about twelve attempts.
const SLOW_SHARE_WEIGHT: f64 = 0.08;
/// Share of slow attempts from which load is the cause, not a single endpoint.
const SLOW_SHARE_INDICATING_LOAD: f64 = 0.25;
/// Share of the latency objective after which an attempt in flight is overdue: the remaining time
/// suffices for another attempt.
const OVERDUE_OBJECTIVES: f64 = 0.75;
/// A request with an overdue attempt is hedged only if it has had fewer attempts than this.
const MAX_ATTEMPTS_FOR_OVERDUE_HEDGE: usize = 2;

/// Share of recent attempts that were slow, 0 to 1.
#[derive(Default)]
pub(super) struct SlowAttemptShare(f64);

impl SlowAttemptShare {
    /// Records that an attempt has become slow.
    fn record_slow(&mut self) {
        self.0 += SLOW_SHARE_WEIGHT * (1.0 - self.0);
    }

    /// Records the end of an attempt. A slow attempt was recorded when it became slow.
    pub(super) fn record_ended(&mut self, slow: bool) {
        if !slow {
            self.0 -= SLOW_SHARE_WEIGHT * self.0;
        }
    }

    fn indicates_load(&self) -> bool {
        self.0 >= SLOW_SHARE_INDICATING_LOAD
    }
}

/// An attempt that has just become overdue.
struct OverdueAttempt {
    endpoint: EndpointId,
    /// When it was sent, s.
    sent_at: f64,
}

/// Limits from which an attempt counts as slow or overdue.
struct AttemptLimits {
    /// An attempt sent before this time, s, is slow.
    slow_before: f64,
    /// An attempt in flight for longer than this, s, is overdue.
    overdue_after: f64,
}

/// Attempts and requests that a review has to act on.
#[derive(Default)]
struct AttemptReview {
    overdue: Vec<OverdueAttempt>,
    to_hedge: Vec<RequestId>,
}

impl DecisionEngine {
    /// Reviews all attempts in flight at `now` (s).
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
            let may_hedge_overdue =
                level == 0 && pending.attempts.len() < MAX_ATTEMPTS_FOR_OVERDUE_HEDGE;
            let mut hedge = pending.awaits_answer();
            for attempt in in_flight(pending) {
                let lost = is_lost(attempt, &self.endpoints);
                self.slow_attempts.review(attempt, &limits);
                if lost || attempt.slow && !self.slow_attempts.indicates_load() {
                    self.load.stop_counting(attempt.take_load_count());
                }
                let overdue = now - attempt.sent_at > limits.overdue_after;
                review.overdue.extend(newly_overdue(attempt, overdue));
                hedge &= lost || overdue && may_hedge_overdue;
            }
            if hedge && self.settings.hedging && class.idempotency != Idempotency::Unsafe {
                review.to_hedge.push(id);
            }
        }
        review
    }
}

impl SlowAttemptShare {
    /// Marks and records an attempt that has become slow.
    fn review(&mut self, attempt: &mut Attempt, limits: &AttemptLimits) {
        if attempt.sent_at < limits.slow_before && !attempt.slow {
            attempt.slow = true;
            self.record_slow();
        }
    }
}

impl PendingRequest {
    /// Returns whether the request still waits for the answer of any attempt.
    fn awaits_answer(&self) -> bool {
        !(self.attempts.is_empty() || self.answered || self.streaming)
    }
}

fn in_flight(pending: &mut PendingRequest) -> impl Iterator<Item = &mut Attempt> {
    pending.attempts.iter_mut().filter(|attempt| !attempt.ended)
}

/// Returns whether no answer can be expected because the endpoint is removed or ejected.
fn is_lost(attempt: &Attempt, endpoints: &BTreeMap<EndpointId, Endpoint>) -> bool {
    endpoints
        .get(&attempt.endpoint)
        .is_none_or(|endpoint| endpoint.health.is_ejected() || endpoint.removed)
}

/// Marks an attempt that is overdue for the first time, and returns it.
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
