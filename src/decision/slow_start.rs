//! Slow start: limits the attempts that a newly started endpoint is sent while it warms up.
//!
//! **Rule.** The capacity of an endpoint grows linearly from `initial_capacity_share` to 1 over
//! `warm_up` seconds. While the endpoint warms up, this ingress limits its attempts in each span of
//! `overload_tolerance` seconds to half of what `overload_factor` allows, based on the measured
//! rate at a warm endpoint. If this budget is less than one attempt, the ingress has a randomized
//! slot: in each span a hash decides whether it may send one.
//!
//! **Inputs.** Ages and spans in seconds; attempts that this ingress has sent to the endpoint in
//! the last span; the measured rate of attempts a second at a warm endpoint.
//!
//! **Guards.** An endpoint fails if it is sent more than its capacity for a whole span, and in a
//! rollout each new endpoint would fail in turn, hence the budget. All ingresses discover a new
//! endpoint at the same time, hence slots at different times for each ingress, and only from the
//! first complete span on. Known harm: while no endpoint has ever been warm, the rate is only
//! estimated, as the mean rate of admitted requests per endpoint.

use super::endpoint::Endpoint;
use super::engine::HOUSEKEEPING_PERIOD;
use super::stable_hash;
use super::{DecisionEngine, EndpointId, Settings};
use std::collections::VecDeque;

/// Fraction of the allowed overload that is used: the rest is a margin for coinciding attempts of
/// other ingresses.
const USED_OVERLOAD_FRACTION: f64 = 0.5;
/// Preference for an endpoint whose slot is due: an attempt within its own capacity adds no
/// latency.
const SLOT_PREFERENCE: f64 = 10.0;
/// Weight of the last period in the rate at a warm endpoint: a memory of about five periods.
const WARM_RATE_WEIGHT: f64 = 0.2;
/// Period over which that rate is measured, s: long enough for some attempts at every endpoint.
const MEASURING_PERIOD: f64 = 1.0;
/// Lower bound of the weight of an endpoint that is warming up: keeps divisions by it finite.
const MIN_WEIGHT: f64 = 0.01;
/// Hash index for the phase of an ingress; the spans themselves have indexes from 0.
const PHASE_INDEX: i64 = -1;

/// Times at which recent attempts were sent, oldest first, s.
#[derive(Default)]
pub(super) struct RecentAttempts(VecDeque<f64>);

impl RecentAttempts {
    fn count_since(&self, since: f64) -> usize {
        self.0.iter().filter(|sent_at| **sent_at > since).count()
    }

    fn record(&mut self, now: f64, keep_since: f64) {
        self.0.retain(|sent_at| *sent_at > keep_since);
        self.0.push_back(now);
    }
}

/// Budgets of endpoints that are warming up, and the rate that they are based on.
pub(super) struct SlowStart {
    /// Share of its capacity that an endpoint has just after its start.
    initial_capacity_share: f64,
    /// Age, s, from which an endpoint has its full capacity.
    warm_up: f64,
    /// Multiple of its capacity at which an endpoint fails.
    overload_factor: f64,
    /// Time for which an endpoint withstands such an overload, s.
    overload_tolerance: f64,
    /// Index of this ingress.
    ingress_index: u32,
    /// Attempts a second that this ingress sends to a warm endpoint; 0: unknown.
    warm_rate: f64,
    /// When the rate was first measured, s.
    rate_known_at: f64,
    /// Start of the current measuring period, s.
    measured_since: f64,
    /// Attempts at warm endpoints that have ended in this period and may have run.
    warm_attempts_ended: f64,
    /// Requests admitted in this period.
    admitted: f64,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> SlowStart {
        SlowStart {
            initial_capacity_share: settings.initial_capacity_share,
            warm_up: settings.warm_up,
            overload_factor: settings.overload_factor,
            overload_tolerance: settings.overload_tolerance,
            ingress_index: settings.ingress_index,
            warm_rate: 0.0,
            rate_known_at: 0.0,
            measured_since: 0.0,
            warm_attempts_ended: 0.0,
            admitted: 0.0,
        }
    }

    /// Starts the measurement of rates at `now` (s).
    pub(super) fn start(&mut self, now: f64) {
        self.measured_since = now;
    }

    pub(super) fn record_admitted(&mut self) {
        self.admitted += 1.0;
    }

    /// Records the end of an attempt at a warm endpoint that may have run.
    pub(super) fn record_warm_attempt_ended(&mut self) {
        self.warm_attempts_ended += 1.0;
    }

    /// Returns the smallest share of its capacity, [`MIN_WEIGHT`] to 1, that an endpoint started at
    /// `started` (s) has.
    pub(super) fn weight(&self, now: f64, started: f64) -> f64 {
        let age = now - started;
        if started <= 0.0 || age >= self.warm_up {
            return 1.0;
        }
        let initial = self.initial_capacity_share;
        (initial + (1.0 - initial) * age.max(0.0) / self.warm_up).clamp(MIN_WEIGHT, 1.0)
    }

    pub(super) fn is_warm(&self, now: f64, endpoint: &Endpoint) -> bool {
        self.weight(now, endpoint.started) >= 1.0
    }

    /// Returns the preference for an endpoint: 0 if it must not be selected, 1 if it is treated
    /// like a warm one, more if its slot is due.
    pub(super) fn preference(&self, now: f64, id: EndpointId, endpoint: &Endpoint) -> f64 {
        let weight = self.weight(now, endpoint.started);
        let span = self.overload_tolerance.max(HOUSEKEEPING_PERIOD);
        let sent = endpoint.slow_start_attempts.count_since(now - span) as f64;
        // Attempts in a span at full capacity, and the budget derived from them.
        let capacity = weight * self.warm_rate * span;
        let budget = USED_OVERLOAD_FRACTION * self.overload_factor * capacity;
        if weight >= 1.0 || sent + 1.0 <= budget {
            return 1.0;
        }
        let slot = self.slot(now, span, id);
        // If the endpoint or the rate became known within a span, every ingress would use its slot
        // immediately and again soon after.
        let whole_span_known = slot.span_started >= endpoint.started.max(self.rate_known_at);
        let due = whole_span_known && sent <= 0.0 && slot.fraction < budget;
        match (due, slot.fraction < capacity) {
            (false, _) => 0.0,
            (true, true) => SLOT_PREFERENCE,
            (true, false) => 1.0,
        }
    }

    /// Returns the randomized slot of this ingress at an endpoint in the current span.
    fn slot(&self, now: f64, span: f64, id: EndpointId) -> Slot {
        let slot_key = u64::from(id) << 32 | u64::from(self.ingress_index);
        let phase = stable_hash::fraction(slot_key, PHASE_INDEX);
        let index = (now / span + phase).floor();
        Slot {
            span_started: (index - phase) * span,
            fraction: stable_hash::fraction(slot_key, index as i64),
        }
    }

    /// Updates the rate with the period that ends at `now` (s), for these numbers of warm and ready
    /// endpoints. While none has ever been warm, the admitted requests are divided evenly among the
    /// ready endpoints.
    pub(super) fn measure(&mut self, now: f64, warm: usize, ready: usize) {
        let never_warm = warm == 0 && self.warm_rate <= 0.0;
        let attempts = if never_warm {
            self.admitted
        } else {
            self.warm_attempts_ended
        };
        let endpoints = if never_warm { ready } else { warm };
        if endpoints > 0 {
            let rate = attempts / endpoints as f64 / (now - self.measured_since);
            if self.warm_rate <= 0.0 && rate > 0.0 {
                self.warm_rate = rate;
                self.rate_known_at = now;
            }
            self.warm_rate += WARM_RATE_WEIGHT * (rate - self.warm_rate);
        }
        self.warm_attempts_ended = 0.0;
        self.admitted = 0.0;
        self.measured_since = now;
    }

    pub(super) fn period_is_over(&self, now: f64) -> bool {
        now - self.measured_since >= MEASURING_PERIOD
    }
}

/// A span in which an ingress may send one attempt if `fraction` is below its budget.
struct Slot {
    /// Start of the span, s.
    span_started: f64,
    /// Hash from 0 to 1 that is constant within the span.
    fraction: f64,
}

impl DecisionEngine {
    /// Updates the rate at a warm endpoint with the last period.
    pub(super) fn measure_warm_rate(&mut self, now: f64) {
        let ready = self.endpoints.values().filter(|endpoint| endpoint.ready);
        let warm = ready
            .clone()
            .filter(|endpoint| self.slow_start.is_warm(now, endpoint))
            .count();
        self.slow_start.measure(now, warm, ready.count());
    }

    /// Records an attempt that is sent at `now` (s) if the endpoint is warming up.
    pub(super) fn record_slow_start_attempt(&mut self, now: f64, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if !self.slow_start.is_warm(now, endpoint) {
            let keep_since = now - self.slow_start.overload_tolerance;
            endpoint.slow_start_attempts.record(now, keep_since);
        }
    }
}
