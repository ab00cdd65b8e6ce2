//! Many ingresses' decision modules on one virtual clock: each behind its facade with its own timers, one counter for
//! all, and backends that only keep note of who comes to them.

mod backend;
mod settings;

pub use backend::Seen;

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

/// How long a backend takes for a request, ms.
const SERVICE_MS: f64 = 50.0;
/// How long the counter takes for a call, ms.
const COUNTER_MS: f64 = 5.0;
/// A client gives a request up after this, ms.
const PATIENCE_MS: f64 = 2000.0;
/// A timer is awaited so much longer, ms: the schedule's times are rounded.
const ROUNDING_MS: f64 = 0.002;

/// A fleet and what is asked of it.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Ingresses.
    pub ingresses: u32,
    /// Tenants that ask, each as often as every other.
    pub tenants: u64,
    /// Through how many ingresses each tenant comes.
    pub spread: u32,
    /// Units a second in each tenant's quota; 0: no quota.
    pub quota: f64,
    /// Requests a second of all tenants together, one unit each.
    pub requests_per_second: f64,
    /// Backends, all known to all ingresses.
    pub backends: u32,
    /// Whether the first backend turns every connection away.
    pub first_is_down: bool,
    /// Draws arrivals.
    pub seed: u64,
}

/// Counts of a run so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Requests that have come in.
    pub requests: u64,
    /// Requests refused.
    pub refused: u64,
    /// Attempts sent to backends.
    pub attempts: u64,
    /// Calls to the counter.
    pub counter_calls: u64,
    /// Probes of backends.
    pub probes: u64,
}

impl FleetCounts {
    /// What came in after an earlier reading.
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

/// What happens on the schedule.
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
    /// Attempts by request, for their numbers.
    attempts: HashMap<RequestId, u32>,
    /// When its next timer is awaited.
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
    /// A fleet whose ingresses all know all backends; the first request comes at once.
    ///
    /// # Errors
    /// The plan makes no sense to the module.
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
            fleet.settle(position as usize);
        }
        fleet.schedule.after(0.0, Event::Arrival);
        Ok(fleet)
    }

    /// Lets so much time pass, s.
    pub fn run(&mut self, seconds: f64) {
        let end = self.schedule.now_ms() + 1e3 * seconds;
        while let Some(event) = self.schedule.next_by(end) {
            self.take(event);
        }
    }

    /// Counts so far.
    pub fn counts(&self) -> FleetCounts {
        self.counts
    }

    /// What each backend sees now.
    pub fn seen(&mut self) -> Vec<Seen> {
        let now = self.schedule.now_ms();
        self.backends
            .iter_mut()
            .map(|backend| backend.seen(now))
            .collect()
    }

    fn take(&mut self, event: Event) {
        let now = self.schedule.now_ms();
        match event {
            Event::Arrival => self.arrive(),
            Event::AttemptEnds {
                ingress,
                backend,
                request,
                attempt,
                outcome,
            } => {
                self.backends[backend as usize].ended(now, ingress, outcome == Outcome::Ok);
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
                self.settle(ingress);
            }
        }
    }

    fn report(&mut self, ingress: usize, report: Observation) {
        let now = self.schedule.now_ms();
        self.ingresses[ingress].driver.observe(now, report);
        self.settle(ingress);
    }

    /// A request of a tenant drawn by chance, at one of its ingresses.
    fn arrive(&mut self) {
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
        let ask = RequestAttributes {
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
        let verdict = self.ingresses[ingress]
            .driver
            .decide(now, request, &ask, now + PATIENCE_MS);
        self.carry_out(ingress, request, verdict);
        self.settle(ingress);
    }

    /// Carries out what an ingress' module has left to do, and awaits its next timer.
    fn settle(&mut self, ingress: usize) {
        loop {
            if let Some((request, verdict)) = self.ingresses[ingress].driver.next_verdict() {
                self.carry_out(ingress, request, verdict);
            } else if let Some(action) = self.ingresses[ingress].driver.next_action() {
                self.carry_out_action(ingress, action);
            } else {
                break;
            }
        }
        let of = &mut self.ingresses[ingress];
        if let Some(due) = of
            .driver
            .next_due_ms()
            .map(|due| due + ROUNDING_MS)
            .filter(|due| *due < of.wake_ms)
        {
            of.wake_ms = due;
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
        self.backends[backend as usize].begun(now, ingress);
        let outcome = self.outcome(backend);
        let ends = Event::AttemptEnds {
            ingress,
            backend,
            request,
            attempt,
            outcome,
        };
        self.schedule.after(SERVICE_MS, ends);
    }

    fn carry_out_action(&mut self, ingress: usize, action: DriverAction) {
        match action {
            DriverAction::AddToCounter(add) => self.count(ingress, add),
            DriverAction::Probe(backend) => {
                self.counts.probes += 1;
                self.backends[backend as usize].probed(ingress);
                let outcome = self.outcome(backend);
                self.schedule.after(
                    SERVICE_MS,
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
        self.schedule.after(COUNTER_MS, answer);
    }

    fn outcome(&self, backend: u32) -> Outcome {
        match backend == 0 && self.plan.first_is_down {
            true => Outcome::ConnectFailed,
            false => Outcome::Ok,
        }
    }

    /// Ingresses that have sent anything to any backend, as a check on the spread of requests.
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
