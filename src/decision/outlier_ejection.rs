//! Outlier ejection: removes an endpoint from selection for some time after consecutive failures.
//!
//! **Rule.** [`FAILURES_TO_EJECT`] consecutive failures eject an endpoint for [`FIRST_EJECTION`]
//! seconds, doubled after each further ejection up to [`MAX_EJECTION`] seconds. After that time a
//! health check decides whether the endpoint is readmitted; if health checks are not allowed, it is
//! readmitted without one. A readmitted endpoint is on trial: it gets one request at a time, and
//! the first failure, rejection or timeout ejects it again. A successful request ends the trial;
//! outside a trial it resets the count of ejections. A successful answer to an earlier attempt, or
//! a load report that comes with a streamed answer, ends an ejection immediately because it shows
//! that the endpoint works. An endpoint is not ejected if more than half of the ready endpoints
//! would then be ejected.
//!
//! **Inputs.** Outcomes of attempts and health checks; when the attempt was sent and when the
//! endpoint last answered any request, in seconds.
//!
//! **Guards.** Every request sent to a failed endpoint costs an attempt and time. A rejection does
//! not count as a failure, and a timeout counts only while the endpoint answers no other request:
//! an endpoint that answers others is busy, and ejecting it would load the other endpoints until
//! they are late as well. If most endpoints fail alike, the cause is load or a fault behind them.
//! Known harm: the other endpoints carry more load while one is ejected.

use super::endpoint::Endpoint;
use super::{Action, DecisionEngine, EndpointId, Outcome};

/// Consecutive failures that eject an endpoint: one or two are common during a restart.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, s: about the time that a process needs to restart.
const FIRST_EJECTION: f64 = 1.0;
/// Longest ejection, s: limits how long a recovered endpoint remains unused.
const MAX_EJECTION: f64 = 8.0;
/// Most doublings of the first ejection: [`MAX_EJECTION`] is reached earlier, and the limit keeps
/// the power of two finite.
const MAX_EJECTION_DOUBLINGS: i32 = 4;
/// Largest share of ready endpoints that may be ejected, or excluded for a class or plan.
pub(super) const MAX_EJECTED_SHARE: f64 = 0.5;
/// Interval between health checks of an ejected endpoint that does not answer them, s.
const HEALTH_CHECK_INTERVAL: f64 = 0.5;

/// Health of one endpoint as observed through its outcomes.
#[derive(Default)]
pub(super) struct EndpointHealth {
    consecutive_failures: u32,
    /// Number of ejections since the last successful request outside a trial.
    consecutive_ejections: i32,
    /// When the endpoint last answered any request, s.
    last_answer_at: f64,
    /// `None` if the endpoint is not ejected. Otherwise when its next health check is due, s, or
    /// when it is readmitted if health checks are not allowed.
    next_check_at: Option<f64>,
    /// Whether the endpoint has been readmitted and has had no successful request since.
    pub(super) on_trial: bool,
}

impl EndpointHealth {
    pub(super) fn is_ejected(&self) -> bool {
        self.next_check_at.is_some()
    }

    /// Resets the state after a restart of the endpoint's process.
    pub(super) fn reset(&mut self) {
        *self = EndpointHealth {
            last_answer_at: self.last_answer_at,
            ..EndpointHealth::default()
        };
    }

    /// Records a successful request at `now` (s).
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

    /// Records an attempt sent at `sent_at` (s) that has failed, was rejected, or is overdue.
    /// Returns whether the endpoint must be ejected.
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

    /// Records the end of a health check.
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
    /// Records an unsuccessful attempt that was sent at `sent_at` (s), and ejects the endpoint
    /// after enough consecutive failures.
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

    /// Handles the end of a health check; `report` holds the values of the load report.
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

    /// Starts a health check of each endpoint whose ejection is over, or readmits the endpoint if
    /// health checks are not allowed.
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
