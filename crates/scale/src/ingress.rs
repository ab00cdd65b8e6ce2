//! A simulated ingress: the control side of the real program (clock, endpoint registry, inventory, router, core and decision
//! module) without sockets. Backends and the counter are simulated; time passes as fast as the timers allow.

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

/// Settings of a catch-up service with four plans; ingresses and zones are filled in.
const SETTINGS: &str = include_str!("ingress_settings.json");
/// When simulated time begins, Unix milliseconds.
const START_MS: f64 = 1.75e12;
/// Longest between two looks at the timers, as in the program, ms.
const LOOK_MS: f64 = 50.0;
/// How long a backend takes for an answer, ms.
const BACKEND_MS: f64 = 20.0;
/// How long the counter takes for an answer, ms.
const COUNTER_MS: f64 = 2.0;
/// So far behind a timer's moment the ingress looks at it, ms: as a wait that never ends early.
const LATENESS_MS: f64 = 0.01;
/// Name of the file of rules in messages.
const RULES_FILE: &str = "rules.toml";
/// Memory of the ingress, MB.
const MEMORY_MB: f64 = 192.0;

/// The deployment that a simulated ingress is part of.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// Ingresses in all.
    pub ingresses: u32,
    /// Zones.
    pub zones: u32,
}

impl Deployment {
    /// The target size: 2,500 ingresses in 3 regions with 7 zones each.
    pub const TARGET: Deployment = Deployment {
        ingresses: 2500,
        zones: 21,
    };

    /// The name of a zone by its number.
    pub fn zone(number: u32) -> String {
        format!("zone-{number:02}")
    }

    /// The configuration of an ingress of this deployment.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn config(&self) -> Result<Config, ExperimentError> {
        let wrong = |e: &dyn std::fmt::Display| ExperimentError::Settings(e.to_string());
        let mut settings: serde_json::Value =
            serde_json::from_str(SETTINGS).map_err(|e| wrong(&e))?;
        settings["balancers"] = self.ingresses.into();
        settings["zones"] = (0..self.zones).map(Deployment::zone).collect();
        let config = serde_json::json!({"listen": "127.0.0.1:1", "settings": settings});
        Config::parse(&config.to_string()).map_err(|e| wrong(&e))
    }
}

/// Calls and answers of a simulated ingress so far.
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

/// Simulated backends, counter and clients: they answer after fixed times. What they hold is not counted.
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

    /// When the next answer is due.
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

    /// Adds to a number on the counter; its total.
    fn add(&self, add: CounterAdd) -> f64 {
        let mut total = 0.0;
        uncounted(|| {
            let mut totals = self.totals.borrow_mut();
            let held = totals.entry(add.name).or_insert(0.0);
            *held += add.amount;
            total = *held;
        });
        total
    }
}

impl ActionExecutor for Peers {
    fn carry_out(&self, effect: Action) {
        match effect {
            Action::StartAttempt(start) => {
                self.count(|traffic| traffic.attempts += 1);
                let due = self.now.get() + BACKEND_MS;
                uncounted(|| self.attempts.borrow_mut().push_back((due, start)));
            }
            Action::AddToCounter(add) => {
                self.count(|traffic| traffic.counter_calls += 1);
                let due = self.now.get() + COUNTER_MS;
                uncounted(|| self.calls.borrow_mut().push_back((due, add)));
            }
            Action::Probe(_) => self.count(|traffic| traffic.probes += 1),
            // Answers never come late, so that nothing is abandoned; there are no connections to release.
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

/// An ingress whose sockets, peers and waiting are simulated.
pub struct SimulatedIngress {
    dispatcher: Rc<Dispatcher>,
    peers: Rc<Peers>,
    network: Rc<dyn ActionExecutor>,
    client: Rc<dyn ResponseSink>,
}

impl SimulatedIngress {
    /// An ingress that knows no backend yet. It is a member of a group, so that staff can take backends out.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn new(config: &Config, seed: u64) -> Result<SimulatedIngress, ExperimentError> {
        let config = Config {
            seed,
            ..config.clone()
        };
        let dispatcher = Dispatcher::new(&config, MEMORY_MB, None, Clock::fixed(START_MS), true);
        let dispatcher = dispatcher.map_err(|e| ExperimentError::Settings(e.to_string()))?;
        let peers = Peers::new();
        let (network, client): (Rc<dyn ActionExecutor>, Rc<dyn ResponseSink>) =
            (peers.clone(), peers.clone());
        dispatcher.set_executor(&network);
        Ok(SimulatedIngress {
            dispatcher,
            peers,
            network,
            client,
        })
    }

    /// The shared state of the ingress.
    pub fn dispatcher(&self) -> &Rc<Dispatcher> {
        &self.dispatcher
    }

    /// Calls and answers so far.
    pub fn traffic(&self) -> Traffic {
        self.peers.traffic.get()
    }

    /// Who carries out what the core wants done.
    pub fn network(&self) -> &Rc<dyn ActionExecutor> {
        &self.network
    }

    /// Reads an inventory from its files, as at a start or a SIGHUP; the backends that were told to the core.
    ///
    /// # Errors
    /// The inventory is wrong.
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

    /// Takes an answer of discovery's.
    ///
    /// # Errors
    /// It is no list.
    pub fn take_list(&self, body: Vec<u8>) -> Result<(), ExperimentError> {
        let answer = HttpAnswer {
            status: 200,
            body,
            close: false,
        };
        discovery::apply_answer(&self.dispatcher, &answer)
            .map_err(|error| ExperimentError::Refused(error.to_string()))?;
        Ok(())
    }

    /// Puts the rules of a text in force, as at a start or a SIGHUP.
    ///
    /// # Errors
    /// The text holds faults; the first of them.
    pub fn put_rules(&self, text: &str) -> Result<(), ExperimentError> {
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

    /// Takes a request; its answer comes with time.
    pub fn arrive(&self, request: ClientRequest) {
        self.dispatcher
            .arrive(request, self.client.clone(), 0, Vec::new(), |_| {});
    }

    /// Lets time pass: timers come due and peers answer.
    pub fn advance(&self, milliseconds: f64) {
        let end = self.dispatcher.now() + milliseconds;
        while self.dispatcher.now() < end {
            let timers = self
                .dispatcher
                .next_due()
                .into_iter()
                .chain(self.peers.next_due());
            let due = timers.fold(self.dispatcher.now() + LOOK_MS, f64::min);
            self.set_clock((due.max(self.dispatcher.now()) + LATENESS_MS).min(end));
            self.deliver();
            self.dispatcher.with_requests(|core, now| core.tick(now));
        }
    }

    fn set_clock(&self, milliseconds: f64) {
        self.dispatcher.clock().set(milliseconds);
        self.peers.now.set(milliseconds);
    }

    /// Hands over every answer that is due.
    fn deliver(&self) {
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
