//! What the decision module wants: its verdicts on requests, and its other actions. Here each request gets its one final
//! answer, and a rejection that could do harm becomes a failure.

use super::RequestTable;
use crate::decision::driver::{DriverAction, RequestId, Verdict};
use crate::decision::Outcome;
use crate::request::{Action, FinalAnswer};

/// A failure this close to the end of the client's timeout counts as one for want of time, ms: the decision module gives
/// up some milliseconds before that end, so that the answer still arrives.
const LATE_MARGIN_MS: f64 = 10.0;

impl RequestTable {
    /// Carries out what the decision module has left to do; a verdict may bring further ones.
    pub(super) fn settle(&mut self, now_ms: f64) {
        loop {
            if let Some((id, verdict)) = self.driver.next_verdict() {
                self.carry_out(now_ms, id, verdict);
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
            // The endpoint registry is followed from the start, whoever asks.
            DriverAction::FollowEndpointList => {}
            DriverAction::AddToCounter(add) => {
                self.counts.counter_calls += 1;
                self.actions.push_back(Action::AddToCounter(add));
            }
        }
    }

    pub(super) fn carry_out(&mut self, now_ms: f64, id: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Pending => {}
            Verdict::Send {
                endpoint,
                attempt_timeout_ms,
            } => self.send(now_ms, id, endpoint, attempt_timeout_ms),
            Verdict::Reject { retry_after_ms } => {
                let answer = self.rejection(id, retry_after_ms, false);
                self.finish(id, answer);
            }
            Verdict::Fail => {
                let late = self
                    .in_flight
                    .get(&id)
                    .is_some_and(|entry| now_ms + LATE_MARGIN_MS >= entry.give_up_ms);
                self.finish(id, FinalAnswer::Failed { late });
            }
        }
    }

    /// A rejection. Guards against duplicate execution, whatever was decided: a request that may have run is
    /// failed, since a client that is rejected comes again.
    pub(super) fn rejection(&self, id: RequestId, retry_after_ms: f64, late: bool) -> FinalAnswer {
        let harmless = self
            .in_flight
            .get(&id)
            .is_some_and(|entry| entry.client_may_retry(self.class(&entry.request)));
        if harmless {
            FinalAnswer::Rejected { retry_after_ms }
        } else {
            FinalAnswer::Failed { late }
        }
    }

    /// Rejects a request of which nothing was forwarded and nothing is kept.
    pub(super) fn reject_untried(&mut self, id: RequestId, retry_after_ms: f64) {
        self.counts.rejected += 1;
        self.actions
            .push_back(Action::Reply(id, FinalAnswer::Rejected { retry_after_ms }));
    }

    /// The one place where a request in flight gets its answer, once.
    pub(super) fn finish(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(entry) = self.in_flight.get_mut(&id).filter(|e| !e.is_answered()) else {
            return;
        };
        entry.mark_answered();
        self.unanswered -= 1;
        match answer {
            FinalAnswer::Served(_) => self.counts.served += 1,
            FinalAnswer::Rejected { .. } => self.counts.rejected += 1,
            FinalAnswer::Failed { .. } => self.counts.failed += 1,
        }
        self.actions.push_back(Action::Reply(id, answer));
        self.remove_if_over(id);
    }
}
