//! Retries: whether a request that has failed at one endpoint is sent to another one.
//!
//! **Rule.** A retry needs a token of the retry budget, which first attempts earn; time left before
//! the client gives up; and fewer attempts so far than a request may have. A safe request may be
//! retried at any endpoint. A keyed request that may have run is retried only within its
//! idempotency window, at endpoints that share the memory of its key. An unsafe request that may
//! have run is never retried. An endpoint is tried at most once.
//!
//! The request table checks the same rule again before it sends (`request::in_flight`), based on
//! the attempts that it has sent itself. Its check includes the time in which a connection may be
//! established, and every attempt that may have run with the location of its endpoint at that time.
//! It is at least as strict, except for an endpoint that has moved to another zone or cell. An
//! attempt that it refuses ends as `NotSent`; the token of that attempt remains spent.
//!
//! **Inputs.** Tokens (one for each retry); the client's deadline and the idempotency window in
//! seconds; the earlier attempts.
//!
//! **Guards.** Retries multiply load at the very time when endpoints fail: the budget limits them
//! to a fraction of the first attempts. An unsafe request must not take effect twice. Known harm:
//! if many endpoints fail, requests fail because the budget has no tokens left.

use super::endpoint::DeduplicationGroup;
use super::endpoint_selection::Selection;
use super::request::PendingRequest;
use super::{Action, DecisionEngine, EndpointId, Idempotency, RequestId};

/// Tokens that a first attempt earns: in the long run at most one retry for five requests.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.2;
/// Capacity of the budget: every request can be retried during a short fault, but not during a long
/// one.
const MAX_TOKENS: f64 = 20.0;
/// Tokens at the start: a fault may occur during the first requests.
const START_TOKENS: f64 = MAX_TOKENS / 2.0;
/// Tokens of one retry.
const RETRY_COST: f64 = 1.0;
/// Shortest time that an attempt needs, as a multiple of the service's time resolution.
const MIN_TIME_LEFT_RESOLUTIONS: f64 = 2.0;

/// Token budget for retries and hedged requests.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            tokens: START_TOKENS,
        }
    }

    /// Adds the tokens earned by a first attempt.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    fn allows_retry(&self) -> bool {
        self.tokens >= RETRY_COST
    }

    fn spend(&mut self) {
        self.tokens -= RETRY_COST;
    }
}

/// Which endpoints a retry may be sent to.
enum RetryScope {
    AnyEndpoint,
    Within(DeduplicationGroup),
    Nowhere,
}

impl DecisionEngine {
    /// Sends a further attempt if class, time, attempt count and budget allow it. Returns whether
    /// it was sent.
    pub(super) fn retry(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(pending) = self.requests.get(&id) else {
            return false;
        };
        let group = match self.retry_scope(now, pending) {
            RetryScope::AnyEndpoint => None,
            RetryScope::Within(group) => Some(group),
            RetryScope::Nowhere => return false,
        };
        if !self.may_retry(now, pending) {
            return false;
        }
        let tried: Vec<EndpointId> = pending
            .attempts
            .iter()
            .map(|attempt| attempt.endpoint)
            .collect();
        let selection = Selection {
            requirement: pending.endpoint_requirement(),
            tried: &tried,
            group,
        };
        let Some(endpoint) = self.select_endpoint(now, selection) else {
            return false;
        };
        self.retry_budget.spend();
        self.send(now, id, endpoint, actions);
        true
    }

    fn may_retry(&self, now: f64, pending: &PendingRequest) -> bool {
        let time_left = pending.request.gives_up_at - now;
        let time_needed = MIN_TIME_LEFT_RESOLUTIONS * self.settings.resolution;
        let attempts_left = (pending.attempts.len() as u32) < self.settings.max_attempts;
        !pending.answered
            && !pending.streaming
            && attempts_left
            && time_left > time_needed
            && self.retry_budget.allows_retry()
    }

    fn retry_scope(&self, now: f64, pending: &PendingRequest) -> RetryScope {
        let mut attempts = pending.attempts.iter();
        let Some(first_run) = attempts.find(|attempt| attempt.may_have_run) else {
            return RetryScope::AnyEndpoint;
        };
        let class = &self.settings.classes[pending.request.class];
        match class.idempotency {
            Idempotency::Safe => RetryScope::AnyEndpoint,
            Idempotency::Unsafe => RetryScope::Nowhere,
            Idempotency::Keyed => {
                let margin = MIN_TIME_LEFT_RESOLUTIONS * self.settings.resolution;
                if now - first_run.sent_at >= class.idempotency_window - margin {
                    return RetryScope::Nowhere;
                }
                // If the endpoint is unknown, so is its group, and no endpoint is safe.
                match self.endpoints.get(&first_run.endpoint) {
                    Some(endpoint) => RetryScope::Within(DeduplicationGroup {
                        scope: class.deduplication_scope,
                        zone: endpoint.zone,
                        cell: endpoint.cell,
                    }),
                    None => RetryScope::Nowhere,
                }
            }
        }
    }
}
