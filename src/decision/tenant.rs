//! State of each tenant's quota at this ingress, and how long tenants are remembered.
//!
//! **Rule.** A tenant is added with its first request. It is evicted after it has been idle for so
//! long that a new tenant would have the same state. At [`MAX_TENANTS`], the quarter that has been
//! idle longest is evicted first; if there is still no room, a new tenant is rejected.
//!
//! **Inputs.** Requests with their units; idle times in seconds.
//!
//! **Guards.** A flood of new tenant ids must not exhaust memory. A tenant that returns after an
//! eviction, or after a restart of this ingress, must not start with a full quota, because it may
//! have used the quota at another ingress or shortly before: the total of the last window is read
//! first, and the reserve of a ceiling starts empty. Known harm: in the first windows after a start
//! tenants are granted less than their quota.

use super::counter_call::CounterCall;
use super::lease_window::LeaseWindow;
use super::{DecisionEngine, Plan, Request, RequestId};

/// Largest number of remembered tenants: limits the memory used by a flood of new ids.
const MAX_TENANTS: usize = 20_000;
/// Windows after the start of an ingress during which it reads the last total of each new tenant.
const STARTUP_WINDOWS: f64 = 2.0;
/// Windows after which an idle tenant is equivalent to a new one.
const IDLE_WINDOWS: f64 = 3.0;
/// Fraction of the burst that an unread window before a tenant's first is assumed to have carried
/// over and used.
const ASSUMED_CARRY_OVER_FRACTION: f64 = 0.5;
/// A tenant's bucket is shared on the counter if an ingress's share of the burst is less than this
/// many mean requests: leases of one request at each ingress would be most of it.
const SMALL_QUOTA_REQUESTS: f64 = 0.7;
/// Time constant of the demand, s: a few leases, so that leases follow a rising demand.
const DEMAND_TIME_CONSTANT: f64 = 1.5;
/// Weight of a request in the mean units: a memory of about twenty requests.
const MEAN_UNITS_WEIGHT: f64 = 0.05;
/// Lower bound of the rate, units a second, in the time to fill a ceiling's reserve.
const MIN_RESERVE_RATE: f64 = 1e-3;

/// A request that waits for the counter.
pub(super) struct WaitingRequest {
    pub(super) id: RequestId,
    /// Units to request for it from the counter.
    pub(super) units: f64,
}

/// A token bucket that refills at a constant rate.
#[derive(Default)]
pub(super) struct Allowance {
    /// Units at `updated_at`.
    pub(super) tokens: f64,
    /// Time of the last refill, s.
    pub(super) updated_at: f64,
}

impl Allowance {
    /// Adds the units that have accrued until `now` (s) at `rate` units a second, up to `max`
    /// units.
    pub(super) fn refill(&mut self, now: f64, rate: f64, max: f64) {
        self.tokens = (self.tokens + rate * (now - self.updated_at)).min(max);
        self.updated_at = now;
    }
}

/// State of a tenant's quota at this ingress.
pub(super) struct Tenant {
    pub(super) plan: usize,
    /// Number of ingresses that the tenant's requests arrive through.
    pub(super) ingress_count: f64,
    /// Whether the tenant's token bucket is shared on the counter (see
    /// [`super::shared_token_bucket`]).
    pub(super) has_shared_bucket: bool,
    /// Requests that wait for the counter, oldest first.
    pub(super) waiting: Vec<WaitingRequest>,
    /// With a shared bucket: number of waiting requests, from the oldest, covered by the call in
    /// flight.
    pub(super) waiting_in_call: usize,
    pub(super) call: Option<CounterCall>,
    /// When the last call was made, s.
    pub(super) called_at: f64,
    /// With a lease: units granted and not used; a negative value was used in advance and is
    /// settled by the next call. With a shared bucket: units that the next call returns, or takes
    /// in addition if negative.
    pub(super) local_tokens: f64,
    pub(super) window: LeaseWindow,
    /// With a lease: no call is made before this time, s; local tokens are still granted. With a
    /// shared bucket: requests are rejected before this time because the bucket cannot hold enough
    /// units yet.
    pub(super) no_units_before: f64,
    /// Requested units a second, averaged over the last seconds.
    pub(super) demand: f64,
    /// Mean units of a request.
    pub(super) mean_units: f64,
    /// Time of the last request, s.
    pub(super) last_request_at: f64,
    /// Even share of the quota for this ingress, used when the counter cannot be used.
    pub(super) even_share: Allowance,
    /// If the plan has a ceiling: units of it that this ingress may grant without the counter.
    pub(super) ceiling_reserve: Allowance,
    pub(super) attempts_in_flight: u32,
}

impl Tenant {
    fn new(now: f64, request: &Request, plan: &Plan, ingress_count: f64) -> Tenant {
        Tenant {
            plan: request.plan,
            ingress_count,
            has_shared_bucket: false,
            waiting: Vec::new(),
            waiting_in_call: 0,
            call: None,
            called_at: 0.0,
            local_tokens: 0.0,
            window: LeaseWindow::unused(plan.burst),
            no_units_before: 0.0,
            demand: 0.0,
            mean_units: request.units,
            last_request_at: 0.0,
            even_share: Allowance {
                tokens: plan.burst / ingress_count,
                updated_at: now,
            },
            ceiling_reserve: Allowance::default(),
            attempts_in_flight: 0,
        }
    }

    /// Adds a request of `units` to the demand and to the mean.
    pub(super) fn record_demand(&mut self, now: f64, units: f64) {
        let decay = (-(now - self.last_request_at) / DEMAND_TIME_CONSTANT).exp();
        self.demand = self.demand * decay + units / DEMAND_TIME_CONSTANT;
        self.mean_units += MEAN_UNITS_WEIGHT * (units - self.mean_units);
        self.last_request_at = now;
    }

    /// Removes a request that no longer waits for the counter. Units that the call in flight
    /// obtains for it remain available to other requests.
    pub(super) fn stop_waiting(&mut self, id: RequestId) {
        let position = self.waiting.iter().position(|waiting| waiting.id == id);
        if let Some(position) = position {
            self.waiting.remove(position);
            self.waiting_in_call -= usize::from(position < self.waiting_in_call);
        }
    }

    /// Returns the units to request for the waiting requests.
    pub(super) fn waiting_units(&self) -> f64 {
        self.waiting.iter().map(|waiting| waiting.units).sum()
    }

    /// Returns whether the tenant has attempts, a call or unsettled units, so that it must not be
    /// evicted.
    fn is_busy(&self) -> bool {
        self.attempts_in_flight > 0 || self.call.is_some() || self.local_tokens < 0.0
    }
}

impl DecisionEngine {
    /// Adds the tenant of a request if it is not remembered. Returns false if there is no room for
    /// it.
    pub(super) fn ensure_tenant(&mut self, now: f64, request: &Request, plan: &Plan) -> bool {
        if self.tenants.contains_key(&request.tenant) {
            return true;
        }
        if self.tenants.len() >= MAX_TENANTS {
            self.evict_longest_idle_tenants(now);
            if self.tenants.len() >= MAX_TENANTS {
                return false;
            }
        }
        let tenant = self.new_tenant(now, request, plan);
        self.tenants.insert(request.tenant, tenant);
        true
    }

    fn new_tenant(&self, now: f64, request: &Request, plan: &Plan) -> Tenant {
        let ingress_count = f64::from(request.ingress_count.clamp(1, self.settings.ingresses));
        let mut tenant = Tenant::new(now, request, plan, ingress_count);
        tenant.has_shared_bucket = self.has_small_quota(plan, ingress_count);
        tenant.ceiling_reserve.updated_at = self.tenants_tracked_since;
        // An ingress that has just started may have served the tenant shortly before: its last
        // total is read.
        let age = now - self.tenants_tracked_since;
        if plan.rate > 0.0 && age < STARTUP_WINDOWS * plan.lease_window() {
            tenant.window = LeaseWindow::assumed_previous(
                now,
                plan.lease_window(),
                ASSUMED_CARRY_OVER_FRACTION * plan.burst,
            );
        }
        tenant
    }

    /// Returns whether leases would leave unusable remainders of the quota, so that its token
    /// bucket is shared on the counter.
    fn has_small_quota(&self, plan: &Plan, ingress_count: f64) -> bool {
        let max_units = self.settings.max_units.max(1.0);
        let small_burst = SMALL_QUOTA_REQUESTS * ingress_count * (1.0 + max_units) / 2.0;
        self.settings.counter && plan.ceiling_rate <= 0.0 && plan.burst < small_burst
    }

    /// Evicts idle tenants whose bucket and reserve are full, as those of a new tenant would be.
    pub(super) fn evict_idle_tenants(&mut self, now: f64) {
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
            let evict_after = (IDLE_WINDOWS * window).max(reserve_full_after);
            tenant.is_busy() || now - tenant.last_request_at <= evict_after
        });
    }

    /// Evicts the quarter of the tenants that has been idle longest.
    fn evict_longest_idle_tenants(&mut self, now: f64) {
        let mut last_requests: Vec<f64> = self
            .tenants
            .values()
            .map(|tenant| tenant.last_request_at)
            .collect();
        last_requests.sort_unstable_by(f64::total_cmp);
        let cutoff = last_requests[last_requests.len() / 4];
        self.tenants
            .retain(|_, tenant| tenant.last_request_at > cutoff || tenant.attempts_in_flight > 0);
        // An evicted tenant that returns must not start with a full ceiling reserve.
        self.tenants_tracked_since = now;
    }
}
