//! Outlier ejection: an endpoint that fails again and again is taken out of selection for a while.
//!
//! **Rule.** [`FAILURES_TO_EJECT`] consecutive failures eject an endpoint for [`FIRST_EJECTION`]
//! seconds, twice as long after each further ejection and [`MAX_EJECTION`] seconds at most. When
//! the time is over, a health check decides whether it comes back; where health checks are not
//! allowed it comes back by itself. It then is on trial: it gets one request at a time, and the
//! first failure, rejection or timeout ejects it again. A served request ends the trial, or clears
//! the count of ejections outside one. An earlier attempt that is served after all, and a load
//! report that comes with a streamed answer, end an ejection at once: the endpoint works. No
//! endpoint is ejected that would bring the ejected ones above half of those ready.
//!
//! **Inputs.** Outcomes of attempts and health checks; when the attempt was sent and when the
//! endpoint last answered anybody, in seconds.
//!
//! **Guards.** Every request sent to a failed endpoint costs an attempt and time. A rejection is no
//! failure, and a timeout is one only while the endpoint answers nobody: else it is busy, and
//! ejecting it would load the others until they are late as well. Failures of most endpoints alike
//! are load or a fault behind them. Known harm: the other endpoints carry more while one is
//! ejected.

use super::endpoint::Endpoint;
use super::{Action, DecisionEngine, EndpointId, Outcome};

/// Consecutive failures that eject: one or two are common in a restart.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection, s: about as long as a process takes to come back.
const FIRST_EJECTION: f64 = 1.0;
/// Longest ejection, s: bounds how long a mended endpoint is missed.
const MAX_EJECTION: f64 = 8.0;
/// Doublings of the first ejection are counted up to here: keeps the power of two finite, since
/// [`MAX_EJECTION`] is reached before.
const MAX_EJECTION_DOUBLINGS: i32 = 4;
/// Most endpoints that may be ejected, or excluded for a class or plan, as a share of those ready.
pub(super) const MAX_EJECTED_SHARE: f64 = 0.5;
/// An ejected endpoint whose health check was not answered is checked again after this long, s.
const HEALTH_CHECK_INTERVAL: f64 = 0.5;

/// What outcomes have told of one endpoint.
#[derive(Default)]
pub(super) struct EndpointHealth {
    consecutive_failures: u32,
    /// Ejections since it last served a request outside a trial.
    consecutive_ejections: i32,
    /// When it last answered anybody, s.
    last_answer_at: f64,
    /// None: it is not ejected. Else when its next health check is due, s, or, without health
    /// checks, when it comes back.
    next_check_at: Option<f64>,
    /// Back after an ejection; nothing has been served since.
    pub(super) on_trial: bool,
}

impl EndpointHealth {
    pub(super) fn is_ejected(&self) -> bool {
        self.next_check_at.is_some()
    }

    /// A new process has started.
    pub(super) fn reset(&mut self) {
        *self = EndpointHealth {
            last_answer_at: self.last_answer_at,
            ..EndpointHealth::default()
        };
    }

    /// A request has been served at `now` (s).
    pub(super) fn record_success(&mut self, now: f64) {
        self.consecutive_failures = 0;
        self.next_check_at = None;
        self.last_answer_at = now;
        if self.on_trial {
            self.on_trial = false;
        } else {
            self.consecutive_ejections = 0;
        }
    }

    /// An attempt that was sent at `sent_at` (s) has failed, was rejected, or is overdue. Whether
    /// the endpoint is to be ejected.
    fn record_failure(&mut self, now: f64, outcome: Outcome, sent_at: f64) -> bool {
        let failed = match outcome {
            Outcome::Rejected => false,
            Outcome::Timeout => self.last_answer_at < sent_at,
            _ => true,
        };
        self.consecutive_failures += u32::from(failed);
        if matches!(outcome, Outcome::Rejected | Outcome::Error) {
            self.last_answer_at = now;
        }
        self.on_trial || self.consecutive_failures >= FAILURES_TO_EJECT
    }

    fn eject(&mut self, now: f64) {
        let doublings = self.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        let duration = (FIRST_EJECTION * f64::from(1 << doublings)).min(MAX_EJECTION);
        self.next_check_at = Some(now + duration);
        self.consecutive_ejections += 1;
        self.on_trial = false;
        self.consecutive_failures = 0;
    }

    fn readmit_on_trial(&mut self) {
        self.next_check_at = None;
        self.on_trial = true;
    }

    fn ejection_is_over(&self, now: f64) -> bool {
        self.next_check_at.is_some_and(|until| now >= until)
    }

    /// A health check has ended.
    fn record_health_check(&mut self, now: f64, outcome: Outcome) {
        if !self.is_ejected() {
            return;
        }
        if outcome == Outcome::Ok {
            self.readmit_on_trial();
        } else {
            self.eject(now);
        }
    }
}

impl DecisionEngine {
    /// An endpoint has failed an attempt that was sent at `sent_at` (s): after some in a row it is
    /// ejected.
    pub(super) fn record_endpoint_failure(
        &mut self,
        now: f64,
        id: EndpointId,
        outcome: Outcome,
        sent_at: f64,
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        if endpoint.health.record_failure(now, outcome, sent_at) {
            self.eject(now, id);
        }
    }

    fn eject(&mut self, now: f64, id: EndpointId) {
        let ready = self.endpoints.values().filter(|endpoint| endpoint.ready);
        let ready_count = ready.clone().count();
        let ejected_count = ready
            .filter(|endpoint| endpoint.health.is_ejected())
            .count();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        let too_many = (ejected_count + 1) as f64 > MAX_EJECTED_SHARE * ready_count as f64;
        if !endpoint.health.is_ejected() && !too_many {
            endpoint.health.eject(now);
        }
    }

    /// A health check has ended; the values of its load report.
    pub(super) fn health_check_ended(
        &mut self,
        now: f64,
        id: EndpointId,
        outcome: Outcome,
        report: &[f64],
    ) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.health.record_health_check(now, outcome);
        endpoint.record_load_report(now, &self.settings.load_report_fields, report);
    }

    /// Checks the health of endpoints whose ejection is over, or takes them back.
    pub(super) fn end_ejections(&mut self, now: f64, actions: &mut Vec<Action>) {
        for (&id, Endpoint { ready, health, .. }) in &mut self.endpoints {
            if !*ready || !health.ejection_is_over(now) {
                continue;
            }
            if self.settings.health_checks_allowed {
                health.next_check_at = Some(now + HEALTH_CHECK_INTERVAL);
                actions.push(Action::Probe { endpoint: id });
            } else {
                health.readmit_on_trial();
            }
        }
    }
}
