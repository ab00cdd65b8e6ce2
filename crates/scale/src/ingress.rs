//! A simulated ingress: the control code of the real program (clock, endpoint registry, inventory,
//! router, dispatcher and decision module) without sockets. Backends and the counter are simulated;
//! virtual time advances from timer to timer without waiting.

use crate::experiment::ExperimentError;
use crate::probe::uncounted;
use driftgap::config::settings::Config;
use driftgap::decision::driver::CounterAdd;
use driftgap::decision::{ListKind, Outcome};
use driftgap::discovery;
use driftgap::discovery::inventory::Inventory;
use driftgap::protocol::resp::HttpAnswer;
use driftgap::request::{
    Action, AttemptResult, AttemptStart, ClientRequest, FinalAnswer, ResponseBody,
};
use driftgap::routing::{catalog, RuleSource};
use driftgap::runtime::clock::Clock;
use driftgap::runtime::dispatcher::{ActionExecutor, Dispatcher, ResponseSink};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Settings of a catch-up service with four plans. The numbers of ingresses and zones are filled
/// in.
const SETTINGS: &str = include_str!("ingress_settings.json");
/// Start of simulated time, Unix milliseconds.
const START_MS: f64 = 1.75e12;
/// Longest interval between two checks of the timers, ms; the same as in the program.
const MAX_TIMER_WAIT_MS: f64 = 50.0;
/// Response time of a backend, ms.
const BACKEND_LATENCY_MS: f64 = 20.0;
/// Response time of the counter, ms.
const COUNTER_LATENCY_MS: f64 = 2.0;
/// Delay between a timer's due time and its check, ms: a real wait never ends early.
const TIMER_LATENESS_MS: f64 = 0.01;
/// Name of the rule file in error messages.
const RULES_FILE: &str = "rules.toml";
/// Memory limit of the ingress, MB.
const MEMORY_MB: f64 = 192.0;

/// Size of the deployment that a simulated ingress belongs to.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Number of ingresses.
    pub ingresses: u32,
    /// Number of zones.
    pub zones: u32,
}

impl Deployment {
    /// The target size: 2,500 ingresses in 3 regions with 7 zones each.
    pub const TARGET: Deployment = Deployment {
        ingresses: 2500,
        zones: 21,
    };

    /// Returns the name of the zone with this number.
    pub fn zone(number: u32) -> String {
        format!("zone-{number:02}")
    }

    /// Returns the configuration of an ingress in this deployment.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn config(&self) -> Result<Config, ExperimentError> {
        let invalid_settings = |e: &dyn std::fmt::Display| ExperimentError::Settings(e.to_string());
        let mut settings: serde_json::Value =
            serde_json::from_str(SETTINGS).map_err(|e| invalid_settings(&e))?;
        settings["balancers"] = self.ingresses.into();
        settings["zones"] = (0..self.zones).map(Deployment::zone).collect();
        let config = serde_json::json!({"listen": "127.0.0.1:1", "settings": settings});
        Config::parse(&config.to_string()).map_err(|e| invalid_settings(&e))
    }
}

/// Numbers of calls and answers of a simulated ingress so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Attempts sent to backends.
    pub attempts: u64,
    /// Calls to the counter.
    pub counter_calls: u64,
    /// Probes of backends.
    pub probes: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused or failed.
    pub refused: u64,
}

/// Simulated backends, counter and clients, which answer after fixed times. Their own memory is not
/// counted.
struct Peers {
    attempts: RefCell<VecDeque<(f64, AttemptStart)>>,
    calls: RefCell<VecDeque<(f64, CounterAdd)>>,
    totals: RefCell<HashMap<u64, f64>>,
    now: Cell<f64>,
    traffic: Cell<Traffic>,
}

impl Peers {
    fn new() -> Rc<Peers> {
        Rc::new(Peers {
            attempts: RefCell::default(),
            calls: RefCell::default(),
            totals: RefCell::default(),
            now: Cell::new(START_MS),
            traffic: Cell::default(),
        })
    }

    fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }

    /// Returns the time at which the next answer is due.
    fn next_due(&self) -> Option<f64> {
        let attempt = self.attempts.borrow().front().map(|(due, _)| *due);
        let call = self.calls.borrow().front().map(|(due, _)| *due);
        attempt.into_iter().chain(call).reduce(f64::min)
    }

    fn due_attempt(&self, now: f64) -> Option<AttemptStart> {
        let mut attempts = self.attempts.borrow_mut();
        attempts
            .front()
            .is_some_and(|(due, _)| *due <= now)
            .then(|| attempts.pop_front())?
            .map(|(_, start)| start)
    }

    fn due_call(&self, now: f64) -> Option<CounterAdd> {
        let mut calls = self.calls.borrow_mut();
        calls
            .front()
            .is_some_and(|(due, _)| *due <= now)
            .then(|| calls.pop_front())?
            .map(|(_, add)| add)
    }

    /// Adds an amount to a counter and returns its total.
    fn add(&self, add: CounterAdd) -> f64 {
        let mut total = 0.0;
        uncounted(|| {
            let mut totals = self.totals.borrow_mut();
            let counter_total = totals.entry(add.name).or_insert(0.0);
            *counter_total += add.amount;
            total = *counter_total;
        });
        total
    }
}

impl ActionExecutor for Peers {
    fn carry_out(&self, action: Action) {
        match action {
            Action::StartAttempt(start) => {
                self.count(|traffic| traffic.attempts += 1);
                let due = self.now.get() + BACKEND_LATENCY_MS;
                uncounted(|| self.attempts.borrow_mut().push_back((due, start)));
            }
            Action::AddToCounter(add) => {
                self.count(|traffic| traffic.counter_calls += 1);
                let due = self.now.get() + COUNTER_LATENCY_MS;
                uncounted(|| self.calls.borrow_mut().push_back((due, add)));
            }
            Action::Probe(_) => self.count(|traffic| traffic.probes += 1),
            // Answers are never late, so no attempt is abandoned, and there are no connections to
            // release.
            Action::AbandonAttempt(..) | Action::ReleaseEndpoint(_) | Action::Reply(..) => {}
        }
    }
}

impl ResponseSink for Peers {
    fn answer(&self, _ticket: u64, answer: FinalAnswer) {
        self.count(|traffic| match answer {
            FinalAnswer::Served(_) => traffic.served += 1,
            FinalAnswer::Rejected { .. } | FinalAnswer::Failed { .. } => traffic.refused += 1,
        });
    }
}

/// An ingress with simulated sockets, peers and waits.
pub struct SimulatedIngress {
    dispatcher: Rc<Dispatcher>,
    peers: Rc<Peers>,
    executor: Rc<dyn ActionExecutor>,
    client: Rc<dyn ResponseSink>,
}

impl SimulatedIngress {
    /// Creates an ingress without backends. The ingress is a member of a group, so that operators
    /// can exclude backends.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn new(config: &Config, seed: u64) -> Result<SimulatedIngress, ExperimentError> {
        let config = Config {
            seed,
            ..config.clone()
        };
        let dispatcher = Dispatcher::new(&config, MEMORY_MB, None, Clock::fixed(START_MS), true);
        let dispatcher = dispatcher.map_err(|e| ExperimentError::Settings(e.to_string()))?;
        let peers = Peers::new();
        let (executor, client): (Rc<dyn ActionExecutor>, Rc<dyn ResponseSink>) =
            (peers.clone(), peers.clone());
        dispatcher.set_executor(&executor);
        Ok(SimulatedIngress {
            dispatcher,
            peers,
            executor,
            client,
        })
    }

    /// Returns the shared state of the ingress.
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.dispatcher
    }

    /// Returns the numbers of calls and answers so far.
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic.get()
    }

    /// Returns the executor of the core's actions.
    pub fn executor(&self) -> &Rc<dyn ActionExecutor> {
        &self.executor
    }

    /// Reads an inventory from its files, as at a start or on SIGHUP. Returns the number of
    /// backends that the core was notified of.
    ///
    /// # Errors
    /// The inventory is invalid.
    pub fn load(&self, inventory: &mut Inventory) -> Result<usize, ExperimentError> {
        let loaded = inventory.load(&mut self.dispatcher.registry(), self.dispatcher.now());
        let (entries, _) = loaded.map_err(|e| ExperimentError::Refused(e.to_string()))?;
        let notified = entries.len();
        self.dispatcher.update_endpoints(ListKind::Delta, entries);
        self.dispatcher
            .registry()
            .remove(|id| inventory.is_dropped(id));
        Ok(notified)
    }

    /// Applies the body of a discovery response.
    ///
    /// # Errors
    /// The body is not a valid list.
    pub fn apply_list(&self, body: Vec<u8>) -> Result<(), ExperimentError> {
        let answer = HttpAnswer {
            status: 200,
            body,
            close: false,
        };
        discovery::apply_answer(&self.dispatcher, &answer)
            .map_err(|error| ExperimentError::Refused(error.to_string()))?;
        Ok(())
    }

    /// Compiles the rules in `text` and applies them, as at a start or on SIGHUP.
    ///
    /// # Errors
    /// The rules are invalid; the error contains the first fault.
    pub fn apply_rules(&self, text: &str) -> Result<(), ExperimentError> {
        let source = RuleSource::file(RULES_FILE.into(), MEMORY_MB);
        let in_force = self.dispatcher.rules();
        let rules = source
            .compile(
                text,
                &catalog(self.dispatcher.platform()),
                in_force.as_ref(),
            )
            .map_err(|faults| {
                let first = faults
                    .first()
                    .map_or(String::new(), |fault| fault.line.clone());
                ExperimentError::Refused(first)
            })?;
        self.dispatcher
            .replace_rules(rules)
            .map_err(|e| ExperimentError::Refused(e.to_string()))?;
        Ok(())
    }

    /// Submits a request. The answer arrives as time advances.
    pub fn arrive(&self, request: ClientRequest) {
        self.dispatcher
            .arrive(request, self.client.clone(), 0, Vec::new(), |_| {});
    }

    /// Advances time: runs due timers and delivers due answers of the peers.
    pub fn advance(&self, milliseconds: f64) {
        let end = self.dispatcher.now() + milliseconds;
        while self.dispatcher.now() < end {
            let timers = self
                .dispatcher
                .next_due()
                .into_iter()
                .chain(self.peers.next_due());
            let due = timers.fold(self.dispatcher.now() + MAX_TIMER_WAIT_MS, f64::min);
            self.set_clock((due.max(self.dispatcher.now()) + TIMER_LATENESS_MS).min(end));
            self.deliver_due_answers();
            self.dispatcher.with_requests(|core, now| core.tick(now));
        }
    }

    fn set_clock(&self, milliseconds: f64) {
        self.dispatcher.clock().set(milliseconds);
        self.peers.now.set(milliseconds);
    }

    /// Delivers every answer that is due.
    fn deliver_due_answers(&self) {
        let now = self.dispatcher.now();
        while let Some(add) = self.peers.due_call(now) {
            let total = self.peers.add(add);
            self.dispatcher.with_requests(|core, now| {
                core.counter_answered(now, add.name, Outcome::Ok, total)
            });
        }
        while let Some(start) = self.peers.due_attempt(now) {
            let end = AttemptResult {
                body: Some(ResponseBody::Complete(Vec::new())),
                ..AttemptResult::with_outcome(Outcome::Ok)
            };
            self.dispatcher.with_requests(|core, now| {
                core.attempt_ended(now, start.request_id, start.attempt, end)
            });
        }
    }
}
