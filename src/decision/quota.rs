//! Quotas: whether the plan of a tenant has room for a request.
//!
//! **Rule.** A plan may limit the attempts in flight and the units a second, both over all
//! ingresses together. The limit on attempts is divided evenly among the ingresses, and the
//! remainder by rotation. Units come from a lease on the counter (see [`super::quota_lease`]) or,
//! for small quotas, from a token bucket shared on the counter (see
//! [`super::shared_token_bucket`]).
//!
//! **Inputs.** Units of the request; attempts in flight of this ingress; answers of the counter;
//! times in seconds.
//!
//! **Guards.** An ingress cannot see the admissions of other ingresses, so the shares of a limit
//! must sum to the limit. Every counter call ends, by its timeout at the latest, so no request
//! waits for it indefinitely. Known harm: a tenant whose requests arrive unevenly leaves part of
//! its limit on attempts unused.

use super::{Action, DecisionEngine, Outcome, Request, Settings};

/// Decision of a quota about a request.
pub(super) enum QuotaDecision {
    Granted,
    /// The request exceeds the quota. `wait` is the time in seconds until there is room; 0:
    /// unknown.
    Exceeded {
        wait: f64,
    },
    /// The request waits for the answer of a counter call.
    AwaitingCounter,
}

/// The answer to a counter call.
pub(super) struct CounterAnswer {
    pub(super) name: u64,
    pub(super) outcome: Outcome,
    /// The total after the call; valid only if the outcome is [`Outcome::Ok`].
    pub(super) total: f64,
}

impl CounterAnswer {
    fn total(&self) -> Option<f64> {
        (self.outcome == Outcome::Ok && self.total.is_finite()).then_some(self.total)
    }
}

/// Returns this ingress's share of a limit on attempts in flight. The shares sum to the limit: the
/// remainder of an even division is assigned to ingresses by rotation, which starts at a different
/// ingress for each tenant. Each share is at least one.
fn attempt_limit_share(settings: &Settings, request: &Request, limit: u32) -> u32 {
    let ingress_count = request.ingress_count.clamp(1, settings.ingresses);
    let ingresses = settings.ingresses;
    // Offset from the first ingress that the tenant's requests arrive through.
    let ingress_offset =
        (settings.ingress_index + ingresses - request.first_ingress % ingresses) % ingresses;
    let remainder_rank =
        (ingress_offset + (request.tenant % u64::from(ingress_count)) as u32) % ingress_count;
    let gets_remainder = remainder_rank < limit % ingress_count;
    (limit / ingress_count + u32::from(gets_remainder)).max(1)
}

impl DecisionEngine {
    /// Takes the units of a request from the quota, or returns the time until they are available.
    pub(super) fn take_units(
        &mut self,
        now: f64,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        let plan = self.settings.plans[request.plan].clone();
        if !self.ensure_tenant(now, request, &plan) {
            return QuotaDecision::Exceeded { wait: 0.0 };
        }
        // While the counter is unavailable, only a fraction of the requests call it to detect its
        // return.
        let skip_call =
            self.counter.is_unavailable() && self.random_bool(self.counter.congestion());
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else {
            return QuotaDecision::Exceeded { wait: 0.0 };
        };
        tenant.record_demand(now, request.units);
        if plan.max_in_flight > 0 {
            let share = attempt_limit_share(&self.settings, request, plan.max_in_flight);
            if tenant.attempts_in_flight >= share {
                return QuotaDecision::Exceeded { wait: 0.0 };
            }
        }
        if plan.rate <= 0.0 {
            return QuotaDecision::Granted;
        }
        if tenant.has_shared_bucket {
            return self.take_from_shared_bucket(now, request, &plan, actions);
        }
        self.take_from_lease(now, request, &plan, skip_call, actions)
    }

    /// Handles the end of a counter call.
    pub(super) fn counter_answered(
        &mut self,
        now: f64,
        answer: &CounterAnswer,
        actions: &mut Vec<Action>,
    ) {
        let Some(&awaited) = self.awaited_calls.get(&answer.name) else {
            return;
        };
        if answer.outcome != Outcome::Timeout {
            self.awaited_calls.remove(&answer.name);
        }
        let id = awaited.tenant;
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        let Some(call) = tenant.call.take() else {
            return;
        };
        let total = answer.total();
        self.counter.record_call(
            now,
            now - tenant.called_at,
            self.settings.counter_timeout,
            answer.outcome,
            total.is_some(),
        );
        if tenant.has_shared_bucket {
            return self.shared_bucket_answered(now, id, call, total, actions);
        }
        match total {
            Some(total) => self.lease_answered(now, id, call, total, actions),
            None => self.lease_call_failed(now, id, call, answer.outcome, actions),
        }
    }
}
