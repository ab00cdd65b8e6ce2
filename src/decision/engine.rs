//! The decision engine: dispatches each event to the mechanism that handles it.
//!
//! The engine itself makes no decisions. It owns the state of each mechanism, the random number
//! generator, and the housekeeping pass, which a timer runs every [`HOUSEKEEPING_PERIOD`] seconds.
//! The same settings, seed and events produce the same actions: mechanisms draw random numbers in a
//! fixed order and iterate over endpoints, requests and tenants in the order of their ids.

use super::counter_call::AwaitedCall;
use super::counter_health::CounterHealth;
use super::endpoint::Endpoint;
use super::hedging::SlowAttemptShare;
use super::latency;
use super::load_level::LoadLevel;
use super::quota::CounterAnswer;
use super::rejection_counts::RejectionCounts;
use super::request::PendingRequest;
use super::retry::RetryBudget;
use super::shared_token_bucket::AcceptanceRatio;
use super::slow_start::SlowStart;
use super::tenant::Tenant;
use super::{Action, EndpointId, Event, ListKind, RequestId, Settings, SettingsError, TenantId};
use std::collections::BTreeMap;

/// Time between two housekeeping passes, s: short compared with any latency objective, long
/// compared with the cost of one pass.
pub(super) const HOUSEKEEPING_PERIOD: f64 = 0.05;
/// Token of the housekeeping timer.
const HOUSEKEEPING_TIMER: u64 = 0;

/// The decision engine of one ingress.
pub struct DecisionEngine {
    pub(super) settings: Settings,
    pub(super) rng: oorandom::Rand32,
    /// Whether the first event has been handled.
    started: bool,
    /// Time since which every tenant that sent a request is remembered, s.
    pub(super) tenants_tracked_since: f64,
    pub(super) endpoints: BTreeMap<EndpointId, Endpoint>,
    pub(super) requests: BTreeMap<RequestId, PendingRequest>,
    pub(super) tenants: BTreeMap<TenantId, Tenant>,
    /// Counter calls whose totals are awaited, by the name of the total.
    pub(super) awaited_calls: BTreeMap<u64, AwaitedCall>,
    pub(super) load: LoadLevel,
    pub(super) slow_attempts: SlowAttemptShare,
    pub(super) counter: CounterHealth,
    /// Indexed by plan.
    pub(super) acceptance_ratios: Vec<AcceptanceRatio>,
    /// Indexed by class, s (see [`latency`]).
    pub(super) typical_latency: Vec<f64>,
    pub(super) slow_start: SlowStart,
    pub(super) retry_budget: RetryBudget,
    pub(super) rejections: RejectionCounts,
}

impl DecisionEngine {
    /// Creates an engine without endpoints, requests or tenants. `seed` initializes its random
    /// numbers.
    ///
    /// # Errors
    /// Returns the first invalid field of the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<DecisionEngine, SettingsError> {
        settings.check()?;
        let typical_latency = settings
            .classes
            .iter()
            .map(|class| latency::initial_typical_latency(class.latency_objective))
            .collect();
        let acceptance_ratios = settings
            .plans
            .iter()
            .map(|_| AcceptanceRatio::new())
            .collect();
        Ok(DecisionEngine {
            rng: oorandom::Rand32::new(seed),
            started: false,
            tenants_tracked_since: 0.0,
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
            rejections: RejectionCounts::default(),
            settings,
        })
    }

    /// Handles an event that happened at `now` (s) and appends the resulting actions in order.
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
            Event::AttemptStalled { id, attempt } => {
                self.attempt_stalled(now, id, attempt, actions);
            }
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
            Event::Timer { token } => self.answer_timer_expired(token as RequestId, actions),
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
        self.tenants_tracked_since = now;
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
        self.update_load_threshold(now);
        if self.slow_start.period_is_over(now) {
            self.evict_idle_tenants(now);
            self.counter.decay_congestion();
            self.measure_warm_rate(now);
        }
        self.review_attempts(now, actions);
        self.expire_old_calls(now);
        self.end_ejections(now, actions);
    }

    /// Draws whether an event with this probability (0 to 1) occurs.
    pub(super) fn random_bool(&mut self, probability: f64) -> bool {
        f64::from(self.rng.rand_float()) < probability
    }
}

fn set_housekeeping_timer(actions: &mut Vec<Action>) {
    actions.push(Action::Timer {
        after: HOUSEKEEPING_PERIOD,
        token: HOUSEKEEPING_TIMER,
    });
}

/// State that is visible from outside.
impl DecisionEngine {
    /// Returns the load level: 0, 1 or 2.
    pub fn level(&self) -> usize {
        self.load.level()
    }

    /// Returns the number of attempts in flight above which the level becomes 1. It is infinite
    /// before the first housekeeping pass.
    pub fn threshold(&self) -> f64 {
        self.load.threshold()
    }

    /// Returns whether a timer set by the engine is still needed.
    pub fn needs_timer(&self, token: u64) -> bool {
        token == HOUSEKEEPING_TIMER || self.requests.contains_key(&(token as RequestId))
    }

    /// Returns the number of tenants that are remembered.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// Returns the number of counter calls whose totals are awaited.
    pub fn awaited_calls(&self) -> usize {
        self.awaited_calls.len()
    }

    /// Returns the rejected requests since the start, by cause.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }
}
