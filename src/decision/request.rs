//! State of a pending request and of its attempts. The rules that use it are in
//! [`super::admission`], [`super::retry`] and [`super::hedging`].

use super::endpoint::{ClassAndPlan, EndpointRequirement};
use super::{DecisionEngine, EndpointId, Outcome, Request, RequestId};

/// One attempt of a request.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// When the attempt was sent, s.
    pub(super) sent_at: f64,
    pub(super) ended: bool,
    /// Whether the endpoint may have handled the attempt; true until an outcome proves otherwise.
    pub(super) may_have_run: bool,
    /// Whether the attempt counts as load (see [`super::load_level`]).
    pub(super) counts_as_load: bool,
    /// In flight for so long that it has been counted as a timeout of its endpoint.
    pub(super) overdue: bool,
    /// In flight for much longer than is typical for its class (see [`super::hedging`]).
    pub(super) slow: bool,
}

impl Attempt {
    fn new(now: f64, endpoint: EndpointId) -> Attempt {
        Attempt {
            endpoint,
            sent_at: now,
            ended: false,
            may_have_run: true,
            counts_as_load: true,
            overdue: false,
            slow: false,
        }
    }

    /// Stops counting the attempt as load. Returns the number to subtract from the count, 0 or 1.
    pub(super) fn take_load_count(&mut self) -> u32 {
        u32::from(std::mem::take(&mut self.counts_as_load))
    }
}

impl Outcome {
    /// Returns whether the endpoint may have handled an attempt with this outcome.
    pub(super) fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request that has no final answer yet, or that still has attempts in flight.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) attempts: Vec<Attempt>,
    /// Whether the final answer has been given.
    pub(super) answered: bool,
    /// Whether the response has begun to stream.
    pub(super) streaming: bool,
}

impl PendingRequest {
    pub(super) fn new(request: Request) -> PendingRequest {
        PendingRequest {
            request,
            attempts: Vec::new(),
            answered: false,
            streaming: false,
        }
    }

    pub(super) fn class_and_plan(&self) -> ClassAndPlan {
        ClassAndPlan {
            class: self.request.class,
            plan: self.request.plan,
        }
    }

    /// Returns what an endpoint must serve to be selected for the request.
    pub(super) fn endpoint_requirement(&self) -> EndpointRequirement {
        EndpointRequirement {
            class_and_plan: self.class_and_plan(),
            pools: self.request.pools,
        }
    }

    pub(super) fn all_attempts_ended(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.ended)
    }

    /// Returns whether an endpoint may have handled any of the attempts.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}

impl DecisionEngine {
    /// Records an attempt that is sent at `now` (s).
    pub(super) fn record_attempt(&mut self, now: f64, id: RequestId, endpoint_id: EndpointId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.attempts.push(Attempt::new(now, endpoint_id));
        self.load.attempt_sent();
        if let Some(tenant) = self.tenants.get_mut(&pending.request.tenant) {
            tenant.attempts_in_flight += 1;
        }
        if let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) {
            endpoint.in_flight += 1;
        }
    }

    /// Records that the response to a request has begun to stream.
    pub(super) fn record_stream(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.streaming = true;
        }
    }

    /// Records that a request has its final answer or that its client has disconnected. The request
    /// is removed once its attempts have ended.
    pub(super) fn finish(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id) else {
            return;
        };
        pending.answered = true;
        if let Some(tenant) = self.tenants.get_mut(&pending.request.tenant) {
            tenant.stop_waiting(id);
        }
        if pending.all_attempts_ended() {
            self.requests.remove(&id);
        }
    }
}
