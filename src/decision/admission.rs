//! Admission control: whether an arriving request is admitted, and the final answers that this
//! ingress gives without an endpoint.
//!
//! **Rule.** An invalid request is rejected without a Retry-After. Any other request is rejected
//! immediately, with a Retry-After, by the first of these checks that it fails: load shedding, with
//! a fixed probability for each load level ([`SHED_PROBABILITY`]); the quota of its tenant (see
//! [`super::quota`]); endpoint selection, which finds no endpoint if none is ready, or if the ready
//! ones are warming up and have spent their budgets (see [`super::slow_start`]). At level 1 or 2, a
//! request whose expected latency exceeds its latency objective is rejected with at least the
//! probability `1 - late_weight_share`, the share of its priority weight that a late answer loses.
//! No request is delayed before it is rejected, except for the duration of one counter call.
//!
//! **Inputs.** The load level; the time left before the client gives up and the typical latency of
//! the class, in seconds; the decision of the quota.
//!
//! **Guards.** Under overload, work on answers that come too late wastes capacity that all requests
//! share, so late requests are rejected first. A rejected request must not have run, because its
//! client repeats it: once an attempt may have run, the answer is a failure instead. A timer
//! answers every request before its client gives up, whatever else fails. Known harm: the shedding
//! probability at level 1 does not depend on the priority weight of a request.

use super::endpoint_selection::Selection;
use super::load_level::SampleTrigger;
use super::quota::QuotaDecision;
use super::rejection_counts::RejectionCause;
use super::request::PendingRequest;
use super::{Action, DecisionEngine, Request, RequestId};

/// Probability of a rejection at each load level.
const SHED_PROBABILITY: [f64; 3] = [0.0, 0.5, 1.0];
/// Retry-After, in latency objectives, of a rejection caused by load, by a lack of endpoints or
/// time, or by a lease that was not granted: a retry after this time can still meet the objective.
const RETRY_AFTER_OBJECTIVES: f64 = 0.3;
/// Shortest Retry-After of a rejection by quota, s: a bucket refills slowly, so an earlier retry
/// would be rejected again.
pub(super) const MIN_QUOTA_RETRY_AFTER: f64 = 0.5;
/// Bit that marks the token of an answer timer; the lower half of the token is the request id.
const ANSWER_TIMER: u64 = 1 << 32;

impl DecisionEngine {
    /// Handles the arrival of a request.
    pub(super) fn request_arrived(
        &mut self,
        now: f64,
        request: Request,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id;
        if self.requests.contains_key(&id) {
            return;
        }
        if !request.is_valid(now, &self.settings) {
            return self.reject(id, RejectionCause::Invalid, 0.0, actions);
        }
        self.load.sample(now, SampleTrigger::Arrival);
        let probability = self.shed_probability(now, &request);
        if probability > 0.0 && self.random_bool(probability) {
            let retry_after = self.load_retry_after(request.class);
            return self.reject(id, RejectionCause::Load, retry_after, actions);
        }
        let decision = self.take_units(now, &request, actions);
        if let QuotaDecision::Exceeded { wait } = decision {
            let retry_after = wait.max(MIN_QUOTA_RETRY_AFTER);
            return self.reject(id, RejectionCause::Quota, retry_after, actions);
        }
        let answer_after = request.gives_up_at - now - self.settings.resolution;
        actions.push(Action::Timer {
            after: answer_after.max(0.0),
            token: ANSWER_TIMER | u64::from(id),
        });
        self.requests.insert(id, PendingRequest::new(request));
        if matches!(decision, QuotaDecision::Granted) {
            self.admit(now, id, actions);
        }
    }

    /// Returns the probability that a request is rejected because of load.
    fn shed_probability(&self, now: f64, request: &Request) -> f64 {
        let level = self.load.level();
        let class = &self.settings.classes[request.class];
        let waited = class.deadline - (request.gives_up_at - now);
        let expected_latency = waited + self.typical_latency[request.class];
        let late = level > 0 && expected_latency > class.latency_objective;
        let lost_share = if late {
            1.0 - class.late_weight_share
        } else {
            0.0
        };
        SHED_PROBABILITY[level].max(lost_share)
    }

    /// Returns the Retry-After, s, of a rejection that is not caused by a quota.
    fn load_retry_after(&self, class: usize) -> f64 {
        RETRY_AFTER_OBJECTIVES * self.settings.classes[class].latency_objective
    }

    /// Sends the first attempt of a request that has passed its quota, or rejects the request if no
    /// endpoint can be selected.
    pub(super) fn admit(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.answered) else {
            return;
        };
        let tenant = pending.request.tenant;
        let units = pending.request.units;
        let selection = Selection {
            requirement: pending.endpoint_requirement(),
            tried: &[],
            group: None,
        };
        self.slow_start.record_admitted();
        if let Some(endpoint) = self.select_endpoint(now, selection) {
            self.retry_budget.earn();
            return self.send(now, id, endpoint, actions);
        }
        if let Some(tenant) = self.tenants.get_mut(&tenant) {
            tenant.local_tokens += units;
        }
        self.answer_without_success(id, RejectionCause::NoEndpoint, actions);
    }

    /// Rejects a request that is not pending. `retry_after` is in seconds; 0 means none.
    pub(super) fn reject(
        &mut self,
        id: RequestId,
        cause: RejectionCause,
        retry_after: f64,
        actions: &mut Vec<Action>,
    ) {
        self.rejections.record(cause);
        actions.push(Action::Reject {
            id,
            retry_after: retry_after.min(self.settings.max_retry_after),
        });
    }

    /// Handles the expiry of a request's answer timer: the client gets an answer before it gives
    /// up. A response that is already streaming may continue past the timer.
    pub(super) fn answer_timer_expired(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let pending = self.requests.get(&id);
        if pending.is_some_and(|pending| !pending.streaming) {
            self.answer_without_success(id, RejectionCause::NoTime, actions);
        }
    }

    /// Gives the final answer to an unsuccessful request: a rejection if no attempt may have run, a
    /// failure otherwise.
    pub(super) fn answer_without_success(
        &mut self,
        id: RequestId,
        cause: RejectionCause,
        actions: &mut Vec<Action>,
    ) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.answered) else {
            return;
        };
        if pending.may_have_run() {
            actions.push(Action::Fail { id });
        } else {
            let retry_after = self.load_retry_after(pending.request.class);
            self.reject(id, cause, retry_after, actions);
        }
        self.finish(id);
    }
}
