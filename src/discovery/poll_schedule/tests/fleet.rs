//! Simulation of a fleet that has lost a discovery of fixed capacity, with seeded random numbers.

use crate::discovery::poll_schedule::{Failures, PollSchedule, RetrySchedule};

/// Unix time at which a simulation begins, ms.
const START_MS: f64 = 1.7e12;
/// Shortest outage of discovery, ms; the longest is twice this.
const OUTAGE_MS: f64 = 20_000.0;
/// End of a simulation, ms after discovery's recovery; an ingress without an answer by then never
/// gets one.
const END_MS: f64 = 300_000.0;

/// The result of a call during the outage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outage {
    /// The call fails at once.
    Refused,
    /// The call is not answered.
    Silent,
}

/// Fleet size and position in the settings of one ingress.
#[derive(Clone, Copy, Debug)]
pub struct IngressSettings {
    pub ingresses: u32,
    pub position: u32,
}

/// A fleet, and the discovery that recovers.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// One element for each running ingress.
    pub ingresses: Vec<IngressSettings>,
    /// Time that discovery needs for a call, ms; it serves one call at a time, including abandoned
    /// ones.
    pub call_ms: f64,
    pub outage: Outage,
    /// Largest clock error of an ingress, ms.
    pub clock_error_ms: f64,
    /// Whether the watch that an ingress opens after its answer costs discovery another call.
    pub watches_cost: bool,
    /// Discovery rejects calls that have waited this long, ms, and still works on them.
    pub rejects_after_ms: f64,
}

/// Results of a simulation; times are in ms after discovery's recovery, one for each ingress.
#[derive(Clone, Debug, PartialEq)]
pub struct Recovery {
    /// The first call that reached discovery.
    pub reached: Vec<f64>,
    /// The first answer.
    pub answered: Vec<f64>,
    /// Number of calls that reached discovery.
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

/// A simulated ingress.
struct Ingress {
    schedule: PollSchedule,
    /// How far its clock is ahead, ms.
    clock_error: f64,
    failures: Failures,
    /// Time of its next call by the true clock; none after its answer.
    due: Option<f64>,
}

/// How a call failed, and when.
enum CallFailure {
    /// The connect failed.
    Refused(f64),
    /// Discovery answered with an error status.
    Rejected(f64),
    Abandoned(f64),
}

impl Ingress {
    /// Schedules the retry of a call that was made at `began` and failed.
    fn schedule_retry(&mut self, began: f64, failure: CallFailure, random: f64) {
        let next_call_at = match failure {
            CallFailure::Refused(at) => {
                self.failures.add(None);
                self.schedule
                    .retry_at(at + self.clock_error, self.failures, random)
            }
            CallFailure::Rejected(at) => {
                self.failures.add(Some(at - began));
                self.schedule
                    .retry_at(at + self.clock_error, self.failures, random)
            }
            CallFailure::Abandoned(at) => {
                self.failures.add(None);
                retry_of_abandoned_at(&self.schedule, at + self.clock_error, self.failures, random)
            }
        };
        self.due = Some(next_call_at - self.clock_error);
    }
}

/// When a call made at `now` is abandoned, by the caller's clock.
pub fn abandoned_at(schedule: &PollSchedule, now: f64) -> f64 {
    match schedule.time_slots() {
        Some(slots) => slots.next_slot_at(now + schedule.answer_timeout_ms),
        None => now + schedule.answer_timeout_ms,
    }
}

/// When the call after an abandoned one is made, by the caller's clock.
pub fn retry_of_abandoned_at(
    schedule: &PollSchedule,
    now: f64,
    failures: Failures,
    random: f64,
) -> f64 {
    match schedule.retry {
        RetrySchedule::TimeSlots(_) => now,
        RetrySchedule::Backoff { .. } => schedule.retry_at(now, failures, random),
    }
}

impl Fleet {
    /// A fleet with correct settings and exact clocks.
    pub fn with_correct_settings(ingresses: u32, call_ms: f64, outage: Outage) -> Fleet {
        let ingresses = (0..ingresses)
            .map(|position| IngressSettings {
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

    /// Simulates a recovery of discovery at a random time.
    pub fn recover(&self, seed: u64) -> Recovery {
        let mut random = oorandom::Rand64::new(u128::from(seed));
        let recovered_at = START_MS + OUTAGE_MS * (1.0 + random.rand_float());
        let count = self.ingresses.len();
        let mut ingresses: Vec<Ingress> = Vec::new();
        for configured in &self.ingresses {
            let schedule = PollSchedule::new(true, configured.ingresses, configured.position);
            let clock_error = self.clock_error_ms * (2.0 * random.rand_float() - 1.0);
            let failed_at = START_MS + OUTAGE_MS / 4.0 * random.rand_float();
            let mut failures = Failures::default();
            failures.add(None);
            let due = schedule.retry_at(failed_at + clock_error, failures, random.rand_float())
                - clock_error;
            ingresses.push(Ingress {
                schedule,
                clock_error,
                failures,
                due: Some(due),
            });
        }
        let mut reached = vec![f64::INFINITY; count];
        let mut answered = vec![f64::INFINITY; count];
        let (mut free_at, mut calls) = (recovered_at, 0);
        loop {
            let due = ingresses
                .iter()
                .enumerate()
                .filter_map(|(i, ingress)| Some((i, ingress.due?)));
            let Some((i, now)) = due.min_by(|a, b| a.1.total_cmp(&b.1)) else {
                break;
            };
            if now > recovered_at + END_MS {
                break;
            }
            let ingress = &mut ingresses[i];
            let abandoned_at =
                abandoned_at(&ingress.schedule, now + ingress.clock_error) - ingress.clock_error;
            let rejected = now + self.rejects_after_ms;
            let unavailable = now < recovered_at;
            if !unavailable {
                calls += 1;
                free_at = free_at.max(now) + self.call_ms;
                reached[i] = reached[i].min(now - recovered_at);
                if free_at <= abandoned_at.min(rejected) {
                    answered[i] = free_at - recovered_at;
                    ingress.due = None;
                    if self.watches_cost {
                        free_at += self.call_ms;
                    }
                    continue;
                }
            }
            let failure = match self.outage {
                Outage::Refused if unavailable => CallFailure::Refused(now),
                _ if !unavailable && rejected < abandoned_at => CallFailure::Rejected(rejected),
                _ => CallFailure::Abandoned(abandoned_at),
            };
            ingress.schedule_retry(now, failure, random.rand_float());
        }
        Recovery {
            reached,
            answered,
            calls,
        }
    }
}
