//! Interface of the decision module for network code: [`DecisionDriver::decide`],
//! [`DecisionDriver::observe`], [`DecisionDriver::tick`].
//!
//! The driver owns the engine and its timers, and converts between the milliseconds of network code
//! and the seconds of the engine. Network code sees verdicts and driver actions, never the engine's
//! events or actions. The driver must not make decisions itself, nor use any attribute of a request
//! that the engine does not need.

use crate::decision::{
    Action, AttemptEnd, DecisionEngine, EndpointEntry, Event, ListKind, Outcome, Pools,
    RejectionCounts, Request, Settings, SettingsError,
};
use crate::units::MS_PER_S;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub use crate::decision::{EndpointId, RequestId};

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1e3;

/// Decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is pending; a later call produces its verdict.
    Pending,
    /// Send an attempt.
    Send {
        /// Destination of the attempt.
        endpoint: EndpointId,
        /// Timeout of the attempt, ms; 0: until the client gives up.
        attempt_timeout_ms: f64,
    },
    /// Final answer: the request is rejected.
    Reject {
        /// Retry-After, ms; 0: none.
        retry_after_ms: f64,
    },
    /// Final answer: the request has failed.
    Fail,
}

/// Work that is not a verdict on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DriverAction {
    /// Cancel an attempt.
    Cancel {
        /// Request of the attempt.
        request: RequestId,
        /// Number of the attempt within its request, from 0.
        attempt: u32,
    },
    /// Check the health of an endpoint and request its load report.
    Probe(EndpointId),
    /// Poll the endpoint list, or subscribe to its changes.
    FollowEndpointList,
    /// Add to a total on the counter service.
    AddToCounter(CounterAdd),
}

/// A counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterAdd {
    /// Name of the total on the counter.
    pub name: u64,
    /// Amount to add, in units; 0 only reads the total, a negative amount subtracts.
    pub amount: f64,
    /// If the call creates the total, the total expires after this time, ms.
    pub lifetime_ms: f64,
}

/// Attributes of a request that decisions depend on.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAttributes {
    /// Class of the request, by index.
    pub class: usize,
    /// Plan of the tenant, by index.
    pub plan: usize,
    /// Tenant that the request belongs to.
    pub tenant: u64,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of ingresses that the tenant's requests arrive through.
    pub ingress_count: u32,
    /// Index of the first of these ingresses.
    pub first_ingress: u32,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// Pools whose endpoints the request may be sent to.
    pub pools: Pools,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// Request of the attempt.
    pub request: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Load report of the endpoint; empty if there was none.
    pub load_report: Vec<f64>,
    /// Actual units, if the answer reported them.
    pub settled_units: Option<f64>,
}

/// An input of the engine other than a request or a timer.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint list: complete, in part, or as last known.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The client has disconnected.
    ClientGone(RequestId),
    /// A health check has ended.
    ProbeEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// Load report, in the order of [`Settings::load_report_fields`]; empty if there was none.
        load_report: Vec<f64>,
    },
    /// A counter call has ended.
    CounterAnswered {
        /// Name of the total on the counter.
        name: u64,
        /// How the call ended.
        outcome: Outcome,
        /// Total after the call, in units; valid only if the outcome is [`Outcome::Ok`].
        total: f64,
    },
    /// The total of a call that had already timed out has arrived.
    CounterAnsweredLate {
        /// Name of the total on the counter.
        name: u64,
        /// Amount that the call added, in units.
        amount: f64,
        /// Total after the call, in units.
        total: f64,
    },
}

/// A timer of the engine. Ordered by due time, then by token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EngineTimer {
    due_us: u64,
    token: u64,
}

/// Owns the decision engine and its timers. Times are milliseconds of one monotonic clock.
pub struct DecisionDriver {
    engine: DecisionEngine,
    /// Timers, the earliest first.
    timers: BinaryHeap<Reverse<EngineTimer>>,
    /// Empty between calls; kept to reuse its allocation.
    actions: Vec<Action>,
    verdicts: VecDeque<(RequestId, Verdict)>,
    pending_actions: VecDeque<DriverAction>,
}

fn microseconds(ms: f64) -> u64 {
    (ms.max(0.0) * US_PER_MS) as u64
}

impl DecisionDriver {
    /// Creates a driver with a new engine. `seed` initializes the engine's random numbers.
    ///
    /// # Errors
    /// Returns the first invalid field of the settings.
    pub fn new(settings: Settings, seed: u64) -> Result<DecisionDriver, SettingsError> {
        Ok(DecisionDriver {
            engine: DecisionEngine::new(settings, seed)?,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            verdicts: VecDeque::new(),
            pending_actions: VecDeque::new(),
        })
    }

    /// Handles a request that arrives at `now_ms` and whose client gives up at `give_up_ms`.
    /// Returns the verdict on it.
    pub fn decide(
        &mut self,
        now_ms: f64,
        id: RequestId,
        attributes: &RequestAttributes,
        give_up_ms: f64,
    ) -> Verdict {
        let request = Request {
            id,
            gives_up_at: give_up_ms / MS_PER_S,
            class: attributes.class,
            plan: attributes.plan,
            tenant: attributes.tenant,
            units: attributes.units,
            ingress_count: attributes.ingress_count,
            first_ingress: attributes.first_ingress,
            is_retry: attributes.is_retry,
            pools: attributes.pools,
        };
        self.handle(now_ms, Event::RequestArrived(request));
        self.take_verdict(id).unwrap_or(Verdict::Pending)
    }

    /// Handles an attempt whose answer makes no progress. Returns the verdict to send a further
    /// attempt in place of the stalled one, or `None` if the stalled one goes on.
    pub fn attempt_stalled(&mut self, now_ms: f64, id: RequestId, attempt: u32) -> Option<Verdict> {
        self.handle(now_ms, Event::AttemptStalled { id, attempt });
        self.take_verdict(id)
    }

    fn take_verdict(&mut self, id: RequestId) -> Option<Verdict> {
        let position = self
            .verdicts
            .iter()
            .position(|(request, _)| *request == id)?;
        self.verdicts.remove(position).map(|(_, verdict)| verdict)
    }

    /// Handles an observation made at `now_ms`. Verdicts and driver actions may follow.
    pub fn observe(&mut self, now_ms: f64, observation: Observation) {
        let event = match observation {
            Observation::EndpointList(kind, entries) => Event::EndpointList { kind, entries },
            Observation::AttemptEnded(end) => Event::AttemptEnded(AttemptEnd {
                id: end.request,
                attempt: end.attempt,
                outcome: end.outcome,
                request_finished: end.request_finished,
                settled_units: end.settled_units,
                report: end.load_report,
            }),
            Observation::ClientGone(request) => Event::ClientGone { id: request },
            Observation::ProbeEnded {
                endpoint,
                outcome,
                load_report,
            } => Event::ProbeEnded {
                endpoint,
                outcome,
                report: load_report,
            },
            Observation::CounterAnswered {
                name,
                outcome,
                total,
            } => Event::CounterAnswered {
                name,
                outcome,
                total,
            },
            Observation::CounterAnsweredLate {
                name,
                amount,
                total,
            } => Event::CounterAnsweredLate {
                name,
                amount,
                total,
            },
        };
        self.handle(now_ms, event);
    }

    /// Handles the timers that are due by `now_ms`. A timer that they set waits for the next call,
    /// since it is due at least one microsecond later.
    pub fn tick(&mut self, now_ms: f64) {
        let now_us = microseconds(now_ms);
        while let Some(Reverse(timer)) = self.timers.peek().copied() {
            if timer.due_us > now_us {
                break;
            }
            self.timers.pop();
            self.handle(now_ms, Event::Timer { token: timer.token });
        }
    }

    /// Returns when the next timer is due, ms. Removes timers that the engine no longer needs,
    /// mostly answer timers of requests that were answered long before.
    pub fn next_due_ms(&mut self) -> Option<f64> {
        while let Some(Reverse(timer)) = self.timers.peek() {
            if self.engine.needs_timer(timer.token) {
                return Some(timer.due_us as f64 / US_PER_MS);
            }
            self.timers.pop();
        }
        None
    }

    /// Returns the number of tenants that are remembered.
    pub fn tenants(&self) -> usize {
        self.engine.tenants()
    }

    /// Returns the number of counter calls whose totals are awaited.
    pub fn awaited_calls(&self) -> usize {
        self.engine.awaited_calls()
    }

    /// Returns the requests that the engine rejected since the start, by cause.
    pub fn rejections(&self) -> RejectionCounts {
        self.engine.rejections()
    }

    /// Returns the next queued verdict, for a request that was pending or whose attempt has ended.
    pub fn next_verdict(&mut self) -> Option<(RequestId, Verdict)> {
        self.verdicts.pop_front()
    }

    /// Returns the next queued driver action.
    pub fn next_action(&mut self) -> Option<DriverAction> {
        self.pending_actions.pop_front()
    }

    fn handle(&mut self, now_ms: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now_ms / MS_PER_S, event, &mut actions);
        for action in actions.drain(..) {
            self.handle_action(now_ms, action);
        }
        self.actions = actions;
    }

    fn handle_action(&mut self, now_ms: f64, action: Action) {
        match action {
            Action::Send {
                id,
                endpoint,
                timeout,
            } => {
                let attempt_timeout_ms = timeout * MS_PER_S;
                let verdict = Verdict::Send {
                    endpoint,
                    attempt_timeout_ms,
                };
                self.verdicts.push_back((id, verdict));
            }
            Action::Reject { id, retry_after } => {
                let retry_after_ms = retry_after * MS_PER_S;
                let verdict = Verdict::Reject { retry_after_ms };
                self.verdicts.push_back((id, verdict));
            }
            Action::Fail { id } => self.verdicts.push_back((id, Verdict::Fail)),
            Action::Timer { after, token } => self.set_timer(now_ms, after, token),
            Action::Cancel { id, attempt } => {
                self.pending_actions.push_back(DriverAction::Cancel {
                    request: id,
                    attempt,
                });
            }
            Action::Probe { endpoint } => {
                self.pending_actions
                    .push_back(DriverAction::Probe(endpoint));
            }
            Action::FollowEndpointList => {
                self.pending_actions
                    .push_back(DriverAction::FollowEndpointList);
            }
            Action::AddToCounter {
                name,
                amount,
                lives,
            } => {
                let call = CounterAdd {
                    name,
                    amount,
                    lifetime_ms: lives * MS_PER_S,
                };
                self.pending_actions
                    .push_back(DriverAction::AddToCounter(call));
            }
        }
    }

    /// Sets a timer that is due `after` seconds from now, at least one microsecond, so that it is
    /// never due within the call that sets it.
    fn set_timer(&mut self, now_ms: f64, after: f64, token: u64) {
        let due_us = microseconds(now_ms + after * MS_PER_S).max(microseconds(now_ms) + 1);
        self.timers.push(Reverse(EngineTimer { due_us, token }));
    }
}
