//! Retries: whether a request that has failed at one endpoint is sent to another one.
//!
//! **Rule.** A retry needs a token of the retry budget, which first attempts earn; time before the
//! client gives up; and an attempt left of the most that a request may have. A safe request may be
//! retried anywhere. A keyed one that may have run is retried only within its idempotency window,
//! at endpoints that share the memory of its key. An unsafe one that may have run is never retried.
//! An endpoint is tried once at most.
//!
//! The request table checks the same rule again before it sends (`request::in_flight`), by what it
//! has itself sent: that guard counts the time in which a connection may come up, and looks at every
//! attempt that may have run and at where its endpoint stood then. It is at least as strict but for
//! an endpoint that has moved. An attempt that it refuses ends as `NotSent`; its token stays spent.
//!
//! **Inputs.** Tokens (one a retry); the client's deadline and the idempotency window in seconds;
//! the earlier attempts.
//!
//! **Guards.** Retries multiply load just when endpoints fail: the budget bounds them to a part of
//! the first attempts. An unsafe request must not take effect twice. Known harm: where failures are
//! many, requests fail for lack of tokens.

use super::endpoint::DeduplicationGroup;
use super::endpoint_selection::Selection;
use super::request::PendingRequest;
use super::{Action, DecisionEngine, EndpointId, Idempotency, RequestId};

/// Tokens that a first attempt earns: at most one retry for five requests in the long run.
const TOKENS_EARNED: f64 = 0.2;
/// Most tokens saved: a short fault may be retried in full, a long one may not.
const MAX_TOKENS: f64 = 20.0;
/// Tokens at the start: a fault may come with the first requests.
const START_TOKENS: f64 = MAX_TOKENS / 2.0;
/// Tokens of one retry.
const RETRY_PRICE: f64 = 1.0;
/// Time that an attempt needs at the least, in units of the service's time resolution.
const MIN_TIME_LEFT_RESOLUTIONS: f64 = 2.0;

/// Tokens that pay for retries and hedged requests.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    pub(super) fn new() -> RetryBudget {
        RetryBudget {
            tokens: START_TOKENS,
        }
    }

    /// A first attempt is sent.
    pub(super) fn earn(&mut self) {
        self.tokens = (self.tokens + TOKENS_EARNED).min(MAX_TOKENS);
    }

    fn allows_retry(&self) -> bool {
        self.tokens >= RETRY_PRICE
    }

    fn spend(&mut self) {
        self.tokens -= RETRY_PRICE;
    }
}

/// Where a retry may go.
enum RetryScope {
    AnyEndpoint,
    Within(DeduplicationGroup),
    Nowhere,
}

impl DecisionEngine {
    /// Sends a further attempt if class, time, number and budget allow it; whether it was sent.
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
                // Without knowing the endpoint's group any more, no group is safe.
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
