//! A fleet of ingresses that have lost a discovery of fixed capacity, simulated with seeded random numbers.

use crate::discovery::poll_schedule::{Failures, PollSchedule, RetrySchedule};

/// Unix time at which a simulation begins, ms.
const START_MS: f64 = 1.7e12;
/// Discovery is away for this and up to as long again, ms.
const OUTAGE_MS: f64 = 20_000.0;
/// An ingress that has no answer by then is taken never to get one, ms after discovery's return.
const END_MS: f64 = 300_000.0;

/// What becomes of a call while discovery is away.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// It fails at once.
    Refused,
    /// It is not answered.
    Silent,
}

/// What one ingress is configured with.
#[derive(Clone, Copy, Debug)]
pub struct Configured {
    pub ingresses: u32,
    pub position: u32,
}

/// A fleet, and the discovery that comes back to it.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// One for each ingress that runs.
    pub ingresses: Vec<Configured>,
    /// Discovery takes so long for a call, one after the other, also for those that have been given up, ms.
    pub call_ms: f64,
    pub outage: Outage,
    /// Clocks are off by up to this, ms.
    pub clock_error_ms: f64,
    /// The watch that an ingress opens behind its answer costs discovery another call.
    pub watches_cost: bool,
    /// Discovery rejects calls that have waited so long, ms, and works on them all the same.
    pub rejects_after_ms: f64,
}

/// What came of it, for each ingress, ms after discovery could be reached.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// Its first call that reached discovery.
    pub reached: Vec<f64>,
    /// Its first answer.
    pub answered: Vec<f64>,
    /// Calls that reached discovery.
    pub calls: usize,
}

impl Recovery {
    pub fn last_reached(&self) -> f64 {
        self.reached.iter().copied().fold(0.0, f64::max)
    }

    pub fn last_answered(&self) -> f64 {
        self.answered.iter().copied().fold(0.0, f64::max)
    }
}

/// An ingress of the simulation.
struct Ingress {
    schedule: PollSchedule,
    /// Its clock is ahead by this, ms.
    clock_error: f64,
    failures: Failures,
    /// Its next call, in true time; none behind its answer.
    due: Option<f64>,
}

/// How a call failed, and when.
enum End {
    /// No connection came up.
    Refused(f64),
    /// Discovery answered with a status.
    Rejected(f64),
    GivenUp(f64),
}

impl Ingress {
    /// Sets the time of the call behind one that was made at `began` and failed.
    fn call_again(&mut self, began: f64, end: End, random: f64) {
        let again = match end {
            End::Refused(at) => {
                self.failures.add(None);
                self.schedule
                    .retry_at(at + self.clock_error, self.failures, random)
            }
            End::Rejected(at) => {
                self.failures.add(Some(at - began));
                self.schedule
                    .retry_at(at + self.clock_error, self.failures, random)
            }
            End::GivenUp(at) => {
                self.failures.add(None);
                after_given_up(&self.schedule, at + self.clock_error, self.failures, random)
            }
        };
        self.due = Some(again - self.clock_error);
    }
}

/// When a call made at `now` is given up, by the caller's clock.
pub fn given_up(schedule: &PollSchedule, now: f64) -> f64 {
    match schedule.time_slots() {
        Some(slots) => slots.next_slot_at(now + schedule.answer_timeout_ms),
        None => now + schedule.answer_timeout_ms,
    }
}

/// When the call behind one that was given up is made, by the caller's clock.
pub fn after_given_up(schedule: &PollSchedule, now: f64, failures: Failures, random: f64) -> f64 {
    match schedule.retry {
        RetrySchedule::TimeSlots(_) => now,
        RetrySchedule::Backoff { .. } => schedule.retry_at(now, failures, random),
    }
}

impl Fleet {
    /// A fleet that is configured as it is, with good clocks.
    pub fn sound(ingresses: u32, call_ms: f64, outage: Outage) -> Fleet {
        let ingresses = (0..ingresses)
            .map(|position| Configured {
                ingresses,
                position,
            })
            .collect();
        Fleet {
            ingresses,
            call_ms,
            outage,
            clock_error_ms: 0.0,
            watches_cost: false,
            rejects_after_ms: f64::INFINITY,
        }
    }

    /// Discovery's return, at a random time.
    pub fn recover(&self, seed: u64) -> Recovery {
        let mut random = oorandom::Rand64::new(u128::from(seed));
        let back = START_MS + OUTAGE_MS * (1.0 + random.rand_float());
        let count = self.ingresses.len();
        let mut ingresses: Vec<Ingress> = Vec::new();
        for configured in &self.ingresses {
            let schedule = PollSchedule::new(true, configured.ingresses, configured.position);
            let clock_error = self.clock_error_ms * (2.0 * random.rand_float() - 1.0);
            let lost = START_MS + OUTAGE_MS / 4.0 * random.rand_float();
            let mut failures = Failures::default();
            failures.add(None);
            let due =
                schedule.retry_at(lost + clock_error, failures, random.rand_float()) - clock_error;
            ingresses.push(Ingress {
                schedule,
                clock_error,
                failures,
                due: Some(due),
            });
        }
        let mut reached = vec![f64::INFINITY; count];
        let mut answered = vec![f64::INFINITY; count];
        let (mut free, mut calls) = (back, 0);
        loop {
            let due = ingresses
                .iter()
                .enumerate()
                .filter_map(|(i, ingress)| Some((i, ingress.due?)));
            let Some((i, now)) = due.min_by(|a, b| a.1.total_cmp(&b.1)) else {
                break;
            };
            if now > back + END_MS {
                break;
            }
            let ingress = &mut ingresses[i];
            let given_up =
                given_up(&ingress.schedule, now + ingress.clock_error) - ingress.clock_error;
            let rejected = now + self.rejects_after_ms;
            let away = now < back;
            if !away {
                calls += 1;
                free = free.max(now) + self.call_ms;
                reached[i] = reached[i].min(now - back);
                if free <= given_up.min(rejected) {
                    answered[i] = free - back;
                    ingress.due = None;
                    if self.watches_cost {
                        free += self.call_ms;
                    }
                    continue;
                }
            }
            let end = match self.outage {
                Outage::Refused if away => End::Refused(now),
                _ if !away && rejected < given_up => End::Rejected(rejected),
                _ => End::GivenUp(given_up),
            };
            ingress.call_again(now, end, random.rand_float());
        }
        Recovery {
            reached,
            answered,
            calls,
        }
    }
}
