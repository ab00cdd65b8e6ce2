//! The lifecycle of an attempt: it is sent, it ends, and its outcome updates the other mechanisms.
//!
//! **Rule.** A successful attempt answers its request, and the request's other attempts in flight
//! are cancelled. When the last attempt of an unanswered request has ended, the request is retried
//! (see [`super::retry`]) or answered without success. The outcome updates the latency, health and
//! exclusions of the endpoint, the load level, and the quota.
//!
//! An attempt whose answer has stalled has not failed: a safe request is retried elsewhere if
//! possible, and any other request waits for the rest of its answer.
//!
//! **Inputs.** The outcome, the settled units, the endpoint's load report; times in seconds.
//!
//! **Guard.** One attempt counts at most one failure against its endpoint: an attempt that was
//! already counted as overdue does not count as a failure when it ends.

use super::endpoint::ClassAndPlan;
use super::latency;
use super::load_level::SampleTrigger;
use super::rejection_counts::RejectionCause;
use super::request::Attempt;
use super::{Action, AttemptEnd, DecisionEngine, EndpointId, Idempotency, Outcome, RequestId};

impl DecisionEngine {
    /// Sends an attempt of a request.
    pub(super) fn send(
        &mut self,
        now: f64,
        id: RequestId,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        self.record_attempt(now, id, endpoint);
        self.record_slow_start_attempt(now, endpoint);
        actions.push(Action::Send {
            id,
            endpoint,
            timeout: 0.0,
        });
    }

    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(attempt) = self.record_attempt_end(end) else {
            return;
        };
        let Some(pending) = self.requests.get(&end.id) else {
            return;
        };
        let traffic = pending.class_and_plan();
        self.record_outcome(now, &attempt, end.outcome, traffic);
        if let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) {
            endpoint.record_load_report(now, &self.settings.load_report_fields, &end.report);
        }
        self.load.sample(now, SampleTrigger::Departure);
        self.finish_or_retry(now, end, actions);
    }

    /// Retries a safe request whose only attempt in flight has stalled, if the rules for retries
    /// permit it. The caller ends the stalled attempt before it sends the retry; without a retry,
    /// the stalled attempt goes on.
    pub(super) fn attempt_stalled(
        &mut self,
        now: f64,
        id: RequestId,
        number: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[pending.request.class];
        let in_flight = (0..)
            .zip(&pending.attempts)
            .filter(|(_, attempt)| !attempt.ended);
        let is_only_attempt = in_flight.map(|(n, _)| n).eq([number]);
        if is_only_attempt && class.idempotency == Idempotency::Safe {
            self.retry(now, id, actions);
        }
    }

    /// Records the end of an attempt with its request and its tenant. Returns the attempt, or
    /// `None` if it is unknown or had already ended.
    fn record_attempt_end(&mut self, end: &AttemptEnd) -> Option<Attempt> {
        let pending = self.requests.get_mut(&end.id)?;
        let attempt = pending
            .attempts
            .get_mut(end.attempt as usize)
            .filter(|attempt| !attempt.ended)?;
        attempt.ended = true;
        attempt.may_have_run = end.outcome.may_have_run();
        self.load.stop_counting(attempt.take_load_count());
        self.slow_attempts.record_ended(attempt.slow);
        let attempt = attempt.clone();
        pending.answered |= end.request_finished || end.outcome == Outcome::Ok;
        if let Some(tenant) = self.tenants.get_mut(&pending.request.tenant) {
            tenant.attempts_in_flight = tenant.attempts_in_flight.saturating_sub(1);
            let settled_units = end
                .settled_units
                .filter(|units| units.is_finite() && self.settings.settles_units_later);
            if let Some(units) = settled_units {
                tenant.local_tokens -= units - pending.request.units;
            }
        }
        Some(attempt)
    }

    /// Finishes an answered request. Retries an unanswered one whose attempts have all ended, or
    /// answers it without success.
    fn finish_or_retry(&mut self, now: f64, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&end.id) else {
            return;
        };
        if pending.answered {
            if self.settings.cancellation_allowed {
                cancel_attempts(end.id, &pending.attempts, actions);
            }
            self.finish(end.id);
            return;
        }
        if !pending.all_attempts_ended() {
            return;
        }
        let retried = end.outcome != Outcome::Cancelled && self.retry(now, end.id, actions);
        if !retried {
            self.answer_without_success(end.id, RejectionCause::AttemptsFailed, actions);
        }
    }

    /// Updates the endpoint's statistics and the load level with the outcome of an attempt.
    fn record_outcome(
        &mut self,
        now: f64,
        attempt: &Attempt,
        outcome: Outcome,
        traffic: ClassAndPlan,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else {
            return;
        };
        if attempt.may_have_run && self.slow_start.is_warm(now, endpoint) {
            self.slow_start.record_warm_attempt_ended();
        }
        endpoint.in_flight = endpoint.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Ok => self.record_served(now, attempt, traffic),
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => {
                endpoint.exclusions.record_failure(now, traffic, outcome);
                if !attempt.overdue {
                    self.record_endpoint_failure(now, attempt.endpoint, outcome, attempt.sent_at);
                }
            }
        }
    }

    fn record_served(&mut self, now: f64, attempt: &Attempt, traffic: ClassAndPlan) {
        let Some(endpoint) = self.endpoints.get_mut(&attempt.endpoint) else {
            return;
        };
        let typical_latency = &mut self.typical_latency[traffic.class];
        let latency = now - attempt.sent_at;
        endpoint.slowness.record(now, latency, *typical_latency);
        endpoint.health.record_success(now);
        endpoint.exclusions.record_success(traffic);
        latency::update_typical_latency(typical_latency, latency, &endpoint.slowness);
        self.load
            .departed(self.settings.classes[traffic.class].latency_objective);
    }
}

/// Cancels the attempts of an answered request that are still in flight.
fn cancel_attempts(id: RequestId, attempts: &[Attempt], actions: &mut Vec<Action>) {
    for (number, attempt) in attempts.iter().enumerate() {
        if !attempt.ended {
            actions.push(Action::Cancel {
                id,
                attempt: number as u32,
            });
        }
    }
}
