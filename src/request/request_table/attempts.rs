//! Sending attempts and handling their ends.

use super::RequestTable;
use crate::decision::driver::{AttemptReport, EndpointId, Observation, RequestId};
use crate::decision::Outcome;
use crate::request::in_flight::{InFlightRequest, Location, NextAttempt};
use crate::request::{Action, AttemptResult, AttemptStart, FinalAnswer, MAX_WRITE_MS};

impl RequestTable {
    /// Sends an attempt that lasts at most `timeout_ms`; 0 means until the request's deadline.
    pub(super) fn send(
        &mut self,
        now_ms: f64,
        id: RequestId,
        endpoint: EndpointId,
        timeout_ms: f64,
    ) {
        let location = self.allowed_location(now_ms, id, endpoint);
        let repeat_window_end_ms = self.repeat_window_end_ms(id);
        let Some(entry) = self.in_flight.get_mut(&id) else {
            return;
        };
        let attempt = entry.attempts();
        let Some(location) = location else {
            tracing::debug!(id = entry.request.id, attempt, endpoint, "attempt not sent");
            self.counts.attempt_ends.record(Outcome::NotSent);
            entry.add_unsent_attempt(now_ms);
            let finished = entry.is_answered();
            let result = AttemptResult::with_outcome(Outcome::NotSent);
            return self.report_attempt(now_ms, id, attempt, finished, result);
        };
        entry.add_sent_attempt(now_ms, location);
        let attempt_deadline_ms = if timeout_ms > 0.0 {
            entry.request_deadline_ms.min(now_ms + timeout_ms)
        } else {
            entry.request_deadline_ms
        };
        let latest_write_ms = now_ms + self.platform.connect_timeout_ms + MAX_WRITE_MS;
        let written_by_ms = latest_write_ms
            .min(attempt_deadline_ms)
            .min(repeat_window_end_ms.unwrap_or(f64::INFINITY));
        let request = entry.request.clone();
        tracing::debug!(id = request.id, attempt, endpoint, "attempt sent");
        self.counts.attempts += 1;
        self.deadlines.push(attempt_deadline_ms, id, attempt);
        self.actions.push_back(Action::StartAttempt(AttemptStart {
            request_id: id,
            attempt,
            endpoint,
            request,
            deadline_ms: attempt_deadline_ms,
            written_by_ms,
            repeat_window_end_ms,
        }));
    }

    fn repeat_window_end_ms(&self, id: RequestId) -> Option<f64> {
        let entry = self.in_flight.get(&id)?;
        entry.repeat_window_end_ms(self.class(&entry.request))
    }

    /// Returns the endpoint's location if the request may be sent to it now. Enforces these rules
    /// whatever the decision module asks for: no request to an endpoint that is draining or
    /// removed, two running attempts only if the settings allow hedged requests, no more attempts
    /// than the settings allow, and no attempt by which the request could run twice with an effect.
    fn allowed_location(
        &self,
        now_ms: f64,
        id: RequestId,
        endpoint: EndpointId,
    ) -> Option<Location> {
        let entry = self.in_flight.get(&id)?;
        let settings = &self.platform.decision;
        let location = self.ready.location(endpoint)?;
        let next = NextAttempt {
            now_ms,
            location,
            connect_timeout_ms: self.platform.connect_timeout_ms,
        };
        let allowed = !entry.is_answered()
            && (settings.hedging || !entry.has_running_attempt())
            && entry.may_be_sent_again(self.class(&entry.request), &next)
            && entry.attempts() < settings.max_attempts
            && now_ms < entry.request_deadline_ms;
        allowed.then_some(location)
    }

    pub(super) fn abandon(&mut self, now_ms: f64, id: RequestId, attempt: u32, outcome: Outcome) {
        self.actions.push_back(Action::AbandonAttempt(id, attempt));
        self.end_attempt(now_ms, id, attempt, AttemptResult::with_outcome(outcome));
    }

    pub(super) fn end_attempt(
        &mut self,
        now_ms: f64,
        id: RequestId,
        attempt: u32,
        mut result: AttemptResult,
    ) {
        let Some(entry) = self.in_flight.get_mut(&id) else {
            return;
        };
        if !entry.end_attempt(attempt, result.outcome) {
            return;
        }
        tracing::debug!(
            id = entry.request.id,
            attempt,
            outcome = ?result.outcome,
            ms_left = (entry.request_deadline_ms - now_ms).round(),
            "attempt ended"
        );
        self.counts.attempt_ends.record(result.outcome);
        let served = result.outcome == Outcome::Ok;
        if let Some(body) = result.body.take().filter(|_| served) {
            self.finish(now_ms, id, FinalAnswer::Served(body));
        }
        let finished = self
            .in_flight
            .get(&id)
            .is_none_or(InFlightRequest::is_answered);
        self.report_attempt(now_ms, id, attempt, finished, result);
        self.remove_if_finished(now_ms, id);
    }

    /// Reports to the decision module how an attempt ended, and whether its request has been
    /// answered.
    fn report_attempt(
        &mut self,
        now_ms: f64,
        request: RequestId,
        attempt: u32,
        request_finished: bool,
        result: AttemptResult,
    ) {
        let report = AttemptReport {
            request,
            attempt,
            outcome: result.outcome,
            request_finished,
            load_report: result.load_report,
            settled_units: result.settled_units,
        };
        self.driver
            .observe(now_ms, Observation::AttemptEnded(report));
    }

    pub(super) fn is_running(&self, id: RequestId, attempt: u32) -> bool {
        self.in_flight
            .get(&id)
            .is_some_and(|entry| entry.is_running(attempt))
    }

    pub(super) fn remove_if_finished(&mut self, now_ms: f64, id: RequestId) {
        if let Some(entry) = self.in_flight.get(&id).filter(|entry| entry.is_finished()) {
            self.bytes -= entry.request.memory_bytes();
            self.recent_ids
                .close(now_ms, entry.id_hash, entry.may_have_run());
            self.in_flight.remove(&id);
        }
    }
}
