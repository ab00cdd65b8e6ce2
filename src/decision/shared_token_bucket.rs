//! The shared token bucket of a small-quota tenant: its bucket is a number on the counter.
//!
//! **Rule.** Where an ingress's part of a burst is under a request, leases and shares would strand
//! the quota. Each request then asks the counter by itself: one call takes its units, and the total
//! tells whether they fit. The units taken since the number's epoch began, less the rate times its
//! age, are what the bucket lacks. What did not fit goes back with the next call. Numbers last for
//! one epoch; the first ingress at a new one carries over what the last one lacked.
//!
//! **Inputs.** Units; totals; rate in units a second; ages in seconds; congestion of the counter (a
//! part of its calls).
//!
//! **Congestion.** A part of the requests then goes unchecked, and is admitted as often as checked
//! ones of its plan were, less the price of one beyond the quota. While the counter is unavailable,
//! an even share decides by chance.
//!
//! **Guards.**
//! - A bucket that is full takes in nothing: what came in with time beyond that is taken off by
//!   whoever sees it, and what another ingress has just put right as well is taken back.
//! - Each rejected request costs a call, and flooding tenants cost many: a tenant that was just
//!   rejected is asked for only when there can be room, and then in part only.
//! - Ingresses that all came to new numbers at once would congest the counter: epochs begin at
//!   another time for each tenant.
//!
//! Known harm: a call a request, one more for each that is rejected, and the wait for its answer.

use super::admission::MIN_QUOTA_RETRY_AFTER;
use super::counter_call::CounterCall;
use super::quota::QuotaDecision;
use super::stable_hash;
use super::tenant::{Tenant, WaitingRequest};
use super::{Action, DecisionEngine, Plan, Request, TenantId};

/// Length of an epoch, s: a number and the next one must fit into a number's longest life on the
/// counter.
const EPOCH_LENGTH: f64 = 25.0;
/// Life of a number on the counter, s: its own epoch and the next, in which it is carried over.
const NUMBER_LIFETIME: f64 = 2.2 * EPOCH_LENGTH;
/// Life of a number that is only read, s.
const READ_NUMBER_LIFETIME: f64 = EPOCH_LENGTH;
/// Hash index of a tenant's phase within the epochs.
const PHASE_INDEX: i64 = 0;
/// Bursts that the bucket may hold too much before it is put right: spares a call for small errors.
const OVERFULL_BURSTS: f64 = 0.25;
/// Least correction, units, that is put right by a call.
const MIN_CORRECTION: f64 = 0.5;
/// A total that differs from the call's amount by less than this is the first of its epoch.
const FIRST_CALL_PRECISION: f64 = 0.01;
/// Most of an even share that is saved up while the counter is unavailable, in bursts.
const MAX_SHARE_BURSTS: f64 = 3.0;
/// Least units that a chance is computed from: keeps the division finite.
const MIN_CHANCE_UNITS: f64 = 1e-9;
/// After a rejection others have just been rejected as well: for this long, s, ...
const RECENTLY_REJECTED: f64 = 3.0;
/// ... only this part of the requests is asked for.
const ASKED_PART_AFTER_REJECTION: f64 = 0.3;

/// First guess of an acceptance ratio: most requests are within their quota.
const START_ACCEPTANCE: f64 = 0.9;
/// Weight of that guess: as one answer.
const START_ACCEPTANCE_WEIGHT: f64 = 0.5;
/// Least weight of an answer in an acceptance ratio: an ingress among many sees few.
const MIN_ACCEPTANCE_WEIGHT: f64 = 0.03;

/// How often the bucket had room for checked requests of one plan: decides unchecked ones.
pub(super) struct AcceptanceRatio {
    ratio: f64,
    /// Weight of the last answer: the ratio is the mean at first, and follows the last answers
    /// later.
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
        let accepted_part = accepted as f64 / (accepted + rejected) as f64;
        self.weight = (self.weight / (1.0 + self.weight)).max(MIN_ACCEPTANCE_WEIGHT);
        self.ratio += self.weight * (accepted_part - self.ratio);
    }
}

/// The epoch of a tenant's number.
struct BucketEpoch {
    index: i64,
    /// Time since it began, s.
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

    /// Time since the epoch with this index began, s.
    fn age_of(&self, index: i64) -> f64 {
        self.age + EPOCH_LENGTH * (self.index - index) as f64
    }
}

/// How requests are decided that the counter does not check.
#[derive(Clone, Copy)]
enum UncheckedRule {
    /// As often as checked ones of the same plan were admitted, 0 to 1.
    AcceptanceRatio(f64),
    /// By this ingress's even share: the counter is unavailable.
    EvenShare,
}

impl Tenant {
    /// Chance that a request of so many units is admitted unchecked.
    fn unchecked_chance(&mut self, now: f64, units: f64, plan: &Plan, rule: UncheckedRule) -> f64 {
        if let UncheckedRule::AcceptanceRatio(ratio) = rule {
            return (ratio - plan.excess_cost_share * (1.0 - ratio)).max(0.0);
        }
        let rate = plan.rate / self.spread;
        let max = MAX_SHARE_BURSTS * plan.burst / self.spread;
        self.even_share.refill(now, rate, max);
        let share = self.even_share.tokens;
        self.even_share.tokens = (share - units).max(0.0);
        share / units.max(MIN_CHANCE_UNITS)
    }

    /// Whether the bucket, which lacks so many units, holds those of a request. If so they are
    /// taken, else they go back with the next call.
    fn take_if_it_fits(&mut self, now: f64, units: f64, lacking: &mut f64, plan: &Plan) -> bool {
        let excess = lacking.max(0.0) + units.min(self.mean_units) - plan.burst;
        if excess > 0.0 {
            // Whoever comes meanwhile, what is missing takes this long to come in.
            self.no_units_before = now + excess / plan.rate;
            self.local_tokens += units;
            return false;
        }
        *lacking = lacking.max(0.0) + units;
        true
    }

    /// Notes what the next call is to put right about a bucket that lacks so many units. `unneeded`
    /// units of the call were not for requests.
    fn correct_bucket(
        &mut self,
        lacking: &mut f64,
        unneeded: f64,
        carried_over: Option<CarryOver>,
        plan: &Plan,
    ) {
        if let Some(CarryOver { epoch_age }) = carried_over {
            // What the last number lacked at its end, the new one lacks too.
            self.local_tokens -= (*lacking + plan.rate * epoch_age).clamp(0.0, plan.burst);
        } else if *lacking < -OVERFULL_BURSTS * plan.burst {
            // A full bucket takes in nothing: what came in with time beyond it is taken off.
            self.local_tokens += std::mem::take(lacking);
        } else if unneeded >= MIN_CORRECTION && *lacking >= unneeded {
            // Another ingress had just put the same right.
            self.local_tokens += unneeded;
            *lacking -= unneeded;
        }
    }
}

/// The total of the last epoch's number was read, to be carried over.
struct CarryOver {
    /// Time since the new epoch began, s.
    epoch_age: f64,
}

/// The requests that a call was for.
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
    /// Asks the tenant's bucket for a request's units, or decides without where the counter is
    /// congested.
    pub(super) fn take_from_shared_bucket(
        &mut self,
        now: f64,
        request: &Request,
        plan: &Plan,
        actions: &mut Vec<Action>,
    ) -> QuotaDecision {
        let checked_part = 1.0 - self.counter.congestion();
        let check_number = f64::from(self.rng.rand_float());
        let chance_number = f64::from(self.rng.rand_float());
        let rule = self.unchecked_rule(request.plan);
        let Some(tenant) = self.tenants.get_mut(&request.tenant) else {
            return QuotaDecision::Exceeded { wait: 0.0 };
        };
        let since_rejected = now - tenant.no_units_before;
        let recently_rejected = since_rejected < RECENTLY_REJECTED;
        let not_asked = recently_rejected && chance_number >= ASKED_PART_AFTER_REJECTION;
        if now < tenant.no_units_before || not_asked {
            let wait = tenant.no_units_before - now;
            return QuotaDecision::Exceeded { wait };
        }
        if check_number >= checked_part {
            if chance_number < tenant.unchecked_chance(now, request.units, plan, rule) {
                return QuotaDecision::Granted;
            }
            let wait = plan.burst / plan.rate;
            return QuotaDecision::Exceeded { wait };
        }
        // A checked request pays for the unchecked ones beside it.
        tenant.waiting.push(WaitingRequest {
            id: request.id,
            units: request.units / checked_part,
        });
        if tenant.call.is_none() {
            self.ask_shared_bucket(now, request.tenant, actions);
        }
        QuotaDecision::AwaitingCounter
    }

    /// Takes units for all requests that wait, together with what is to be put right.
    fn ask_shared_bucket(&mut self, now: f64, id: TenantId, actions: &mut Vec<Action>) {
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return;
        };
        tenant.waiting_in_call = tenant.waiting.len();
        let call = CounterCall {
            window: BucketEpoch::at(now, id).index,
            amount: tenant.waiting_units() - std::mem::take(&mut tenant.local_tokens),
        };
        actions.push(self.call_counter(now, id, call, NUMBER_LIFETIME));
    }

    /// A call to a shared bucket has ended; the total, if one came.
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
        let asked: Vec<WaitingRequest> = tenant.waiting.drain(..covered).collect();
        let needed: f64 = asked.iter().map(|waiting| waiting.units).sum();
        let epoch = BucketEpoch::at(now, id);
        let age = epoch.age_of(call.window);
        let mut lacking = total.map(|total| total - needed - plan.rate * age);
        if let Some(lacking) = &mut lacking {
            let carries_over = asked.is_empty() && call.window < epoch.index;
            let carried_over = carries_over.then_some(CarryOver {
                epoch_age: epoch.age,
            });
            tenant.correct_bucket(lacking, call.amount - needed, carried_over, &plan);
        }
        let decided = self.decide_asked(now, id, asked, lacking);
        let first_of_epoch = total.is_some_and(|total| {
            call.window == epoch.index && (total - call.amount).abs() < FIRST_CALL_PRECISION
        });
        let wait = self.quota_wait(now, id);
        if first_of_epoch && epoch.age < plan.burst / plan.rate {
            let last_number = CounterCall::read(call.window - 1);
            actions.push(self.call_counter(now, id, last_number, READ_NUMBER_LIFETIME));
        } else {
            self.ask_shared_bucket_again(now, id, actions);
        }
        for waiting in decided.accepted {
            self.admit(now, waiting.id, actions);
        }
        for waiting in decided.rejected {
            self.reject(waiting.id, wait, actions);
            self.finish(waiting.id);
        }
    }

    /// Divides the requests that a call was for into accepted and rejected ones: by what the bucket
    /// lacks, or by chance where no total came.
    fn decide_asked(
        &mut self,
        now: f64,
        id: TenantId,
        asked: Vec<WaitingRequest>,
        mut lacking: Option<f64>,
    ) -> DecidedRequests {
        let chance_number = f64::from(self.rng.rand_float());
        let Some(plan_index) = self.tenants.get(&id).map(|tenant| tenant.plan) else {
            return DecidedRequests::all_rejected(asked);
        };
        let rule = self.unchecked_rule(plan_index);
        let plan = &self.settings.plans[plan_index];
        let Some(tenant) = self.tenants.get_mut(&id) else {
            return DecidedRequests::all_rejected(asked);
        };
        let (accepted, rejected): (Vec<_>, Vec<_>) =
            asked.into_iter().partition(|waiting| match &mut lacking {
                Some(lacking) => tenant.take_if_it_fits(now, waiting.units, lacking, plan),
                None => {
                    let units = tenant.mean_units;
                    chance_number < tenant.unchecked_chance(now, units, plan, rule)
                }
            });
        if lacking.is_some() {
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

    /// Retry-After of a request that the bucket did not hold, s.
    fn quota_wait(&self, now: f64, id: TenantId) -> f64 {
        let no_units_before = self
            .tenants
            .get(&id)
            .map_or(now, |tenant| tenant.no_units_before);
        (no_units_before - now).max(MIN_QUOTA_RETRY_AFTER)
    }

    /// Makes the next call if requests wait for it, or enough is to be put right.
    fn ask_shared_bucket_again(&mut self, now: f64, id: TenantId, actions: &mut Vec<Action>) {
        let needed = self.tenants.get(&id).is_some_and(|tenant| {
            !tenant.waiting.is_empty() || tenant.local_tokens.abs() >= MIN_CORRECTION
        });
        if needed {
            self.ask_shared_bucket(now, id, actions);
        }
    }
}
