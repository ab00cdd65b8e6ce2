//! Quota leases: units that this ingress takes ahead from the counter and spends by itself.
//!
//! **Rule.** One counter call takes a lease of [`LEASE_DEMAND`] seconds of demand out of the
//! tenant's current window (see [`super::lease_window`]), and the next call is made when half of it
//! is spent; a lease of a single request is not refilled ahead. One call is in flight at most.
//! Requests that find no local tokens wait for it.
//!
//! **Inputs.** Units; demand in units a second; answers of the counter; times in seconds.
//!
//! **Guards.** When the counter is unavailable or has lost its totals, each ingress gives its even
//! share of the quota instead. Under a ceiling a reserve must hold the units as well, which starts
//! empty, so that restarts give nothing twice. A flood beyond the quota costs no calls: until units
//! can have come in, none are asked for. Known harm: unspent leased tokens of one ingress are
//! missing at another one, and an even share does not follow where requests come in.

use super::counter_call::CounterCall;
use super::lease_window::{TotalReading, MIN_TRIMMED_UNITS};
use super::quota::QuotaDecision;
use super::tenant::{Tenant, WaitingRequest};
use super::{Action, DecisionEngine, Outcome, Plan, Request, RequestId, TenantId};

/// Windows for which a number lives on the counter: it is read in the window after its own, perhaps
/// late.
const NUMBER_LIFETIME_WINDOWS: f64 = 3.0;
/// A lease covers this much demand, s: a few calls' time, so that one in flight delays nobody.
const LEASE_DEMAND: f64 = 0.4;
/// Most of the burst in one lease of one ingress.
const MAX_LEASE_BURST_PART: f64 = 0.5;
/// Under a ceiling, most of the burst that all ingresses together hold in leases, unspent: held
/// units come on top of what the bucket holds.
const MAX_UNSPENT_BURST_PART: f64 = 0.2;
/// Least units of a lease: below that a call gains nothing.
const MIN_LEASE_UNITS: f64 = 1.0;
/// Part of a lease at which the next one is asked for.
const REFILL_AT_PART: f64 = 0.5;
/// After an empty window, no call is made before this part of a mean request has come in.
const MIN_WAIT_REQUESTS: f64 = 0.1;
/// After a failed call, none is made for this long, s.
const WAIT_AFTER_FAILURE: f64 = 0.1;

impl Tenant {
    /// Takes units of this ingress's even share, where the counter is no help; false where it does
    /// not hold them.
    fn take_even_share(&mut self, units: f64, plan: &Plan) -> bool {
        let reserve_holds = !plan.has_ceiling() || self.ceiling_reserve.tokens >= units;
        let fits = self.even_share.tokens >= units && reserve_holds;
        if fits {
            self.even_share.tokens -= units;
            if plan.has_ceiling() {
                self.ceiling_reserve.tokens -= units;
            }
        }
        fits
    }

    /// Under a ceiling, what may be given without the counter comes in with time; what leases may
    /// hold unspent is not part of it.
    fn refill_reserve(&mut self, now: f64, plan: &Plan) {
        let rate = (plan.ceiling_rate - plan.rate).max(0.0) / self.spread;
        let leased = (1.0 + 2.0 * MAX_UNSPENT_BURST_PART) * plan.burst;
        let max = (plan.ceiling_burst - leased).max(0.0) / self.spread;
        self.ceiling_reserve.refill(now, rate, max);
    }

    /// Takes a request's units from what is held here, or lets it wait for a call.
    fn take_local_tokens(
        &mut self,
        request: &Request,
        plan: &Plan,
        without_counter: bool,
    ) -> QuotaDecision {
        let units = request.units;
        if self.local_tokens >= units {
            self.local_tokens -= units;
            return QuotaDecision::Granted;
        }
        if !without_counter {
            self.waiting.push(WaitingRequest {
                id: request.id,
                units,
            });
            return QuotaDecision::AwaitingCounter;
        }
        if self.take_even_share(units, plan) {
            return QuotaDecision::Granted;
        }
        let wait = units / plan.rate;
        QuotaDecision::Exceeded { wait }
    }

    /// The call that is to be made now, if any.
    fn next_lease_call(
        &mut self,
        now: f64,
        plan: &Plan,
        without_counter: bool,
        counter_unavailable: bool,
    ) -> Option<CounterCall> {
        if without_counter {
            // Reads the number, to see whether the counter is back.
            return counter_unavailable.then_some(CounterCall::read(self.window.index));
        }
        if self.window.read_previous {
            return Some(CounterCall::read(self.window.index - 1));
        }
        let amount = self.lease_amount(now, plan)?;
        Some(CounterCall {
            window: self.window.index,
            amount,
        })
    }

    /// Units of a full lease: the demand of a while, one request at the least.
    fn lease_size(&self, plan: &Plan) -> f64 {
        let max_part = if plan.has_ceiling() {
            MAX_UNSPENT_BURST_PART / self.spread
        } else {
            MAX_LEASE_BURST_PART
        };
        let max_lease = max_part * plan.burst;
        (self.demand * LEASE_DEMAND)
            .max(self.mean_units)
            .max(MIN_LEASE_UNITS)
            .min(max_lease.max(self.mean_units))
    }

    /// Units of the lease that is to be asked for now, if any.
    fn lease_amount(&mut self, now: f64, plan: &Plan) -> Option<f64> {
        let lease = self.lease_size(plan);
        let need = self.waiting_units();
        // A lease of one request is not refilled ahead: one at each ingress is most of a small
        // bucket.
        let refilled_ahead = self.demand * LEASE_DEMAND >= self.mean_units;
        let low = refilled_ahead && self.local_tokens < lease * REFILL_AT_PART;
        if need <= 0.0 && !low || now < self.no_units_before {
            return None;
        }
        let available = if self.window.total_known {
            self.available_units(now, plan)
        } else {
            plan.burst
        };
        let amount = (lease + need - self.local_tokens).min(available.max(-self.local_tokens));
        if amount < MIN_LEASE_UNITS {
            let missing = self.mean_units - available;
            let missing = missing.clamp(MIN_WAIT_REQUESTS * self.mean_units, plan.burst);
            self.no_units_before = now + missing / plan.rate;
            return None;
        }
        Some(amount)
    }

    /// Takes the units of waiting requests from what is held here; those that are served. After a
    /// failed call the even share lends what is missing.
    fn serve_waiting(
        &mut self,
        plan: &Plan,
        call_failed: bool,
        totals_lost: bool,
    ) -> Vec<RequestId> {
        let mut served = Vec::new();
        let mut left = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let missing = self.local_tokens < waiting.units;
            let lent = missing && call_failed && self.take_even_share(waiting.units, plan);
            if missing && !lent {
                left.push(waiting);
                continue;
            }
            // What is lent while the counter goes on is counted by the next call.
            if !(lent && totals_lost) {
                self.local_tokens -= waiting.units;
            }
            served.push(waiting.id);
        }
        self.waiting = left;
        served
    }
}

impl DecisionEngine {
    /// Takes a request's units from the tenant's lease, and asks for the next one where it runs
    /// out.
    pub(super) fn take_from_lease(
        &mut self,
        now: f64,
        request: &Request,
        plan: &Plan,
        skip_call: bool,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        let id = request.tenant;
        let no_counter = !self.settings.counter || self.counter.is_unavailable();
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return QuotaDecision::Exceeded { wait: 0.0 };
        };
        tenant.enter_window(now, plan);
        if plan.has_ceiling() {
            tenant.refill_reserve(now, plan);
        }
        let window_start = tenant.window.start(plan);
        let without_counter = no_counter || self.counter.may_have_lost_totals_since(window_start);
        let share_rate = plan.rate / tenant.spread;
        let max_share = plan.burst / tenant.spread;
        tenant.even_share.refill(now, share_rate, max_share);
        let decision = tenant.take_local_tokens(request, plan, without_counter);
        if !skip_call {
            self.refill_lease(now, id, without_counter, actions);
        }
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return decision;
        };
        // No call was worth making: the request does not wait.
        if tenant.call.is_none() && tenant.waiting.pop().is_some() {
            let missing = (request.units - tenant.available_units(now, plan)).max(0.0);
            let wait = missing / plan.rate;
            return QuotaDecision::Exceeded { wait };
        }
        decision
    }

    /// Makes the next call for a lease, unless one is in flight or none is needed.
    fn refill_lease(
        &mut self,
        now: f64,
        id: TenantId,
        without_counter: bool,
        actions: &mut Vec<Action>,
    ) {
        let unavailable = self.counter.is_unavailable();
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        if !self.settings.counter || tenant.call.is_some() {
            return;
        }
        let plan = &self.settings.plans[tenant.plan];
        let lifetime = NUMBER_LIFETIME_WINDOWS * plan.lease_window();
        if let Some(call) = tenant.next_lease_call(now, plan, without_counter, unavailable) {
            actions.push(self.call_counter(now, id, call, lifetime));
        }
    }

    /// A call for a lease has ended without a total.
    pub(super) fn lease_call_failed(
        &mut self,
        now: f64,
        id: TenantId,
        call: CounterCall,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        if call.window == tenant.window.index {
            tenant.record_failed_lease(call, outcome);
        }
        // The answer is lost and the counter is there: the next total tells what was granted, at
        // once as a rule.
        let counter_is_there =
            matches!(outcome, Outcome::Error | Outcome::Reset) && !self.counter.is_unavailable();
        if counter_is_there {
            return self.settle_waiting(now, id, false, actions);
        }
        tenant.no_units_before = now + WAIT_AFTER_FAILURE;
        self.settle_waiting(now, id, true, actions);
    }

    /// The total of a call for a lease has come.
    pub(super) fn lease_answered(
        &mut self,
        now: f64,
        id: TenantId,
        call: CounterCall,
        total: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        let plan = &self.settings.plans[tenant.plan];
        let lifetime = NUMBER_LIFETIME_WINDOWS * plan.lease_window();
        if call.window == tenant.window.index - 1 {
            tenant.read_previous_total(total, plan);
        } else if call.window == tenant.window.index {
            match tenant.read_total(now, plan, call.amount, total) {
                TotalReading::TotalsLost => {
                    self.counter.record_lost_totals(now);
                    return self.settle_waiting(now, id, true, actions);
                }
                TotalReading::Applied { excess } if excess >= MIN_TRIMMED_UNITS => {
                    tenant.window.total -= excess;
                    let trim = CounterCall {
                        window: call.window,
                        amount: -excess,
                    };
                    actions.push(self.call_counter(now, id, trim, lifetime));
                }
                TotalReading::Applied { .. } => {}
            }
        }
        self.settle_waiting(now, id, false, actions);
    }

    /// A total that came too late for its call, which had been counted as uncertain: its units were
    /// added.
    pub(super) fn counter_answered_late(
        &mut self,
        now: f64,
        name: u64,
        amount: f64,
        total: f64,
        actions: &mut Vec<Action>,
    ) {
        let Some(&awaited) = self.awaited_calls.get(&name) else {
            return;
        };
        let Some(tenant) = self.tenants.get_mut(&awaited.tenant) else {
            return;
        };
        if tenant.has_shared_bucket || tenant.window.index != awaited.window {
            return;
        }
        let window = &mut tenant.window;
        window.ungranted += amount;
        window.uncertain = (window.uncertain - amount.max(0.0)).max(0.0);
        if tenant.call.is_none() {
            // As if the number had been read now.
            tenant.call = Some(CounterCall::read(awaited.window));
            let answer = super::quota::CounterAnswer {
                name,
                outcome: Outcome::Ok,
                total,
            };
            self.counter_answered(now, &answer, actions);
        }
    }

    /// Answers the requests that wait for a lease, as far as local tokens or, after a failed call,
    /// the even share last.
    fn settle_waiting(
        &mut self,
        now: f64,
        id: TenantId,
        call_failed: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        let plan = &self.settings.plans[tenant.plan];
        let window_start = tenant.window.start(plan);
        let totals_lost = self.counter.may_have_lost_totals_since(window_start);
        let served = tenant.serve_waiting(plan, call_failed, totals_lost);
        if !call_failed {
            self.refill_lease(now, id, totals_lost, actions);
        }
        for request in served {
            self.admit(now, request, actions);
        }
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        // A call that only trims brings nothing for those that wait.
        let nothing_comes = tenant.call.is_none_or(|call| call.amount < 0.0);
        if call_failed || nothing_comes {
            for waiting in std::mem::take(&mut tenant.waiting) {
                self.answer_without_success(waiting.id, actions);
            }
        }
    }
}
