//! Quota leases: units that this ingress reserves on the counter in advance and grants locally.
//!
//! **Rule.** One counter call takes a lease of [`LEASE_DEMAND`] seconds of demand from the tenant's
//! current window (see [`super::lease_window`]). The next call is made when half of the lease is
//! used; a lease of a single request is not refilled in advance. At most one call is in flight.
//! Requests that exceed the local tokens wait for it.
//!
//! **Inputs.** Units; demand in units a second; answers of the counter; times in seconds.
//!
//! **Guards.** If the counter is unavailable or has lost its totals, each ingress grants its even
//! share of the quota instead. If the plan has a ceiling (a rate that is never exceeded), a local
//! token bucket, the reserve, must also cover the units; the reserve starts empty so that restarts
//! do not grant units twice. Demand beyond the quota causes no calls: none is made before units can
//! be available. Known harm: unused leased tokens of one ingress are not available to the others,
//! and an even share does not follow the distribution of requests over ingresses.

use super::counter_call::CounterCall;
use super::lease_window::{TotalUpdate, MIN_TRIMMED_UNITS};
use super::quota::QuotaDecision;
use super::rejection_counts::RejectionCause;
use super::tenant::{Tenant, WaitingRequest};
use super::{Action, DecisionEngine, Outcome, Plan, Request, RequestId, TenantId};

/// Lifetime of a total on the counter, in windows: it is read in the window after its own, possibly
/// late.
const TOTAL_LIFETIME_WINDOWS: f64 = 3.0;
/// Demand that a lease covers, s: the time of a few calls, so that a call in flight delays no
/// request.
const LEASE_DEMAND: f64 = 0.4;
/// Largest fraction of the burst in one lease of one ingress.
const MAX_LEASE_BURST_FRACTION: f64 = 0.5;
/// Under a ceiling, the largest fraction of the burst that all ingresses together hold in unused
/// leases: these units add to those in the bucket.
const MAX_UNUSED_BURST_FRACTION: f64 = 0.2;
/// Fewest units of a lease: a smaller one does not justify a call.
const MIN_LEASE_UNITS: f64 = 1.0;
/// Fraction of a lease below which the next one is requested.
const REFILL_BELOW_FRACTION: f64 = 0.5;
/// After an exhausted window, the shortest wait before the next call, as the fraction of a mean
/// request that must become available.
const MIN_WAIT_REQUESTS: f64 = 0.1;
/// Time without calls after a failed call, s.
const WAIT_AFTER_FAILURE: f64 = 0.1;

impl Tenant {
    /// Takes units from this ingress's even share when the counter cannot be used. Returns whether
    /// the share covers them.
    fn take_even_share(&mut self, units: f64, plan: &Plan) -> bool {
        let reserve_covers = !plan.has_ceiling() || self.ceiling_reserve.tokens >= units;
        let covered = self.even_share.tokens >= units && reserve_covers;
        if covered {
            self.even_share.tokens -= units;
            if plan.has_ceiling() {
                self.ceiling_reserve.tokens -= units;
            }
        }
        covered
    }

    /// Under a ceiling, refills the units that may be granted without the counter. They exclude the
    /// units that leases may hold unused.
    fn refill_reserve(&mut self, now: f64, plan: &Plan) {
        let rate = (plan.ceiling_rate - plan.rate).max(0.0) / self.ingress_count;
        let leased = (1.0 + 2.0 * MAX_UNUSED_BURST_FRACTION) * plan.burst;
        let max = (plan.ceiling_burst - leased).max(0.0) / self.ingress_count;
        self.ceiling_reserve.refill(now, rate, max);
    }

    /// Takes a request's units from the local tokens, or lets the request wait for a call.
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

    /// Returns the call that must be made now, if any.
    fn next_lease_call(
        &mut self,
        now: f64,
        plan: &Plan,
        without_counter: bool,
        counter_unavailable: bool,
    ) -> Option<CounterCall> {
        if without_counter {
            // Only reads the total, to detect whether the counter has recovered.
            return counter_unavailable.then_some(CounterCall::read(self.window.index));
        }
        if self.window.must_read_previous {
            return Some(CounterCall::read(self.window.index - 1));
        }
        let amount = self.lease_amount(now, plan)?;
        Some(CounterCall {
            window: self.window.index,
            amount,
        })
    }

    /// Returns the units of a full lease: [`LEASE_DEMAND`] seconds of demand, at least one request.
    fn lease_size(&self, plan: &Plan) -> f64 {
        let max_fraction = if plan.has_ceiling() {
            MAX_UNUSED_BURST_FRACTION / self.ingress_count
        } else {
            MAX_LEASE_BURST_FRACTION
        };
        let max_lease = max_fraction * plan.burst;
        (self.demand * LEASE_DEMAND)
            .max(self.mean_units)
            .max(MIN_LEASE_UNITS)
            .min(max_lease.max(self.mean_units))
    }

    /// Returns the units of the lease to request now, if any.
    fn lease_amount(&mut self, now: f64, plan: &Plan) -> Option<f64> {
        let lease = self.lease_size(plan);
        let need = self.waiting_units();
        // A lease of one request is not refilled in advance: one unused request at each ingress
        // would be most of a small bucket.
        let refilled_ahead = self.demand * LEASE_DEMAND >= self.mean_units;
        let low = refilled_ahead && self.local_tokens < lease * REFILL_BELOW_FRACTION;
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

    /// Takes the units of waiting requests from the local tokens, and returns the requests that
    /// were served. After a failed call the even share covers the remaining ones as far as it can.
    fn serve_waiting(
        &mut self,
        plan: &Plan,
        call_failed: bool,
        totals_lost: bool,
    ) -> Vec<RequestId> {
        let mut served = Vec::new();
        let mut still_waiting = Vec::new();
        for waiting in std::mem::take(&mut self.waiting) {
            let missing = self.local_tokens < waiting.units;
            let from_even_share =
                missing && call_failed && self.take_even_share(waiting.units, plan);
            if missing && !from_even_share {
                still_waiting.push(waiting);
                continue;
            }
            // Units of the even share are counted by the next call, unless the counter has lost its
            // totals.
            if !(from_even_share && totals_lost) {
                self.local_tokens -= waiting.units;
            }
            served.push(waiting.id);
        }
        self.waiting = still_waiting;
        served
    }
}

impl DecisionEngine {
    /// Takes a request's units from the tenant's lease, and requests the next lease when it runs
    /// low.
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
        let share_rate = plan.rate / tenant.ingress_count;
        let max_share = plan.burst / tenant.ingress_count;
        tenant.even_share.refill(now, share_rate, max_share);
        let decision = tenant.take_local_tokens(request, plan, without_counter);
        if !skip_call {
            self.refill_lease(now, id, without_counter, actions);
        }
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return decision;
        };
        // No call was worthwhile: the request is rejected without waiting.
        if tenant.call.is_none() && tenant.waiting.pop().is_some() {
            let missing = (request.units - tenant.available_units(now, plan)).max(0.0);
            let wait = missing / plan.rate;
            return QuotaDecision::Exceeded { wait };
        }
        decision
    }

    /// Starts the next call for a lease, unless one is in flight or none is needed.
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
        let lifetime = TOTAL_LIFETIME_WINDOWS * plan.lease_window();
        if let Some(call) = tenant.next_lease_call(now, plan, without_counter, unavailable) {
            actions.push(self.call_counter(now, id, call, lifetime));
        }
    }

    /// Handles a call for a lease that has ended without a total.
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
        // The counter is available and only its answer is lost: the next total, usually read
        // immediately, shows what was granted.
        let counter_responds =
            matches!(outcome, Outcome::Error | Outcome::Reset) && !self.counter.is_unavailable();
        if counter_responds {
            return self.settle_waiting(now, id, false, actions);
        }
        tenant.no_units_before = now + WAIT_AFTER_FAILURE;
        self.settle_waiting(now, id, true, actions);
    }

    /// Handles the total of a call for a lease.
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
        let lifetime = TOTAL_LIFETIME_WINDOWS * plan.lease_window();
        if call.window == tenant.window.index - 1 {
            tenant.apply_previous_total(total, plan);
        } else if call.window == tenant.window.index {
            match tenant.apply_total(now, plan, call.amount, total) {
                TotalUpdate::TotalsLost => {
                    self.counter.record_lost_totals(now);
                    return self.settle_waiting(now, id, true, actions);
                }
                TotalUpdate::Applied { excess } if excess >= MIN_TRIMMED_UNITS => {
                    tenant.window.total -= excess;
                    let trim = CounterCall {
                        window: call.window,
                        amount: -excess,
                    };
                    actions.push(self.call_counter(now, id, trim, lifetime));
                }
                TotalUpdate::Applied { .. } => {}
            }
        }
        self.settle_waiting(now, id, false, actions);
    }

    /// Handles a total that arrived after its call had timed out. The call was counted as
    /// uncertain; the total shows that its units were added.
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
            // Handle the total as the answer of a read that is made now.
            tenant.call = Some(CounterCall::read(awaited.window));
            let answer = super::quota::CounterAnswer {
                name,
                outcome: Outcome::Ok,
                total,
            };
            self.counter_answered(now, &answer, actions);
        }
    }

    /// Answers the requests that wait for a lease, as far as the local tokens or, after a failed
    /// call, the even share suffice.
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
        // A call that only trims grants nothing to the waiting requests.
        let no_units_expected = tenant.call.is_none_or(|call| call.amount < 0.0);
        if call_failed || no_units_expected {
            for waiting in std::mem::take(&mut tenant.waiting) {
                self.answer_without_success(waiting.id, RejectionCause::NoLease, actions);
            }
        }
    }
}
