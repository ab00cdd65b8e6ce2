//! The decision module in blocking style: [`DecisionDriver::decide`], [`DecisionDriver::observe`],
//! [`DecisionDriver::tick`].
//!
//! It owns the engine, its timers, and the turn from the milliseconds of network code to the
//! engine's seconds. Network code sees verdicts and driver actions, never the engine's events or
//! actions. It must never decide anything itself, nor know a request beyond the figures that the
//! engine asks for.

use crate::decision::{
    Action, AttemptEnd, DecisionEngine, EndpointEntry, Event, ListKind, Outcome, Pools, Request,
    Settings, SettingsError,
};
use crate::units::MS_PER_S;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

pub use crate::decision::{EndpointId, RequestId};

/// Microseconds of a millisecond.
const US_PER_MS: f64 = 1e3;

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// The request is pending: a later call brings the verdict.
    Pending,
    /// Send an attempt.
    Send {
        /// Where to.
        endpoint: EndpointId,
        /// How long it may last, ms; 0: until the client gives up.
        attempt_timeout_ms: f64,
    },
    /// Final answer: rejected.
    Reject {
        /// Retry-After, ms; 0: none.
        retry_after_ms: f64,
    },
    /// Final answer: failed.
    Fail,
}

/// Work beside the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DriverAction {
    /// Stop waiting for an attempt: its request, and its number among the request's attempts.
    Cancel {
        /// The request.
        request: RequestId,
        /// The number of its attempt, from 0.
        attempt: u32,
    },
    /// Check the health of an endpoint, and ask for its load report.
    Probe(EndpointId),
    /// Follow the endpoint registry.
    FollowEndpointList,
    /// Add to a number on the counter.
    AddToCounter(CounterAdd),
}

/// A counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CounterAdd {
    /// The number's name.
    pub name: u64,
    /// What to add, units; 0 reads, below 0 takes off.
    pub amount: f64,
    /// A new name is forgotten after this long, ms.
    pub lifetime_ms: f64,
}

/// The attributes of a request that decisions rest on.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestAttributes {
    /// Its class, by index.
    pub class: usize,
    /// The tenant's plan, by index.
    pub plan: usize,
    /// The tenant.
    pub tenant: u64,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Through how many ingresses the tenant's requests come.
    pub ingress_count: u32,
    /// The first of them, by number.
    pub first_ingress: u32,
    /// Marked by the client as a retry.
    pub is_retry: bool,
    /// The pools whose endpoints it may be sent to.
    pub pools: Pools,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptReport {
    /// Its request.
    pub request: RequestId,
    /// Its number.
    pub attempt: u32,
    /// How it ended.
    pub outcome: Outcome,
    /// The request has its final answer.
    pub request_finished: bool,
    /// The endpoint's load report, if one came.
    pub load_report: Vec<f64>,
    /// The true units, if they came with the answer.
    pub settled_units: Option<f64>,
}

/// What has happened, for the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint registry: all of it, a change, or the list as last known.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The client has gone.
    ClientGone(RequestId),
    /// A health check has ended, with the load report that it brought.
    ProbeEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The load report, in the order of the settings' columns; empty: none came.
        load_report: Vec<f64>,
    },
    /// A counter call for this name has ended, with the total.
    CounterAnswered {
        /// The number's name.
        name: u64,
        /// How the call ended.
        outcome: Outcome,
        /// The total after the call, in units; counts if the outcome is [`Outcome::Ok`].
        total: f64,
    },
    /// A call that had ended without a total has one after all.
    CounterAnsweredLate {
        /// The number's name.
        name: u64,
        /// What the call added, in units.
        amount: f64,
        /// The total after the call, in units.
        total: f64,
    },
}

/// A timer of the engine. Ordered by when it is due, then by token.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct EngineTimer {
    due_us: u64,
    token: u64,
}

/// The engine behind its three calls. Times are milliseconds on one clock that never goes back.
pub struct DecisionDriver {
    engine: DecisionEngine,
    /// Next due first.
    timers: BinaryHeap<Reverse<EngineTimer>>,
    /// Kept empty between calls, for its memory.
    actions: Vec<Action>,
    verdicts: VecDeque<(RequestId, Verdict)>,
    pending_actions: VecDeque<DriverAction>,
}

fn microseconds(ms: f64) -> u64 {
    (ms.max(0.0) * US_PER_MS) as u64
}

impl DecisionDriver {
    /// The driver of an engine that knows nothing yet; `seed` is that of its random numbers.
    ///
    /// # Errors
    /// Settings that make no sense, by field.
    pub fn new(settings: Settings, seed: u64) -> Result<DecisionDriver, SettingsError> {
        Ok(DecisionDriver {
            engine: DecisionEngine::new(settings, seed)?,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            verdicts: VecDeque::new(),
            pending_actions: VecDeque::new(),
        })
    }

    /// A request has come in at `now_ms`, and its client gives up at `give_up_ms`: the verdict on
    /// it.
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

    fn take_verdict(&mut self, id: RequestId) -> Option<Verdict> {
        let position = self.verdicts.iter().position(|(of, _)| *of == id)?;
        self.verdicts.remove(position).map(|(_, verdict)| verdict)
    }

    /// Something has happened at `now_ms`; verdicts and driver actions may follow.
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

    /// Lets the engine's timers come due that are due by `now_ms`. One that is set by these waits
    /// for the next call, as on the wire.
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

    /// When the next timer comes due, ms. Those that the engine has no use for any more are dropped
    /// here: most are the answer timers of requests that were served long before.
    pub fn next_due_ms(&mut self) -> Option<f64> {
        while let Some(Reverse(timer)) = self.timers.peek() {
            if self.engine.awaits(timer.token) {
                return Some(timer.due_us as f64 / US_PER_MS);
            }
            self.timers.pop();
        }
        None
    }

    /// The next verdict that an earlier call left, for a request that was pending or lost an
    /// attempt.
    pub fn next_verdict(&mut self) -> Option<(RequestId, Verdict)> {
        self.verdicts.pop_front()
    }

    /// The next driver action.
    pub fn next_action(&mut self) -> Option<DriverAction> {
        self.pending_actions.pop_front()
    }

    fn handle(&mut self, now_ms: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now_ms / MS_PER_S, event, &mut actions);
        for action in actions.drain(..) {
            self.take_action(now_ms, action);
        }
        self.actions = actions;
    }

    fn take_action(&mut self, now_ms: f64, action: Action) {
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

    /// Sets a timer that is due `after` seconds from now, one microsecond at least, so that it
    /// never comes due within its own call.
    fn set_timer(&mut self, now_ms: f64, after: f64, token: u64) {
        let due_us = microseconds(now_ms + after * MS_PER_S).max(microseconds(now_ms) + 1);
        self.timers.push(Reverse(EngineTimer { due_us, token }));
    }
}
