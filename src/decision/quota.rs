//! Quotas: whether a tenant's plan holds the units of a request.
//!
//! **Rule.** A plan may cap the attempts in flight and the units a second, both over all ingresses
//! together. The cap on attempts is divided evenly, the odd ones by turn. Units come from a lease
//! on the counter (see [`super::quota_lease`]), for small quotas from a bucket that is shared there
//! (see [`super::shared_token_bucket`]).
//!
//! **Inputs.** Units of the request; attempts in flight of this ingress; the counter's answers;
//! times in seconds.
//!
//! **Guards.** No ingress knows what the others admit, so the parts of a cap must sum to it. A
//! counter call in flight is answered in any case, by its timeout at the latest, so that no request
//! waits for it without end. Known harm: a tenant whose requests come unevenly leaves parts of its
//! cap on attempts unused.

use super::{Action, DecisionEngine, Outcome, Request, Settings};

/// What a quota says to a request.
pub(super) enum QuotaDecision {
    Granted,
    /// Beyond the quota; seconds until there is room, 0: not known.
    Exceeded {
        wait: f64,
    },
    /// The counter has been asked.
    AwaitingCounter,
}

/// An answer of the counter.
pub(super) struct CounterAnswer {
    pub(super) name: u64,
    pub(super) outcome: Outcome,
    /// The number after the call; meaningless unless the outcome is ok.
    pub(super) total: f64,
}

impl CounterAnswer {
    fn total(&self) -> Option<f64> {
        (self.outcome == Outcome::Ok && self.total.is_finite()).then_some(self.total)
    }
}

/// This ingress's part of a cap on attempts in flight. The parts sum to the cap: what an even
/// division leaves over goes to the ingresses in turn, beginning at another one for each tenant.
/// Each has one at the least.
fn attempts_part(settings: &Settings, request: &Request, cap: u32) -> u32 {
    let spread = request.ingress_count.clamp(1, settings.ingresses);
    let ingresses = settings.ingresses;
    // Counted from the first ingress that the tenant's requests come through.
    let place =
        (settings.ingress_index + ingresses - request.first_ingress % ingresses) % ingresses;
    let turn = (place + (request.tenant % u64::from(spread)) as u32) % spread;
    let has_odd_one = turn < cap % spread;
    (cap / spread + u32::from(has_odd_one)).max(1)
}

impl DecisionEngine {
    /// Takes a request's units, or tells the time until there are some.
    pub(super) fn take_units(
        &mut self,
        now: f64,
        request: &Request,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        let plan = self.settings.plans[request.plan].clone();
        if !self.remember_tenant(now, request, &plan) {
            return QuotaDecision::Exceeded { wait: 0.0 };
        }
        // While the counter is unavailable, only some of the requests try whether it is back.
        let skip_call = self.counter.is_unavailable() && self.happens(self.counter.congestion());
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else {
            return QuotaDecision::Exceeded { wait: 0.0 };
        };
        tenant.record_demand(now, request.units);
        if plan.max_in_flight > 0 {
            let part = attempts_part(&self.settings, request, plan.max_in_flight);
            if tenant.attempts_in_flight >= part {
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

    /// A counter call has ended.
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
