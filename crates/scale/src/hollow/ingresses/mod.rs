//! The decision modules of many ingresses on one virtual clock. Each module has its own driver and
//! timers; all of them share one counter and simulated backends that record their traffic.

mod backend;
mod settings;

pub use backend::BackendStats;

use super::Schedule;
use backend::Backend;
use driftgap::decision::driver::{
    AttemptReport, CounterAdd, DecisionDriver, DriverAction, Observation, RequestAttributes,
    RequestId, Verdict,
};
use driftgap::decision::{
    EndpointEntry, EndpointState, ListKind, Outcome, SettingsError, ALL_ENDPOINTS,
};
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Response time of a backend, ms.
const BACKEND_LATENCY_MS: f64 = 50.0;
/// Response time of the counter, ms.
const COUNTER_LATENCY_MS: f64 = 5.0;
/// Time after which a client gives up a request, ms.
const REQUEST_TIMEOUT_MS: f64 = 2000.0;
/// Delay added to a timer's due time, ms: the schedule rounds times and could wake the module too
/// early.
const ROUNDING_MS: f64 = 0.002;

/// The size of a fleet and the requests that it receives.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Number of ingresses.
    pub ingresses: u32,
    /// Number of tenants; all of them send requests at the same rate.
    pub tenants: u64,
    /// Number of ingresses that each tenant's requests come through.
    pub spread: u32,
    /// Quota of each tenant in units per second; 0 for no quota.
    pub quota: f64,
    /// Requests per second of all tenants together, one unit each.
    pub requests_per_second: f64,
    /// Number of backends; every ingress has all of them in its list.
    pub backends: u32,
    /// Whether the first backend refuses all connections.
    pub first_is_down: bool,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Counts of a run so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Requests that have arrived.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Attempts sent to backends.
    pub attempts: u64,
    /// Calls to the counter.
    pub counter_calls: u64,
    /// Probes of backends.
    pub probes: u64,
}

impl FleetCounts {
    /// Returns the counts since an earlier reading.
    #[must_use]
    pub fn since(self, earlier: FleetCounts) -> FleetCounts {
        FleetCounts {
            requests: self.requests - earlier.requests,
            refused: self.refused - earlier.refused,
            attempts: self.attempts - earlier.attempts,
            counter_calls: self.counter_calls - earlier.counter_calls,
            probes: self.probes - earlier.probes,
        }
    }
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    AttemptEnds {
        ingress: usize,
        backend: u32,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    CounterAnswers {
        ingress: usize,
        name: u64,
        total: f64,
    },
    ProbeEnds {
        ingress: usize,
        backend: u32,
        outcome: Outcome,
    },
    Wake(usize),
}

struct Ingress {
    driver: DecisionDriver,
    next_request: RequestId,
    /// Number of attempts started for each request; the next attempt gets this number.
    attempts: HashMap<RequestId, u32>,
    /// Time of the pending wake-up event, ms; infinite without one.
    wake_ms: f64,
}

/// Ingresses, backends and a counter in virtual time.
pub struct Fleet {
    plan: FleetPlan,
    schedule: Schedule<Event>,
    random: Rand64,
    ingresses: Vec<Ingress>,
    backends: Vec<Backend>,
    totals: BTreeMap<u64, f64>,
    counts: FleetCounts,
}

impl Fleet {
    /// Creates a fleet in which every ingress has all backends in its list. The first request
    /// arrives at once.
    ///
    /// # Errors
    /// The decision module rejects the plan's settings.
    pub fn start(plan: FleetPlan) -> Result<Fleet, SettingsError> {
        let schedule = Schedule::new(1e6);
        let now = schedule.now_ms();
        let mut fleet = Fleet {
            schedule,
            random: Rand64::new(plan.seed.into()),
            ingresses: Vec::new(),
            backends: (0..plan.backends).map(|_| Backend::default()).collect(),
            totals: BTreeMap::new(),
            counts: FleetCounts::default(),
            plan,
        };
        let backends: Vec<EndpointEntry> = (0..fleet.plan.backends).map(entry).collect();
        for position in 0..fleet.plan.ingresses {
            let settings = settings::settings(fleet.plan.ingresses, position, fleet.plan.quota);
            let seed = fleet.plan.seed << 16 | u64::from(position);
            let mut driver = DecisionDriver::new(settings, seed)?;
            driver.observe(
                now,
                Observation::EndpointList(ListKind::Full, backends.clone()),
            );
            let attempts = HashMap::new();
            fleet.ingresses.push(Ingress {
                driver,
                next_request: 1,
                attempts,
                wake_ms: f64::INFINITY,
            });
            fleet.process_pending(position as usize);
        }
        fleet.schedule.after(0.0, Event::Arrival);
        Ok(fleet)
    }

    /// Advances virtual time by `seconds`.
    pub fn run(&mut self, seconds: f64) {
        let end = self.schedule.now_ms() + 1e3 * seconds;
        while let Some(event) = self.schedule.next_by(end) {
            self.handle_event(event);
        }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> FleetCounts {
        self.counts
    }

    /// Returns the traffic of each backend so far.
    pub fn stats(&mut self) -> Vec<BackendStats> {
        let now = self.schedule.now_ms();
        self.backends
            .iter_mut()
            .map(|backend| backend.stats(now))
            .collect()
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.schedule.now_ms();
        match event {
            Event::Arrival => self.handle_arrival(),
            Event::AttemptEnds {
                ingress,
                backend,
                request,
                attempt,
                outcome,
            } => {
                self.backends[backend as usize].attempt_ended(now, ingress, outcome == Outcome::Ok);
                let finished = outcome == Outcome::Ok;
                let (load, cost) = (Vec::new(), None);
                let end = AttemptReport {
                    request,
                    attempt,
                    outcome,
                    request_finished: finished,
                    load_report: load,
                    settled_units: cost,
                };
                self.report(ingress, Observation::AttemptEnded(end));
            }
            Event::CounterAnswers {
                ingress,
                name,
                total,
            } => {
                self.report(
                    ingress,
                    Observation::CounterAnswered {
                        name,
                        outcome: Outcome::Ok,
                        total,
                    },
                );
            }
            Event::ProbeEnds {
                ingress,
                backend,
                outcome,
            } => {
                self.report(
                    ingress,
                    Observation::ProbeEnded {
                        endpoint: backend,
                        outcome,
                        load_report: Vec::new(),
                    },
                );
            }
            Event::Wake(ingress) => {
                self.ingresses[ingress].wake_ms = f64::INFINITY;
                self.ingresses[ingress].driver.tick(now);
                self.process_pending(ingress);
            }
        }
    }

    fn report(&mut self, ingress: usize, report: Observation) {
        let now = self.schedule.now_ms();
        self.ingresses[ingress].driver.observe(now, report);
        self.process_pending(ingress);
    }

    /// Submits a request of a random tenant to a random one of the tenant's ingresses.
    fn handle_arrival(&mut self) {
        let mean_ms = 1e3 / self.plan.requests_per_second;
        let wait = -mean_ms * (1.0 - self.random.rand_float()).ln();
        self.schedule.after(wait, Event::Arrival);
        let now = self.schedule.now_ms();
        let tenant = self.random.rand_range(0..self.plan.tenants);
        let all = self.plan.ingresses;
        let first = (tenant % u64::from(all)) as u32;
        let spread = self.plan.spread.min(all);
        let ingress =
            ((first + self.random.rand_range(0..u64::from(spread)) as u32) % all) as usize;
        let attributes = RequestAttributes {
            class: 0,
            plan: 0,
            tenant,
            units: 1.0,
            ingress_count: spread,
            first_ingress: first,
            is_retry: false,
            pools: ALL_ENDPOINTS,
        };
        self.counts.requests += 1;
        let request = self.ingresses[ingress].next_request;
        self.ingresses[ingress].next_request += 1;
        let verdict = self.ingresses[ingress].driver.decide(
            now,
            request,
            &attributes,
            now + REQUEST_TIMEOUT_MS,
        );
        self.carry_out(ingress, request, verdict);
        self.process_pending(ingress);
    }

    /// Executes all pending verdicts and actions of an ingress' module, and schedules its next
    /// timer.
    fn process_pending(&mut self, ingress: usize) {
        loop {
            if let Some((request, verdict)) = self.ingresses[ingress].driver.next_verdict() {
                self.carry_out(ingress, request, verdict);
            } else if let Some(action) = self.ingresses[ingress].driver.next_action() {
                self.carry_out_action(ingress, action);
            } else {
                break;
            }
        }
        let current = &mut self.ingresses[ingress];
        if let Some(due) = current
            .driver
            .next_due_ms()
            .map(|due| due + ROUNDING_MS)
            .filter(|due| *due < current.wake_ms)
        {
            current.wake_ms = due;
            self.schedule.at(due, Event::Wake(ingress));
        }
    }

    fn carry_out(&mut self, ingress: usize, request: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Pending => {}
            Verdict::Send { endpoint, .. } => self.send(ingress, request, endpoint),
            Verdict::Reject { .. } => {
                self.counts.refused += 1;
                self.ingresses[ingress].attempts.remove(&request);
            }
            Verdict::Fail => drop(self.ingresses[ingress].attempts.remove(&request)),
        }
    }

    fn send(&mut self, ingress: usize, request: RequestId, backend: u32) {
        self.counts.attempts += 1;
        let number = self.ingresses[ingress].attempts.entry(request).or_insert(0);
        let attempt = *number;
        *number += 1;
        let now = self.schedule.now_ms();
        self.backends[backend as usize].attempt_started(now, ingress);
        let outcome = self.outcome(backend);
        let attempt_end = Event::AttemptEnds {
            ingress,
            backend,
            request,
            attempt,
            outcome,
        };
        self.schedule.after(BACKEND_LATENCY_MS, attempt_end);
    }

    fn carry_out_action(&mut self, ingress: usize, action: DriverAction) {
        match action {
            DriverAction::AddToCounter(add) => self.count(ingress, add),
            DriverAction::Probe(backend) => {
                self.counts.probes += 1;
                self.backends[backend as usize].probe_started(ingress);
                let outcome = self.outcome(backend);
                self.schedule.after(
                    BACKEND_LATENCY_MS,
                    Event::ProbeEnds {
                        ingress,
                        backend,
                        outcome,
                    },
                );
            }
            DriverAction::Cancel { .. } | DriverAction::FollowEndpointList => {}
        }
    }

    fn count(&mut self, ingress: usize, add: CounterAdd) {
        self.counts.counter_calls += 1;
        let total = self.totals.entry(add.name).or_insert(0.0);
        *total += add.amount;
        let answer = Event::CounterAnswers {
            ingress,
            name: add.name,
            total: *total,
        };
        self.schedule.after(COUNTER_LATENCY_MS, answer);
    }

    fn outcome(&self, backend: u32) -> Outcome {
        match backend == 0 && self.plan.first_is_down {
            true => Outcome::ConnectFailed,
            false => Outcome::Ok,
        }
    }

    /// Returns the number of ingresses that have sent attempts; a check on the distribution of
    /// requests.
    pub fn busy_ingresses(&self) -> usize {
        let all: BTreeSet<usize> = self.backends.iter().flat_map(Backend::senders).collect();
        all.len()
    }
}

fn entry(host: u32) -> EndpointEntry {
    let state = EndpointState::Ready;
    EndpointEntry {
        id: host,
        zone: 0,
        cell: 0,
        state,
        capacity: 1.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    }
}
