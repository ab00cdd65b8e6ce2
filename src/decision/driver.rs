//! The decision module in blocking style: [`DecisionDriver::pick`], [`DecisionDriver::report`],
//! [`DecisionDriver::tick`]. It owns the module, its timers, and the turn from milliseconds to the
//! module's seconds. Network code sees verdicts and errands, never the module's events or actions.
//! It must never decide anything itself, nor know a request beyond the figures that the module asks
//! for.

use crate::decision::{
    Action, AttemptEnd, DecisionEngine, EndpointEntry, Event, ListKind, Outcome, Pools, Request,
    Settings, SettingsError,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A request held by this ingress.
pub type RequestId = u32;
/// An endpoint, as numbered by the endpoint registry.
pub type EndpointId = u32;

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Wait: a later call brings the verdict.
    Hold,
    /// Send an attempt; it waits this long at most, 0: until the client gives up.
    Send {
        /// Where to.
        endpoint: EndpointId,
        /// How long it may last.
        client_timeout_ms: f64,
    },
    /// Final answer: refused; come back after so long, 0: no advice.
    Reject {
        /// Milliseconds to stay away.
        retry_after_ms: f64,
    },
    /// Final answer: failed.
    Fail,
}

/// Work beside the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DriverAction {
    /// Stop waiting for an attempt.
    Cancel(RequestId, u32),
    /// Ask an endpoint for its load.
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
    /// What to add; 0 reads.
    pub amount: f64,
    /// A new name is forgotten after this long, ms.
    pub lives_ms: f64,
}

/// The figures of a request that decisions rest on.
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
    /// Through how many ingresses the tenant comes.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
    /// Marked by the client as a retry.
    pub repeat: bool,
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
    /// How.
    pub outcome: Outcome,
    /// The request has its final answer.
    pub request_finished: bool,
    /// The endpoint's load report, if one came.
    pub load: Vec<f64>,
    /// The true units, if they came.
    pub settled_units: Option<f64>,
}

/// News for the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Observation {
    /// The endpoint registry: all of it, a change, or the list as last known.
    EndpointList(ListKind, Vec<EndpointEntry>),
    /// An attempt has ended.
    AttemptEnded(AttemptReport),
    /// The client has gone.
    ClientGone(RequestId),
    /// A probe has ended, with the load it brought.
    ProbeEnded(EndpointId, Outcome, Vec<f64>),
    /// A counter call for this name has ended, with the total.
    CounterAnswered(u64, Outcome, f64),
    /// One that had ended without has a total after all: name, amount, total.
    CounterAnsweredLate(u64, f64, f64),
}

/// The module behind its three calls.
pub struct DecisionDriver {
    engine: DecisionEngine,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    actions: Vec<Action>,
    verdicts: VecDeque<(RequestId, Verdict)>,
    pending_actions: VecDeque<DriverAction>,
}

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1e3) as u64
}

impl DecisionDriver {
    /// The module at its start.
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

    /// A request has come in: the verdict on it.
    pub fn decide(
        &mut self,
        now: f64,
        id: RequestId,
        ask: &RequestAttributes,
        give_up: f64,
    ) -> Verdict {
        let request = Request {
            id,
            give_up: give_up / 1e3,
            class: ask.class,
            plan: ask.plan,
            tenant: ask.tenant,
            units: ask.units,
            spread: ask.spread,
            first: ask.first,
            repeat: ask.repeat,
            pools: ask.pools,
        };
        self.handle(now, Event::RequestArrived(request));
        match self.verdicts.iter().position(|(request, _)| *request == id) {
            Some(at) => self
                .verdicts
                .remove(at)
                .map_or(Verdict::Hold, |(_, verdict)| verdict),
            None => Verdict::Hold,
        }
    }

    /// Something has happened; verdicts and errands may follow.
    pub fn observe(&mut self, now: f64, report: Observation) {
        let event = match report {
            Observation::EndpointList(kind, entries) => Event::EndpointList { kind, entries },
            Observation::AttemptEnded(end) => Event::AttemptEnded(AttemptEnd {
                id: end.request,
                attempt: end.attempt,
                outcome: end.outcome,
                request_finished: end.request_finished,
                settled_units: end.settled_units,
                report: end.load,
            }),
            Observation::ClientGone(request) => Event::ClientGone { id: request },
            Observation::ProbeEnded(endpoint, outcome, load) => Event::ProbeEnded {
                endpoint,
                outcome,
                report: load,
            },
            Observation::CounterAnswered(name, outcome, total) => Event::CounterAnswered {
                name,
                outcome,
                total,
            },
            Observation::CounterAnsweredLate(name, amount, total) => Event::CounterAnsweredLate {
                name,
                amount,
                total,
            },
        };
        self.handle(now, event);
    }

    /// Lets the module's timers come due.
    pub fn tick(&mut self, now: f64) {
        // Only those due by now: one that is set by these waits for the next call, as on the wire.
        while let Some(Reverse((due, token))) = self.timers.peek().copied() {
            if due > micros(now) {
                break;
            }
            self.timers.pop();
            self.handle(now, Event::Timer { token });
        }
    }

    /// When the next timer comes due. Those that the module has no use for any more are dropped
    /// here: most are the answer timers of requests that were served long before.
    pub fn next_due(&mut self) -> Option<f64> {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((_, token))| !self.engine.awaits(*token))
        {
            self.timers.pop();
        }
        self.timers
            .peek()
            .map(|Reverse((due, _))| *due as f64 / 1e3)
    }

    /// The next verdict that an earlier call left, for a request that was held or lost an attempt.
    pub fn next_verdict(&mut self) -> Option<(RequestId, Verdict)> {
        self.verdicts.pop_front()
    }

    /// The next errand.
    pub fn next_action(&mut self) -> Option<DriverAction> {
        self.pending_actions.pop_front()
    }

    fn handle(&mut self, now: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.engine.handle(now / 1e3, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send {
                    id,
                    endpoint,
                    timeout,
                } => self.verdicts.push_back((
                    id,
                    Verdict::Send {
                        endpoint,
                        client_timeout_ms: timeout * 1e3,
                    },
                )),
                Action::Reject { id, retry_after } => {
                    self.verdicts.push_back((
                        id,
                        Verdict::Reject {
                            retry_after_ms: retry_after * 1e3,
                        },
                    ));
                }
                Action::Fail { id } => self.verdicts.push_back((id, Verdict::Fail)),
                Action::Cancel { id, attempt } => {
                    self.pending_actions
                        .push_back(DriverAction::Cancel(id, attempt));
                }
                // One microsecond on at least, so that a timer never comes due within its own call.
                Action::Timer { after, token } => {
                    self.timers.push(Reverse((
                        micros(now + after * 1e3).max(micros(now) + 1),
                        token,
                    )));
                }
                Action::Probe { endpoint } => self
                    .pending_actions
                    .push_back(DriverAction::Probe(endpoint)),
                Action::FollowEndpointList => self
                    .pending_actions
                    .push_back(DriverAction::FollowEndpointList),
                Action::AddToCounter {
                    name,
                    amount,
                    lives,
                } => {
                    self.pending_actions
                        .push_back(DriverAction::AddToCounter(CounterAdd {
                            name,
                            amount,
                            lives_ms: lives * 1e3,
                        }));
                }
            }
        }
        self.actions = actions;
    }
}
