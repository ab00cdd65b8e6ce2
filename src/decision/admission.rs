//! Admission: whether an arriving request is admitted, and the final answers that this ingress
//! gives by itself.
//!
//! **Rule.** A request is rejected at once, with a Retry-After, by a fixed chance for each load
//! level ([`SHED_CHANCE`]); then by its tenant's quota (see [`super::quota`]); then where no
//! endpoint may be sent an attempt: none is ready, or those that are warm up and have spent their
//! budgets (see [`super::slow_start`]). At level 1 or 2, a request that would typically be answered
//! after its latency objective is rejected at least by the share of its priority weight that is
//! lost by then. Nothing is delayed to be rejected later, except for one call to the counter.
//!
//! **Inputs.** The load level; the time that is left to the client and the typical latency of the
//! class, in seconds; the quota's decision.
//!
//! **Guards.** Under overload, work for answers that come too late is lost for all: hence late ones
//! first. A rejected request must not have run, as its client repeats it: where an attempt may have
//! run, the answer is a failure. Before its client gives up, every request is answered by a timer,
//! whatever else fails. Known harm: at level 1 the chance is blind to what a request is worth.

use super::endpoint_selection::Selection;
use super::load_level::SampleTrigger;
use super::quota::QuotaDecision;
use super::request::PendingRequest;
use super::{Action, DecisionEngine, Request, RequestId};

/// Chance of a rejection at each load level.
const SHED_CHANCE: [f64; 3] = [0.0, 0.5, 1.0];
/// Retry-After, in latency objectives, of a rejection for load, for want of an endpoint or time, and
/// of a request that waited in vain for a lease: a retry can still be in time.
const RETRY_AFTER_OBJECTIVES: f64 = 0.3;
/// Shortest Retry-After of a rejection by quota, s: units come in slowly, and an early retry is
/// rejected again.
pub(super) const MIN_QUOTA_RETRY_AFTER: f64 = 0.5;
/// Marks the timer of a request's answer; the lower half of the token is the request's id.
const ANSWER_TIMER: u64 = 1 << 32;

impl DecisionEngine {
    /// A request has come in.
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
        if !request.sound(now, &self.settings) {
            return self.reject(id, 0.0, actions);
        }
        self.load.sample(now, SampleTrigger::Arrival);
        let chance = self.shed_chance(now, &request);
        if chance > 0.0 && self.happens(chance) {
            let retry_after = self.load_retry_after(request.class);
            return self.reject(id, retry_after, actions);
        }
        let decision = self.take_units(now, &request, actions);
        if let QuotaDecision::Exceeded { wait } = decision {
            return self.reject(id, wait.max(MIN_QUOTA_RETRY_AFTER), actions);
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

    /// Chance that a request is rejected for load.
    fn shed_chance(&self, now: f64, request: &Request) -> f64 {
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
        SHED_CHANCE[level].max(lost_share)
    }

    /// Retry-After of a rejection that is not by quota, s.
    fn load_retry_after(&self, class: usize) -> f64 {
        RETRY_AFTER_OBJECTIVES * self.settings.classes[class].latency_objective
    }

    /// Sends the first attempt of a request that its quota admits, or rejects it where no endpoint
    /// can take it.
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
        self.answer_without_success(id, actions);
    }

    /// Rejects a request that is not pending, with a Retry-After in seconds; 0: none.
    pub(super) fn reject(&self, id: RequestId, retry_after: f64, actions: &mut Vec<Action>) {
        actions.push(Action::Reject {
            id,
            retry_after: retry_after.min(self.settings.max_retry_after),
        });
    }

    /// The answer timer of a request is due: whatever happens, the client hears in time. A streamed
    /// answer may last longer.
    pub(super) fn answer_is_due(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let pending = self.requests.get(&id);
        if pending.is_some_and(|pending| !pending.streaming) {
            self.answer_without_success(id, actions);
        }
    }

    /// Final answer without success: rejected where nothing may have run, else failed.
    pub(super) fn answer_without_success(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.answered) else {
            return;
        };
        if pending.may_have_run() {
            actions.push(Action::Fail { id });
        } else {
            let retry_after = self.load_retry_after(pending.request.class);
            self.reject(id, retry_after, actions);
        }
        self.finish(id);
    }
}
