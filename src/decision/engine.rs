//! The engine: takes one event at a time and passes it to the mechanism that decides on it.
//!
//! It decides nothing by itself. It owns the state of each mechanism, the random numbers, and the
//! housekeeping pass that runs every [`HOUSEKEEPING_PERIOD`] seconds by a timer of its own. The
//! same settings, seed and events give the same actions: mechanisms draw random numbers in a fixed
//! order and look at endpoints, requests and tenants in the order of their ids.

use super::counter_call::AwaitedCall;
use super::counter_health::CounterHealth;
use super::endpoint::Endpoint;
use super::hedging::SlowAttemptShare;
use super::latency;
use super::load_level::LoadLevel;
use super::quota::CounterAnswer;
use super::request::PendingRequest;
use super::retry::RetryBudget;
use super::shared_token_bucket::AcceptanceRatio;
use super::slow_start::SlowStart;
use super::tenant::Tenant;
use super::{Action, EndpointId, Event, ListKind, RequestId, Settings, SettingsError, TenantId};
use std::collections::BTreeMap;

/// Time between two housekeeping passes, s: short beside any latency objective, long beside the
/// cost of one pass.
pub(super) const HOUSEKEEPING_PERIOD: f64 = 0.05;
/// Token of the housekeeping timer.
const HOUSEKEEPING_TIMER: u64 = 0;

/// The decisions of one ingress.
pub struct DecisionEngine {
    pub(super) settings: Settings,
    pub(super) rng: oorandom::Rand32,
    /// The first event has come.
    started: bool,
    /// Since when every tenant that comes is remembered, s.
    pub(super) tenants_known_since: f64,
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    pub(super) tenants: BTreeMap<TenantId, Tenant>,
    /// Counter calls by the name of their number.
    pub(super) awaited_calls: BTreeMap<u64, AwaitedCall>,
    pub(super) load: LoadLevel,
    pub(super) slow_attempts: SlowAttemptShare,
    pub(super) counter: CounterHealth,
    /// By plan.
    pub(super) acceptance_ratios: Vec<AcceptanceRatio>,
    /// By class, s (see [`latency`]).
    pub(super) typical_latency: Vec<f64>,
    pub(super) slow_start: SlowStart,
    pub(super) retry_budget: RetryBudget,
}

impl DecisionEngine {
    /// An ingress that knows nothing yet; `seed` is that of its random numbers.
    ///
    /// # Errors
    /// Settings that make no sense, by field.
    pub fn new(settings: Settings, seed: u64) -> Result<DecisionEngine, SettingsError> {
        settings.check()?;
        let typical_latency = settings
            .classes
            .iter()
            .map(|class| latency::first_guess(class.latency_objective))
            .collect();
        let acceptance_ratios = settings
            .plans
            .iter()
            .map(|_| AcceptanceRatio::new())
            .collect();
        Ok(DecisionEngine {
            rng: oorandom::Rand32::new(seed),
            started: false,
            tenants_known_since: 0.0,
            endpoints: BTreeMap::new(),
            requests: BTreeMap::new(),
            tenants: BTreeMap::new(),
            awaited_calls: BTreeMap::new(),
            load: LoadLevel::new(),
            slow_attempts: SlowAttemptShare::default(),
            counter: CounterHealth::new(),
            acceptance_ratios,
            typical_latency,
            slow_start: SlowStart::new(&settings),
            retry_budget: RetryBudget::new(),
            settings,
        })
    }

    /// Takes an event that happened at `now` (s) and appends what is to be done, in this order.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        if !self.started {
            self.start(now, actions);
        }
        match event {
            Event::EndpointList { kind, entries } => match kind {
                ListKind::Failed => self.follow_endpoint_list(actions),
                ListKind::Delta => self.update_endpoints(&entries),
                ListKind::Full | ListKind::Cached => self.replace_endpoints(&entries),
            },
            Event::RequestArrived(request) => self.request_arrived(now, request, actions),
            Event::AttemptEnded(end) => self.attempt_ended(now, &end, actions),
            Event::ClientGone { id } => self.finish(id),
            Event::StreamStarted { id, .. } => self.record_stream(id),
            Event::ProbeEnded {
                endpoint,
                outcome,
                report,
            } => self.health_check_ended(now, endpoint, outcome, &report),
            Event::Timer {
                token: HOUSEKEEPING_TIMER,
            } => self.run_housekeeping(now, actions),
            Event::Timer { token } => self.answer_is_due(token as RequestId, actions),
            Event::CounterAnswered {
                name,
                outcome,
                total,
            } => {
                let answer = CounterAnswer {
                    name,
                    outcome,
                    total,
                };
                self.counter_answered(now, &answer, actions);
            }
            Event::CounterAnsweredLate {
                name,
                amount,
                total,
            } => self.counter_answered_late(now, name, amount, total, actions),
        }
    }

    fn start(&mut self, now: f64, actions: &mut Vec<Action>) {
        self.started = true;
        self.tenants_known_since = now;
        self.slow_start.start(now);
        self.load.start(now);
        set_housekeeping_timer(actions);
        self.follow_endpoint_list(actions);
    }

    fn follow_endpoint_list(&self, actions: &mut Vec<Action>) {
        if self.settings.endpoint_list_is_polled {
            actions.push(Action::FollowEndpointList);
        }
    }

    fn run_housekeeping(&mut self, now: f64, actions: &mut Vec<Action>) {
        set_housekeeping_timer(actions);
        self.learn_load_threshold(now);
        if self.slow_start.period_is_over(now) {
            self.forget_idle_tenants(now);
            self.counter.relax();
            self.measure_warm_rate(now);
        }
        self.review_attempts(now, actions);
        self.forget_old_calls(now);
        self.end_ejections(now, actions);
    }

    /// Whether something happens that has this chance, 0 to 1.
    pub(super) fn happens(&mut self, chance: f64) -> bool {
        f64::from(self.rng.rand_float()) < chance
    }
}

fn set_housekeeping_timer(actions: &mut Vec<Action>) {
    actions.push(Action::Timer {
        after: HOUSEKEEPING_PERIOD,
        token: HOUSEKEEPING_TIMER,
    });
}

/// What can be watched from outside.
impl DecisionEngine {
    /// The load level: 0, 1 or 2.
    pub fn level(&self) -> usize {
        self.load.level()
    }

    /// Attempts in flight above which the level becomes 1; infinite until learnt.
    pub fn threshold(&self) -> f64 {
        self.load.threshold()
    }

    /// Whether a timer that the module has set still means anything to it.
    pub fn awaits(&self, token: u64) -> bool {
        token == HOUSEKEEPING_TIMER || self.requests.contains_key(&(token as RequestId))
    }

    /// How many tenants are remembered.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }
}
