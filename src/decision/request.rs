//! A request that is pending at this ingress, and its attempts. State only: what is decided about
//! it stands in [`super::admission`], [`super::retry`] and [`super::hedging`].

use super::endpoint::{ClassAndPlan, EndpointRequirement};
use super::{DecisionEngine, EndpointId, Outcome, Request, RequestId};

/// One attempt of a request.
#[derive(Clone)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// When it was sent, s.
    pub(super) sent_at: f64,
    pub(super) ended: bool,
    /// Whether the endpoint may have handled it; true until an outcome proves that it has not.
    pub(super) may_have_run: bool,
    /// Whether it counts as load (see [`super::load_level`]).
    pub(super) counts_as_load: bool,
    /// In flight for so long that its endpoint has been blamed for it.
    pub(super) overdue: bool,
    /// In flight for longer than is usual for its class (see [`super::hedging`]).
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

    /// Stops counting it as load; how many are to be taken off the count, 0 or 1.
    pub(super) fn uncount(&mut self) -> u32 {
        u32::from(std::mem::take(&mut self.counts_as_load))
    }
}

impl Outcome {
    /// Whether the endpoint may have handled an attempt that ended so.
    pub(super) fn may_have_run(self) -> bool {
        !matches!(
            self,
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        )
    }
}

/// A request that is owed a final answer, or whose last attempts have not ended yet.
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) attempts: Vec<Attempt>,
    /// The final answer has been given.
    pub(super) answered: bool,
    /// The answer has begun to stream.
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

    /// What an endpoint must serve to be chosen for it.
    pub(super) fn endpoint_requirement(&self) -> EndpointRequirement {
        EndpointRequirement {
            class_and_plan: self.class_and_plan(),
            pools: self.request.pools,
        }
    }

    pub(super) fn all_attempts_ended(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.ended)
    }

    /// Whether any attempt may have been handled.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.may_have_run)
    }
}

impl DecisionEngine {
    /// Notes that an attempt is sent at `now` (s).
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

    /// Notes that a request's answer streams.
    pub(super) fn record_stream(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.streaming = true;
        }
    }

    /// Notes a request's final answer, or that its client has gone. It is forgotten once its
    /// attempts have ended.
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
