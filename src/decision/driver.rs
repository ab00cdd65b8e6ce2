//! The decision module in blocking style: [`Facade::pick`], [`Facade::report`], [`Facade::tick`]. It owns the
//! module, its timers, and the turn from milliseconds to the module's seconds. Network code sees verdicts and
//! errands, never the module's events or actions. It must never decide anything itself, nor know a command
//! beyond the figures that the module asks for.

use crate::decision::balance::Gateway;
use crate::decision::{
    Action, AttemptEnd, Event, HostEntry, ListKind, Outcome, Pools, Request, Settings,
    SettingsError,
};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

/// A command held by this ingress.
pub type CommandId = u32;
/// An instance, as numbered by the name table.
pub type InstanceId = u32;

/// What is to be done with a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// Wait: a later call brings the verdict.
    Hold,
    /// Send an attempt; it waits this long at most, 0: until the client gives up.
    Send {
        /// Where to.
        instance: InstanceId,
        /// How long it may last.
        patience_ms: f64,
    },
    /// Final answer: refused; come back after so long, 0: no advice.
    Nack {
        /// Milliseconds to stay away.
        after_ms: f64,
    },
    /// Final answer: failed.
    Fail,
}

/// Work beside the commands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Errand {
    /// Stop waiting for an attempt.
    Cancel(CommandId, u32),
    /// Ask an instance for its load.
    Probe(InstanceId),
    /// Follow the name table.
    Follow,
    /// Add to a number on the counter.
    Count(Add),
}

/// A counter call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Add {
    /// The number's name.
    pub name: u64,
    /// What to add; 0 reads.
    pub amount: f64,
    /// A new name is forgotten after this long, ms.
    pub lives_ms: f64,
}

/// The figures of a command that decisions rest on.
#[derive(Clone, Debug, PartialEq)]
pub struct Ask {
    /// Its class, by index.
    pub class: usize,
    /// The partner's plan, by index.
    pub plan: usize,
    /// The partner.
    pub customer: u64,
    /// Units that it takes from the quota.
    pub units: f64,
    /// Through how many ingresses the partner comes.
    pub spread: u32,
    /// The first of them.
    pub first: u32,
    /// Marked by the client as a retry.
    pub repeat: bool,
    /// The pools whose instances it may be sent to.
    pub pools: Pools,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct Ended {
    /// Its command.
    pub command: CommandId,
    /// Its number.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// The command has its final answer.
    pub finished: bool,
    /// The instance's load report, if one came.
    pub load: Vec<f64>,
    /// The true units, if they came.
    pub cost: Option<f64>,
}

/// News for the module.
#[derive(Clone, Debug, PartialEq)]
pub enum Report {
    /// The name table: all of it, a change, or the list as last known.
    Names(ListKind, Vec<HostEntry>),
    /// An attempt has ended.
    Ended(Ended),
    /// The service client has gone.
    ClientGone(CommandId),
    /// A probe has ended, with the load it brought.
    Probed(InstanceId, Outcome, Vec<f64>),
    /// A counter call for this name has ended, with the total.
    Counted(u64, Outcome, f64),
    /// One that had ended without has a total after all: name, amount, total.
    CountedLate(u64, f64, f64),
}

/// The module behind its three calls.
pub struct Facade {
    gateway: Gateway,
    timers: BinaryHeap<Reverse<(u64, u64)>>,
    actions: Vec<Action>,
    verdicts: VecDeque<(CommandId, Verdict)>,
    errands: VecDeque<Errand>,
}

fn micros(ms: f64) -> u64 {
    (ms.max(0.0) * 1e3) as u64
}

impl Facade {
    /// The module at its start.
    ///
    /// # Errors
    /// Settings that make no sense, by field.
    pub fn new(settings: Settings, seed: u64) -> Result<Facade, SettingsError> {
        Ok(Facade {
            gateway: Gateway::new(settings, seed)?,
            timers: BinaryHeap::new(),
            actions: Vec::new(),
            verdicts: VecDeque::new(),
            errands: VecDeque::new(),
        })
    }

    /// A command has come in: the verdict on it.
    pub fn pick(&mut self, now: f64, id: CommandId, ask: &Ask, give_up: f64) -> Verdict {
        let request = Request {
            id,
            give_up: give_up / 1e3,
            class: ask.class,
            plan: ask.plan,
            customer: ask.customer,
            units: ask.units,
            spread: ask.spread,
            first: ask.first,
            repeat: ask.repeat,
            pools: ask.pools,
        };
        self.handle(now, Event::Arrived(request));
        match self.verdicts.iter().position(|(command, _)| *command == id) {
            Some(at) => self
                .verdicts
                .remove(at)
                .map_or(Verdict::Hold, |(_, verdict)| verdict),
            None => Verdict::Hold,
        }
    }

    /// Something has happened; verdicts and errands may follow.
    pub fn report(&mut self, now: f64, report: Report) {
        let event = match report {
            Report::Names(kind, entries) => Event::Hosts { kind, entries },
            Report::Ended(end) => Event::Ended(AttemptEnd {
                id: end.command,
                attempt: end.attempt,
                outcome: end.outcome,
                finished: end.finished,
                settled: end.cost,
                report: end.load,
            }),
            Report::ClientGone(command) => Event::ClientGone { id: command },
            Report::Probed(instance, outcome, load) => Event::Probed {
                host: instance,
                outcome,
                report: load,
            },
            Report::Counted(name, outcome, total) => Event::Counted {
                name,
                outcome,
                total,
            },
            Report::CountedLate(name, amount, total) => Event::CountedLate {
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

    /// When the next timer comes due. Those that the module has no use for any more are dropped here: most
    /// are the answer timers of commands that were served long before.
    pub fn next_due(&mut self) -> Option<f64> {
        while self
            .timers
            .peek()
            .is_some_and(|Reverse((_, token))| !self.gateway.awaits(*token))
        {
            self.timers.pop();
        }
        self.timers
            .peek()
            .map(|Reverse((due, _))| *due as f64 / 1e3)
    }

    /// The next verdict that an earlier call left, for a command that was held or lost an attempt.
    pub fn next_verdict(&mut self) -> Option<(CommandId, Verdict)> {
        self.verdicts.pop_front()
    }

    /// The next errand.
    pub fn next_errand(&mut self) -> Option<Errand> {
        self.errands.pop_front()
    }

    fn handle(&mut self, now: f64, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.gateway.handle(now / 1e3, event, &mut actions);
        for action in actions.drain(..) {
            match action {
                Action::Send { id, host, timeout } => self.verdicts.push_back((
                    id,
                    Verdict::Send {
                        instance: host,
                        patience_ms: timeout * 1e3,
                    },
                )),
                Action::Refuse { id, retry_after } => {
                    self.verdicts.push_back((
                        id,
                        Verdict::Nack {
                            after_ms: retry_after * 1e3,
                        },
                    ));
                }
                Action::Fail { id } => self.verdicts.push_back((id, Verdict::Fail)),
                Action::Cancel { id, attempt } => {
                    self.errands.push_back(Errand::Cancel(id, attempt));
                }
                // One microsecond on at least, so that a timer never comes due within its own call.
                Action::Timer { after, token } => {
                    self.timers.push(Reverse((
                        micros(now + after * 1e3).max(micros(now) + 1),
                        token,
                    )));
                }
                Action::Probe { host } => self.errands.push_back(Errand::Probe(host)),
                Action::FollowList => self.errands.push_back(Errand::Follow),
                Action::Count {
                    name,
                    amount,
                    lives,
                } => {
                    self.errands.push_back(Errand::Count(Add {
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
