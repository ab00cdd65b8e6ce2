//! Carries out verdicts and other actions of the decision module. Ensures that each request gets
//! exactly one final answer, and turns a rejection into a failure if the client's retry could run
//! the request twice.

use super::RequestTable;
use crate::decision::driver::{DriverAction, RequestId, Verdict};
use crate::decision::Outcome;
use crate::request::{Action, ClientRequest, FinalAnswer};

/// A failure that is this close to the request's deadline counts as a timeout, ms: the decision
/// module gives up some milliseconds before the deadline, so that the answer still arrives in time.
const LATE_MARGIN_MS: f64 = 10.0;

impl RequestTable {
    /// Carries out all pending verdicts and actions of the decision module; a verdict may cause
    /// further ones.
    pub(super) fn carry_out_pending(&mut self, now_ms: f64) {
        loop {
            if let Some((id, verdict)) = self.driver.next_verdict() {
                self.carry_out_verdict(now_ms, id, verdict);
                continue;
            }
            let Some(action) = self.driver.next_action() else {
                return;
            };
            self.carry_out_driver_action(now_ms, action);
        }
    }

    fn carry_out_driver_action(&mut self, now_ms: f64, action: DriverAction) {
        match action {
            DriverAction::Cancel { request, attempt } => {
                if self.is_running(request, attempt) {
                    self.abandon(now_ms, request, attempt, Outcome::Cancelled);
                }
            }
            DriverAction::Probe(endpoint) => self.actions.push_back(Action::Probe(endpoint)),
            // The ingress follows the endpoint registry from its start.
            DriverAction::FollowEndpointList => {}
            DriverAction::AddToCounter(add) => {
                self.counts.counter_calls += 1;
                self.actions.push_back(Action::AddToCounter(add));
            }
        }
    }

    pub(super) fn carry_out_verdict(&mut self, now_ms: f64, id: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Pending => {}
            Verdict::Send {
                endpoint,
                attempt_timeout_ms,
            } => self.send(now_ms, id, endpoint, attempt_timeout_ms),
            Verdict::Reject { retry_after_ms } => {
                let answer = self.rejection(id, retry_after_ms, false);
                self.finish(now_ms, id, answer);
            }
            Verdict::Fail => {
                let late = self
                    .in_flight
                    .get(&id)
                    .is_some_and(|entry| now_ms + LATE_MARGIN_MS >= entry.request_deadline_ms);
                self.finish(now_ms, id, FinalAnswer::Failed { late });
            }
        }
    }

    /// Returns a rejection, or a failure if the request may have run: a client that is rejected
    /// retries, and the request would run twice. Holds whatever the decision module asked for.
    pub(super) fn rejection(&self, id: RequestId, retry_after_ms: f64, late: bool) -> FinalAnswer {
        let retry_is_safe = self
            .in_flight
            .get(&id)
            .is_some_and(|entry| entry.client_may_retry(self.class(&entry.request)));
        if retry_is_safe {
            FinalAnswer::Rejected { retry_after_ms }
        } else {
            FinalAnswer::Failed { late }
        }
    }

    /// Rejects a request that was never forwarded and has no entry in the table.
    pub(super) fn reject_unforwarded(&mut self, id: RequestId, retry_after_ms: f64) {
        self.counts.rejected += 1;
        self.actions
            .push_back(Action::Reply(id, FinalAnswer::Rejected { retry_after_ms }));
    }

    /// Fails a request whose id is that of an open or recent request. It is not forwarded.
    pub(super) fn fail_repeated(&mut self, id: RequestId, request: &ClientRequest) {
        tracing::debug!(id = request.id, "request with a repeated id");
        self.counts.repeated_ids += 1;
        self.counts.failed += 1;
        let answer = FinalAnswer::Failed { late: false };
        self.actions.push_back(Action::Reply(id, answer));
    }

    /// Answers a request in flight, unless it has been answered. All answers to requests in flight
    /// pass through here.
    pub(super) fn finish(&mut self, now_ms: f64, id: RequestId, answer: FinalAnswer) {
        let Some(entry) = self.in_flight.get_mut(&id).filter(|e| !e.is_answered()) else {
            return;
        };
        entry.mark_answered();
        let lateness_ms = now_ms - entry.request_deadline_ms;
        self.counts.record_lateness(lateness_ms);
        tracing::debug!(
            id = entry.request.id,
            class = entry.request.attributes.class,
            answer = answer.name(),
            attempts = entry.attempts(),
            lateness_ms,
            "request answered"
        );
        self.unanswered -= 1;
        match answer {
            FinalAnswer::Served(_) => self.counts.served += 1,
            FinalAnswer::Rejected { .. } => self.counts.rejected += 1,
            FinalAnswer::Failed { .. } => self.counts.failed += 1,
        }
        self.actions.push_back(Action::Reply(id, answer));
        self.remove_if_finished(now_ms, id);
    }
}
