//! Slow start: how much a newly started endpoint is sent while it warms up.
//!
//! **Rule.** An endpoint's capacity grows in a line from the service's `cold_share` to 1 over
//! `warm_up` seconds. While it warms up, this ingress sends it in a span of `tip_after` seconds at
//! most half of what the service's `overload_factor` allows, measured by what a warm endpoint takes
//! on here. Where that is less than one attempt, the ingress has a randomized slot: in each span a
//! hash decides whether it may send one.
//!
//! **Inputs.** Ages and spans in seconds; attempts that this ingress has sent it in the last span;
//! the measured rate of attempts a second at a warm endpoint.
//!
//! **Guards.** An endpoint that is sent more than its capacity for a span fails, and in a rollout
//! one after the other would: hence the budget. All ingresses learn of a new endpoint together:
//! hence slots at times of each ingress's own, and only from the first whole span on. Known harm:
//! where no endpoint was ever warm, an even part of the requests stands in for the measured rate,
//! which is a guess.

use super::endpoint::Endpoint;
use super::engine::HOUSEKEEPING_PERIOD;
use super::stable_hash;
use super::{DecisionEngine, EndpointId, Settings};
use std::collections::VecDeque;

/// Part of the allowed overload that is used: the rest is for what other ingresses send by chance.
const USED_OVERLOAD_PART: f64 = 0.5;
/// How much an endpoint is preferred where its slot is due: up to its own capacity an attempt there
/// costs nothing.
const SLOT_PREFERENCE: f64 = 10.0;
/// Weight of the last period in the rate at a warm endpoint: about five periods of memory.
const WARM_RATE_WEIGHT: f64 = 0.2;
/// Measuring period of that rate, s: long enough to hold some attempts at every endpoint.
const MEASURING_PERIOD: f64 = 1.0;
/// Least capacity of an endpoint that is warming up, as a share: keeps divisions by it finite.
const MIN_WEIGHT: f64 = 0.01;
/// Hash index of an ingress's phase; the spans themselves are counted from 0 on.
const PHASE_INDEX: i64 = -1;

/// When attempts were sent, oldest first, s.
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

/// The budget of endpoints that are warming up, and the rate that it is measured by.
pub(super) struct SlowStart {
    /// Capacity of an endpoint that has just started, as a share.
    cold_share: f64,
    /// Age, s, from which on an endpoint has all of its capacity.
    warm_up: f64,
    /// Multiple of its capacity that makes an endpoint fail.
    overload_factor: f64,
    /// Seconds of overload after which it fails.
    tip_after: f64,
    /// Number of this ingress.
    position: u32,
    /// Attempts a second that a warm endpoint takes on here; 0: not known.
    warm_rate: f64,
    /// When the rate became known, s.
    rate_known_at: f64,
    /// Since when the current period is measured, s.
    measured_since: f64,
    /// In this period: attempts that warm endpoints have ended and not rejected.
    taken_by_warm: f64,
    /// In this period: requests that were admitted.
    admitted: f64,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> SlowStart {
        SlowStart {
            cold_share: settings.initial_capacity_share,
            warm_up: settings.warm_up,
            overload_factor: settings.overload_factor,
            tip_after: settings.overload_tolerance,
            position: settings.ingress_index,
            warm_rate: 0.0,
            rate_known_at: 0.0,
            measured_since: 0.0,
            taken_by_warm: 0.0,
            admitted: 0.0,
        }
    }

    /// Rates are measured from this time on, s.
    pub(super) fn start(&mut self, now: f64) {
        self.measured_since = now;
    }

    pub(super) fn record_admitted(&mut self) {
        self.admitted += 1.0;
    }

    /// A warm endpoint has ended an attempt that may have run.
    pub(super) fn record_taken_by_warm(&mut self) {
        self.taken_by_warm += 1.0;
    }

    /// Share of its capacity, 0.01 to 1, that an endpoint has at the least which started at
    /// `started` (s).
    pub(super) fn weight(&self, now: f64, started: f64) -> f64 {
        let age = now - started;
        if started <= 0.0 || age >= self.warm_up {
            return 1.0;
        }
        let cold = self.cold_share;
        (cold + (1.0 - cold) * age.max(0.0) / self.warm_up).clamp(MIN_WEIGHT, 1.0)
    }

    pub(super) fn is_warm(&self, now: f64, endpoint: &Endpoint) -> bool {
        self.weight(now, endpoint.started) >= 1.0
    }

    /// How much an endpoint is to be preferred: 0 not at all, 1 like a warm one, more where its
    /// slot is due.
    pub(super) fn preference(&self, now: f64, id: EndpointId, endpoint: &Endpoint) -> f64 {
        let weight = self.weight(now, endpoint.started);
        let span = self.tip_after.max(HOUSEKEEPING_PERIOD);
        let sent = endpoint.slow_start_attempts.count_since(now - span) as f64;
        // Attempts in a span up to its own capacity, and up to what it bears.
        let capacity = weight * self.warm_rate * span;
        let budget = USED_OVERLOAD_PART * self.overload_factor * capacity;
        if weight >= 1.0 || sent + 1.0 <= budget {
            return 1.0;
        }
        let slot = self.slot(now, span, id);
        // Where the endpoint, or the rate, becomes known within a span, every ingress would use its
        // slot at once, and again soon after.
        let whole_span_known = slot.span_started >= endpoint.started.max(self.rate_known_at);
        let due = whole_span_known && sent <= 0.0 && slot.fraction < budget;
        match (due, slot.fraction < capacity) {
            (false, _) => 0.0,
            (true, true) => SLOT_PREFERENCE,
            (true, false) => 1.0,
        }
    }

    /// The randomized slot of this ingress at an endpoint in the current span.
    fn slot(&self, now: f64, span: f64, id: EndpointId) -> Slot {
        let place = u64::from(id) << 32 | u64::from(self.position);
        let phase = stable_hash::fraction(place, PHASE_INDEX);
        let index = (now / span + phase).floor();
        Slot {
            span_started: (index - phase) * span,
            fraction: stable_hash::fraction(place, index as i64),
        }
    }

    /// Takes the period that ends at `now` (s) into the rate, with this many warm and ready
    /// endpoints. Where none was ever warm, an even part of the admitted requests stands in.
    pub(super) fn measure(&mut self, now: f64, warm: usize, ready: usize) {
        let never_warm = warm == 0 && self.warm_rate <= 0.0;
        let taken = if never_warm {
            self.admitted
        } else {
            self.taken_by_warm
        };
        let endpoints = if never_warm { ready } else { warm };
        if endpoints > 0 {
            let rate = taken / endpoints as f64 / (now - self.measured_since);
            if self.warm_rate <= 0.0 && rate > 0.0 {
                self.warm_rate = rate;
                self.rate_known_at = now;
            }
            self.warm_rate += WARM_RATE_WEIGHT * (rate - self.warm_rate);
        }
        self.taken_by_warm = 0.0;
        self.admitted = 0.0;
        self.measured_since = now;
    }

    pub(super) fn period_is_over(&self, now: f64) -> bool {
        now - self.measured_since >= MEASURING_PERIOD
    }
}

/// Whether an ingress may send an attempt in a span is decided by comparing the fraction with its
/// budget.
struct Slot {
    /// When the span began, s.
    span_started: f64,
    /// From 0 to 1, the same for the whole span.
    fraction: f64,
}

impl DecisionEngine {
    /// Takes the last period into the rate at a warm endpoint.
    pub(super) fn measure_warm_rate(&mut self, now: f64) {
        let ready = self.endpoints.values().filter(|endpoint| endpoint.ready);
        let warm = ready
            .clone()
            .filter(|endpoint| self.slow_start.is_warm(now, endpoint))
            .count();
        self.slow_start.measure(now, warm, ready.count());
    }

    /// Notes an attempt that is sent at `now` (s) if the endpoint is warming up.
    pub(super) fn record_slow_start_attempt(&mut self, now: f64, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if !self.slow_start.is_warm(now, endpoint) {
            let keep_since = now - self.slow_start.tip_after;
            endpoint.slow_start_attempts.record(now, keep_since);
        }
    }
}
