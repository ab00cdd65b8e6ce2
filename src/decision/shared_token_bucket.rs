//! The shared token bucket of a tenant with a small quota: a total on the counter holds its state.
//!
//! **Rule.** If an ingress's share of a burst is smaller than a request, leases and even shares
//! would divide the quota into portions that no request can use. Each request is then checked at
//! the counter on its own: one call takes its units, and the total shows whether the bucket held
//! them. The bucket's deficit is the units taken since the epoch of the total began, minus the rate
//! times the age of the epoch. Units that the bucket did not hold are returned with the next call.
//! Each epoch has its own total on the counter; the first ingress that calls in a new epoch carries
//! over the deficit of the previous one.
//!
//! **Inputs.** Units; totals; rate in units a second; ages in seconds; congestion of the counter
//! (the fraction of calls to skip, see [`super::counter_health`]).
//!
//! **Congestion.** The fraction of the requests that the counter's congestion gives is not checked,
//! but admitted with the acceptance ratio of checked requests of the same plan, reduced by the cost
//! of requests beyond the quota. While the counter is unavailable, an unchecked request is admitted
//! with a probability that depends on this ingress's even share of the quota: the unused units of
//! the share divided by the units of the request.
//!
//! **Guards.**
//! - A full bucket cannot take in more units: the ingress that detects such a surplus removes it.
//!   If another ingress has just made the same correction, this ingress reverses its own.
//! - Each rejected request costs a call, and a tenant far beyond its quota causes many: after a
//!   rejection, no request of the tenant is checked until the bucket can hold units again, and
//!   then only a fraction of them.
//! - If all ingresses moved to new totals at once, they would congest the counter: epochs begin at
//!   a different time for each tenant.
//!
//! Known harm: one call for each request, a further one for each rejected request, and the latency
//! of the call.

use super::admission::MIN_QUOTA_RETRY_AFTER;
use super::counter_call::CounterCall;
use super::quota::QuotaDecision;
use super::rejection_counts::RejectionCause;
use super::stable_hash;
use super::tenant::{Tenant, WaitingRequest};
use super::{Action, DecisionEngine, Plan, Request, TenantId};

/// Length of an epoch, s: a total must exist for its own epoch and the next, within the longest
/// lifetime of a total on the counter.
const EPOCH_LENGTH: f64 = 25.0;
/// Lifetime of a total on the counter, s: its own epoch and the next, in which it is carried over.
const TOTAL_LIFETIME: f64 = 2.2 * EPOCH_LENGTH;
/// Lifetime of a total that is only read, s.
const READ_TOTAL_LIFETIME: f64 = EPOCH_LENGTH;
/// Hash index for the offset of a tenant's epochs.
const PHASE_INDEX: i64 = 0;
/// Surplus of the bucket, in bursts, from which it is corrected: smaller errors do not justify a
/// call.
const OVERFULL_BURSTS: f64 = 0.25;
/// Smallest correction, units, that justifies a call of its own.
const MIN_CORRECTION: f64 = 0.5;
/// Largest difference, units, between a total and the amount of its call that identifies the first
/// call of an epoch.
const FIRST_CALL_PRECISION: f64 = 0.01;
/// Size of the even share's bucket while the counter is unavailable, in bursts.
const MAX_SHARE_BURSTS: f64 = 3.0;
/// Lower bound of units in a probability: keeps the division finite.
const MIN_PROBABILITY_UNITS: f64 = 1e-9;
/// Time after a rejection, s, during which only a fraction of the requests is checked, since
/// further requests are likely to be rejected as well.
const RECENT_REJECTION_PERIOD: f64 = 3.0;
/// Fraction of the requests that is checked during [`RECENT_REJECTION_PERIOD`].
const CHECKED_FRACTION_AFTER_REJECTION: f64 = 0.3;

/// Initial acceptance ratio: most requests are within their quota.
const START_ACCEPTANCE: f64 = 0.9;
/// Initial weight: the initial acceptance ratio counts as much as two answers.
const START_ACCEPTANCE_WEIGHT: f64 = 0.5;
/// Smallest weight of an answer in an acceptance ratio: one of many ingresses gets few answers.
const MIN_ACCEPTANCE_WEIGHT: f64 = 0.03;

/// Share of the checked requests of one plan that were accepted; decides about unchecked ones.
pub(super) struct AcceptanceRatio {
    ratio: f64,
    /// Weight of the latest answer. It decreases so that the ratio is a mean at first and a moving
    /// average later.
    weight: f64,
}

impl AcceptanceRatio {
    pub(super) fn new() -> AcceptanceRatio {
        AcceptanceRatio {
            ratio: START_ACCEPTANCE,
            weight: START_ACCEPTANCE_WEIGHT,
        }
    }

    fn record(&mut self, accepted: usize, rejected: usize) {
        if accepted + rejected == 0 {
            return;
        }
        let accepted_fraction = accepted as f64 / (accepted + rejected) as f64;
        self.weight = (self.weight / (1.0 + self.weight)).max(MIN_ACCEPTANCE_WEIGHT);
        self.ratio += self.weight * (accepted_fraction - self.ratio);
    }
}

/// The epoch of a tenant's total.
struct BucketEpoch {
    index: i64,
    /// Time since the epoch began, s.
    age: f64,
}

impl BucketEpoch {
    fn at(now: f64, id: TenantId) -> BucketEpoch {
        let epochs = now / EPOCH_LENGTH + stable_hash::fraction(id, PHASE_INDEX);
        BucketEpoch {
            index: epochs.floor() as i64,
            age: (epochs - epochs.floor()) * EPOCH_LENGTH,
        }
    }

    /// Returns the time since the epoch with this index began, s.
    fn age_of(&self, index: i64) -> f64 {
        self.age + EPOCH_LENGTH * (self.index - index) as f64
    }
}

/// How requests that are not checked at the counter are decided.
#[derive(Clone, Copy)]
enum UncheckedRule {
    /// With the ratio, 0 to 1, at which checked requests of the same plan were accepted.
    AcceptanceRatio(f64),
    /// By the even share of this ingress, while the counter is unavailable.
    EvenShare,
}

impl Tenant {
    /// Returns the probability with which a request of `units` is admitted unchecked.
    fn unchecked_probability(
        &mut self,
        now: f64,
        units: f64,
        plan: &Plan,
        rule: UncheckedRule,
    ) -> f64 {
        if let UncheckedRule::AcceptanceRatio(ratio) = rule {
            return (ratio - plan.excess_cost_share * (1.0 - ratio)).max(0.0);
        }
        let rate = plan.rate / self.ingress_count;
        let max = MAX_SHARE_BURSTS * plan.burst / self.ingress_count;
        self.even_share.refill(now, rate, max);
        let share = self.even_share.tokens;
        self.even_share.tokens = (share - units).max(0.0);
        share / units.max(MIN_PROBABILITY_UNITS)
    }

    /// Takes a request's units if a bucket with this deficit holds them. Otherwise the units are
    /// returned with the next call. Returns whether they were taken.
    fn try_take(&mut self, now: f64, units: f64, deficit: &mut f64, plan: &Plan) -> bool {
        let excess = deficit.max(0.0) + units.min(self.mean_units) - plan.burst;
        if excess > 0.0 {
            // The missing units accrue in this time, also if other requests arrive meanwhile.
            self.no_units_before = now + excess / plan.rate;
            self.local_tokens += units;
            return false;
        }
        *deficit = deficit.max(0.0) + units;
        true
    }

    /// Adds corrections of the bucket to the next call. `correction` is the part of the call's
    /// amount that was not for requests.
    fn correct_bucket(
        &mut self,
        deficit: &mut f64,
        correction: f64,
        carried_over: Option<CarryOver>,
        plan: &Plan,
    ) {
        if let Some(CarryOver { epoch_age }) = carried_over {
            // The new total starts with the deficit that the previous one had at the end of its
            // epoch.
            self.local_tokens -= (*deficit + plan.rate * epoch_age).clamp(0.0, plan.burst);
        } else if *deficit < -OVERFULL_BURSTS * plan.burst {
            // A full bucket cannot take in more units: the surplus is removed.
            self.local_tokens += std::mem::take(deficit);
        } else if correction >= MIN_CORRECTION && *deficit >= correction {
            // Another ingress had just made the same correction.
            self.local_tokens += correction;
            *deficit -= correction;
        }
    }
}

/// Marks a total of the previous epoch, read to carry its deficit over.
struct CarryOver {
    /// Time since the new epoch began, s.
    epoch_age: f64,
}

/// Decisions about the requests of one call.
struct DecidedRequests {
    accepted: Vec<WaitingRequest>,
    rejected: Vec<WaitingRequest>,
}

impl DecidedRequests {
    fn all_rejected(rejected: Vec<WaitingRequest>) -> DecidedRequests {
        DecidedRequests {
            accepted: Vec::new(),
            rejected,
        }
    }
}

impl DecisionEngine {
    /// Checks a request at the tenant's bucket, or decides about it locally if the counter is
    /// congested.
    pub(super) fn take_from_shared_bucket(
        &mut self,
        now: f64,
        request: &Request,
        plan: &Plan,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        let checked_fraction = 1.0 - self.counter.congestion();
        let check_draw = f64::from(self.rng.rand_float());
        let admission_draw = f64::from(self.rng.rand_float());
        let rule = self.unchecked_rule(request.plan);
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else {
            return QuotaDecision::Exceeded { wait: 0.0 };
        };
        let since_rejected = now - tenant.no_units_before;
        let recently_rejected = since_rejected < RECENT_REJECTION_PERIOD;
        let check_skipped = recently_rejected && admission_draw >= CHECKED_FRACTION_AFTER_REJECTION;
        if now < tenant.no_units_before || check_skipped {
            let wait = tenant.no_units_before - now;
            return QuotaDecision::Exceeded { wait };
        }
        if check_draw >= checked_fraction {
            if admission_draw < tenant.unchecked_probability(now, request.units, plan, rule) {
                return QuotaDecision::Granted;
            }
            let wait = plan.burst / plan.rate;
            return QuotaDecision::Exceeded { wait };
        }
        // A checked request also pays for the unchecked ones that it represents.
        tenant.waiting.push(WaitingRequest {
            id: request.id,
            units: request.units / checked_fraction,
        });
        if tenant.call.is_none() {
            self.call_shared_bucket(now, request.tenant, actions);
        }
        QuotaDecision::AwaitingCounter
    }

    /// Calls the counter for the units of all waiting requests and for pending corrections.
    fn call_shared_bucket(&mut self, now: f64, id: TenantId, actions: &mut Vec<Action>) {
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        tenant.waiting_in_call = tenant.waiting.len();
        let call = CounterCall {
            window: BucketEpoch::at(now, id).index,
            amount: tenant.waiting_units() - std::mem::take(&mut tenant.local_tokens),
        };
        actions.push(self.call_counter(now, id, call, TOTAL_LIFETIME));
    }

    /// Handles the end of a call to a shared bucket; `total` is `None` if the call returned none.
    pub(super) fn shared_bucket_answered(
        &mut self,
        now: f64,
        id: TenantId,
        call: CounterCall,
        total: Option<f64>,
        actions: &mut Vec<Action>,
    ) {
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        let plan = self.settings.plans[tenant.plan].clone();
        let covered = std::mem::take(&mut tenant.waiting_in_call);
        let checked: Vec<WaitingRequest> = tenant.waiting.drain(..covered).collect();
        let needed: f64 = checked.iter().map(|waiting| waiting.units).sum();
        let epoch = BucketEpoch::at(now, id);
        let age = epoch.age_of(call.window);
        let mut deficit = total.map(|total| total - needed - plan.rate * age);
        if let Some(deficit) = &mut deficit {
            let carries_over = checked.is_empty() && call.window < epoch.index;
            let carried_over = carries_over.then_some(CarryOver {
                epoch_age: epoch.age,
            });
            tenant.correct_bucket(deficit, call.amount - needed, carried_over, &plan);
        }
        let decided = self.decide_checked(now, id, checked, deficit);
        let first_of_epoch = total.is_some_and(|total| {
            call.window == epoch.index && (total - call.amount).abs() < FIRST_CALL_PRECISION
        });
        let wait = self.quota_wait(now, id);
        if first_of_epoch && epoch.age < plan.burst / plan.rate {
            let read_previous_total = CounterCall::read(call.window - 1);
            actions.push(self.call_counter(now, id, read_previous_total, READ_TOTAL_LIFETIME));
        } else {
            self.call_shared_bucket_if_needed(now, id, actions);
        }
        for waiting in decided.accepted {
            self.admit(now, waiting.id, actions);
        }
        for waiting in decided.rejected {
            self.reject(waiting.id, RejectionCause::Quota, wait, actions);
            self.finish(waiting.id);
        }
    }

    /// Divides the requests of a call into accepted and rejected ones, by the deficit of the
    /// bucket, or by chance if there is no total.
    fn decide_checked(
        &mut self,
        now: f64,
        id: TenantId,
        checked: Vec<WaitingRequest>,
        mut deficit: Option<f64>,
    ) -> DecidedRequests {
        let admission_draw = f64::from(self.rng.rand_float());
        let Some(plan_index) = self.tenants.get(&id).map(|tenant| tenant.plan) else {
            return DecidedRequests::all_rejected(checked);
        };
        let rule = self.unchecked_rule(plan_index);
        let plan = &self.settings.plans[plan_index];
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return DecidedRequests::all_rejected(checked);
        };
        let (accepted, rejected): (Vec<_>, Vec<_>) =
            checked.into_iter().partition(|waiting| match &mut deficit {
                Some(deficit) => tenant.try_take(now, waiting.units, deficit, plan),
                None => {
                    let units = tenant.mean_units;
                    admission_draw < tenant.unchecked_probability(now, units, plan, rule)
                }
            });
        if deficit.is_some() {
            self.acceptance_ratios[plan_index].record(accepted.len(), rejected.len());
        }
        DecidedRequests { accepted, rejected }
    }

    fn unchecked_rule(&self, plan: usize) -> UncheckedRule {
        if self.counter.is_unavailable() {
            return UncheckedRule::EvenShare;
        }
        UncheckedRule::AcceptanceRatio(self.acceptance_ratios[plan].ratio)
    }

    /// Returns the Retry-After of a request that the bucket did not hold, s.
    fn quota_wait(&self, now: f64, id: TenantId) -> f64 {
        let no_units_before = self
            .tenants
            .get(&id)
            .map_or(now, |tenant| tenant.no_units_before);
        (no_units_before - now).max(MIN_QUOTA_RETRY_AFTER)
    }

    /// Makes the next call if requests wait for it, or if corrections are large enough.
    fn call_shared_bucket_if_needed(&mut self, now: f64, id: TenantId, actions: &mut Vec<Action>) {
        let needed = self.tenants.get(&id).is_some_and(|tenant| {
            !tenant.waiting.is_empty() || tenant.local_tokens.abs() >= MIN_CORRECTION
        });
        if needed {
            self.call_shared_bucket(now, id, actions);
        }
    }
}
