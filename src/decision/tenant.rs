//! What this ingress knows of each tenant's quota, and for how long tenants are remembered.
//!
//! **Rule.** A tenant is met with its first request. One is forgotten when it has been idle for so
//! long that a new one would be given the same; where there are more than [`MAX_TENANTS`], the
//! quarter that has been idle longest goes first, and a new tenant that still finds no place is
//! rejected.
//!
//! **Inputs.** Requests with their units; idle times in seconds.
//!
//! **Guards.** A flood of new tenant ids must not exhaust memory. A tenant that is met again after
//! it was forgotten, or after a restart of this ingress, must not find its quota full: it may have
//! been used elsewhere or a moment ago, so that the last window's total is read first, and a
//! ceiling's reserve starts empty. Known harm: in the first windows after a start tenants are given
//! less than their quota holds.

use super::counter_call::CounterCall;
use super::lease_window::LeaseWindow;
use super::{DecisionEngine, Plan, Request, RequestId};

/// Most tenants that are remembered: bounds the memory that a flood of new ids takes.
const MAX_TENANTS: usize = 20_000;
/// Windows after its start for which an ingress reads the last total of each tenant that it meets.
const YOUNG_WINDOWS: f64 = 2.0;
/// Windows after which an idle tenant is like a new one.
const IDLE_WINDOWS: f64 = 3.0;
/// Part of the burst that may be used before the last total is read.
const UNREAD_BURST_PART: f64 = 0.5;
/// Below so many mean requests in an ingress's part of the burst, a tenant's bucket is shared on
/// the counter: a lease of one request at each ingress would be most of it.
const SMALL_QUOTA_REQUESTS: f64 = 0.7;
/// Time constant of the demand, s: a few leases, so that they follow a rising demand.
const DEMAND_MEMORY: f64 = 1.5;
/// Weight of a request in the mean units: about twenty requests of memory.
const MEAN_UNITS_WEIGHT: f64 = 0.05;
/// Least rate, units a second, that the filling time of a ceiling's reserve is computed from.
const MIN_RESERVE_RATE: f64 = 1e-3;

/// A request that waits for the counter.
pub(super) struct WaitingRequest {
    pub(super) id: RequestId,
    /// What is asked for it, units.
    pub(super) units: f64,
}

/// An allowance that comes in evenly.
#[derive(Default)]
pub(super) struct Allowance {
    /// Units there at `updated_at`.
    pub(super) tokens: f64,
    /// s.
    pub(super) updated_at: f64,
}

impl Allowance {
    /// Adds what has come in until `now` (s) at `rate` units a second, up to `max` units.
    pub(super) fn refill(&mut self, now: f64, rate: f64, max: f64) {
        self.tokens = (self.tokens + rate * (now - self.updated_at)).min(max);
        self.updated_at = now;
    }
}

/// A tenant's quota as this ingress sees it.
pub(super) struct Tenant {
    pub(super) plan: usize,
    /// How many ingresses its requests come through.
    pub(super) spread: f64,
    /// Its token bucket is shared on the counter (see [`super::shared_token_bucket`]).
    pub(super) has_shared_bucket: bool,
    /// Requests that wait for the counter, oldest first.
    pub(super) waiting: Vec<WaitingRequest>,
    /// With a shared bucket: how many of these the call in flight is for.
    pub(super) waiting_in_call: usize,
    pub(super) call: Option<CounterCall>,
    /// When the last call was made, s.
    pub(super) called_at: f64,
    /// With a lease: units granted and not spent; below 0: spent ahead, settled by the next call.
    /// With a shared bucket: units that the next call gives back, or below 0 takes in addition.
    pub(super) local_tokens: f64,
    pub(super) window: LeaseWindow,
    /// With a lease: no call is made before this time, s; local tokens are still granted. With a
    /// shared bucket: requests are rejected before it, since the bucket cannot hold units yet.
    pub(super) no_units_before: f64,
    /// Units a second that are asked for, over the last seconds.
    pub(super) demand: f64,
    /// Mean units of a request.
    pub(super) mean_units: f64,
    /// s.
    pub(super) last_request_at: f64,
    /// This ingress's even share of the quota, for when the counter is no help.
    pub(super) even_share: Allowance,
    /// Under a ceiling: what this ingress may give of it without the counter.
    pub(super) ceiling_reserve: Allowance,
    pub(super) attempts_in_flight: u32,
}

impl Tenant {
    fn new(now: f64, request: &Request, plan: &Plan, spread: f64) -> Tenant {
        Tenant {
            plan: request.plan,
            spread,
            has_shared_bucket: false,
            waiting: Vec::new(),
            waiting_in_call: 0,
            call: None,
            called_at: 0.0,
            local_tokens: 0.0,
            window: LeaseWindow::never_used(plan.burst),
            no_units_before: 0.0,
            demand: 0.0,
            mean_units: request.units,
            last_request_at: 0.0,
            even_share: Allowance {
                tokens: plan.burst / spread,
                updated_at: now,
            },
            ceiling_reserve: Allowance::default(),
            attempts_in_flight: 0,
        }
    }

    /// Takes a request of so many units into demand and mean.
    pub(super) fn record_demand(&mut self, now: f64, units: f64) {
        let keep = (-(now - self.last_request_at) / DEMAND_MEMORY).exp();
        self.demand = self.demand * keep + units / DEMAND_MEMORY;
        self.mean_units += MEAN_UNITS_WEIGHT * (units - self.mean_units);
        self.last_request_at = now;
    }

    /// A request no longer waits for the counter; what the call in flight brings for it is left for
    /// others.
    pub(super) fn stop_waiting(&mut self, id: RequestId) {
        let position = self.waiting.iter().position(|waiting| waiting.id == id);
        if let Some(position) = position {
            self.waiting.remove(position);
            self.waiting_in_call -= usize::from(position < self.waiting_in_call);
        }
    }

    /// Units that are asked for the waiting requests.
    pub(super) fn waiting_units(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.units).sum()
    }

    /// Whether something of it is in flight or owed, so that it must not be forgotten.
    fn is_busy(&self) -> bool {
        self.attempts_in_flight > 0 || self.call.is_some() || self.local_tokens < 0.0
    }
}

impl DecisionEngine {
    /// Makes sure that a request's tenant is remembered; false where there is no place for it.
    pub(super) fn remember_tenant(&mut self, now: f64, request: &Request, plan: &Plan) -> bool {
        if self.tenants.contains_key(&request.tenant) {
            return true;
        }
        if self.tenants.len() >= MAX_TENANTS {
            self.forget_longest_idle_tenants(now);
            if self.tenants.len() >= MAX_TENANTS {
                return false;
            }
        }
        let tenant = self.new_tenant(now, request, plan);
        self.tenants.insert(request.tenant, tenant);
        true
    }

    fn new_tenant(&self, now: f64, request: &Request, plan: &Plan) -> Tenant {
        let spread = f64::from(request.ingress_count.clamp(1, self.settings.ingresses));
        let mut tenant = Tenant::new(now, request, plan, spread);
        tenant.has_shared_bucket = self.has_small_quota(plan, spread);
        tenant.ceiling_reserve.updated_at = self.tenants_known_since;
        // An ingress that has just started may have served it a moment ago: the last total is read.
        let age = now - self.tenants_known_since;
        if plan.rate > 0.0 && age < YOUNG_WINDOWS * plan.lease_window() {
            tenant.window =
                LeaseWindow::before(now, plan.lease_window(), UNREAD_BURST_PART * plan.burst);
        }
        tenant
    }

    /// Whether leases would strand the quota, so that its token bucket is shared on the counter.
    fn has_small_quota(&self, plan: &Plan, spread: f64) -> bool {
        let max_units = self.settings.max_units.max(1.0);
        let small_burst = SMALL_QUOTA_REQUESTS * spread * (1.0 + max_units) / 2.0;
        self.settings.counter && plan.ceiling_rate <= 0.0 && plan.burst < small_burst
    }

    /// Forgets tenants of whom nothing is known that a new one would not be given: bucket and
    /// reserve are full.
    pub(super) fn forget_idle_tenants(&mut self, now: f64) {
        let plans = &self.settings.plans;
        self.tenants.retain(|_, tenant| {
            let plan = &plans[tenant.plan];
            let reserve_rate = (plan.ceiling_rate - plan.rate).max(MIN_RESERVE_RATE);
            let reserve_full_after = (plan.ceiling_burst - plan.burst) / reserve_rate;
            let window = if plan.rate > 0.0 {
                plan.lease_window()
            } else {
                0.0
            };
            let forget_after = (IDLE_WINDOWS * window).max(reserve_full_after);
            tenant.is_busy() || now - tenant.last_request_at <= forget_after
        });
    }

    /// Forgets the quarter of the tenants that has been idle longest.
    fn forget_longest_idle_tenants(&mut self, now: f64) {
        let mut last_requests: Vec<f64> = self
            .tenants
            .values()
            .map(|tenant| tenant.last_request_at)
            .collect();
        last_requests.sort_unstable_by(f64::total_cmp);
        let cut = last_requests[last_requests.len() / 4];
        self.tenants
            .retain(|_, tenant| tenant.last_request_at > cut || tenant.attempts_in_flight > 0);
        // A tenant that is met again must not find its ceiling's reserve full.
        self.tenants_known_since = now;
    }
}
