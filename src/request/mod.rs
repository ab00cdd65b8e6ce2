//! The life of commands, whatever wire they came by. It owns every command from its arrival to its one final
//! answer, the attempts made for it, their deadlines, and the drain before a stop. It must never read or
//! write a socket, know RESP or HTTP, or ask the system for the time; and it decides nothing about whom to
//! serve: that is the module's, behind the facade.

use crate::buffer::body_stream::Outlet;
use crate::config::settings::Platform;
use crate::decision::driver::{
    Add, Ask, CommandId, Ended, Errand, Facade, InstanceId, Report, Verdict,
};
use crate::decision::{
    Class, Effect as Repeat, Group, HostEntry, HostState, ListKind, Outcome, ALL_HOSTS,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

/// Where an instance stands: its zone and its cell.
type Place = (u32, u32);

/// What a service client asks for, free of any wire.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The figures that decisions rest on.
    pub ask: Ask,
    /// The partner as the client wrote it.
    pub customer: String,
    /// The command's id as the client wrote it.
    pub id: String,
    /// Names and values in the client's order, `c`, `t` and `d` among them: `c=...,t=...`.
    pub terms: String,
    /// How long the client waits, counted from its send.
    pub patience_ms: f64,
    /// The body, if there is one.
    pub body: Option<Vec<u8>>,
    /// What an operator's hook noted on it.
    pub notes: Vec<(String, String)>,
}

/// Why a command cannot be taken. It gets a failed answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCommand {
    /// A value that is missing or makes no sense.
    #[error("bad {0}")]
    Term(&'static str),
    /// A class that the settings do not name.
    #[error("unknown class")]
    Class,
    /// A plan that the settings do not name.
    #[error("unknown plan")]
    Plan,
}

/// Longest id and longest list of names and values.
const MOST_ID: usize = 128;
const MOST_TERMS: usize = 1024;
/// Longest key of a keyed command.
const MOST_KEY: usize = 64;
/// Customers are numbers below this.
const CUSTOMERS: u64 = 1 << 33;
/// Longest wait that a client may name.
const MOST_PATIENCE_MS: f64 = 3.6e6;

/// A number as the platform writes it: digits, at most one point. What else Rust reads as a number (`inf`,
/// `1e9`, `+2`) is none to an instance.
pub fn decimal(text: &str) -> Option<f64> {
    let plain = text.len() <= 32 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse()
        .ok()
        .filter(|_| plain && text.starts_with(|c: char| c.is_ascii_digit()))
}

/// The names and values of `a=1,b=2`.
pub fn pairs(terms: &str) -> impl Iterator<Item = (&str, &str)> {
    terms.split(',').filter_map(|term| term.split_once('='))
}

impl Command {
    /// Builds a command from the names and values that every wire carries in one form or another.
    ///
    /// # Errors
    /// The first value that makes no sense.
    pub fn new(
        platform: &Platform,
        customer: &str,
        id: &str,
        terms: String,
        body: Option<Vec<u8>>,
    ) -> Result<Command, BadCommand> {
        let settings = &platform.module;
        // Guards instances, which close on what they cannot read, whatever else waits on the connection: only
        // what is readable throughout goes on.
        let readable =
            |text: &str, most| text.len() <= most && text.bytes().all(|b| b.is_ascii_graphic());
        if !readable(&terms, MOST_TERMS) || terms.split(',').any(|term| !term.contains('=')) {
            return Err(BadCommand::Term("terms"));
        }
        if id.is_empty() || !readable(id, MOST_ID) {
            return Err(BadCommand::Term("id"));
        }
        let find = |name: &str| pairs(&terms).find(|(n, _)| *n == name).map(|(_, v)| v);
        let number = |name: &'static str, most: f64| {
            find(name)
                .and_then(decimal)
                .filter(|v| *v <= most)
                .ok_or(BadCommand::Term(name))
        };
        let whole = |name, least: f64, most| {
            let value = number(name, most)?;
            if value >= least && value.fract() == 0.0 {
                Ok(value as u32)
            } else {
                Err(BadCommand::Term(name))
            }
        };
        let digits = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
        let customer_id = u64::from_str_radix(customer, 16)
            .ok()
            .filter(|id| digits && *id < CUSTOMERS);
        let class = find("c").and_then(|c| platform.classes.iter().position(|n| n == c));
        let plan = find("t").and_then(|t| platform.plans.iter().position(|n| n == t));
        let ask = Ask {
            class: class.ok_or(BadCommand::Class)?,
            plan: plan.ok_or(BadCommand::Plan)?,
            customer: customer_id.ok_or(BadCommand::Term("customer"))?,
            // Guards quotas: one command with a million units in a partner's name would use up all it has.
            units: number("units", settings.most_units).and_then(|u| {
                if u > 0.0 {
                    Ok(u)
                } else {
                    Err(BadCommand::Term("units"))
                }
            })?,
            spread: whole("spread", 1.0, f64::from(settings.gateways))?,
            first: whole("first", 0.0, f64::from(settings.gateways) - 1.0)?,
            repeat: match find("r") {
                None | Some("0") => false,
                Some("1") => true,
                Some(_) => return Err(BadCommand::Term("r")),
            },
            pools: ALL_HOSTS,
        };
        let patience_ms = number("d", MOST_PATIENCE_MS)?;
        // Guards the rule on double effects: what cannot be known again by its key must not be repeated.
        let keyed = settings.classes[ask.class].effect == Repeat::Keyed;
        if keyed && !find("k").is_some_and(|key| (1..=MOST_KEY).contains(&key.len())) {
            return Err(BadCommand::Term("k"));
        }
        // Guards the quota: an instance must not read other units or another class than this ingress did.
        for name in ["c", "t", "d", "r", "k", "units", "spread", "first"] {
            if pairs(&terms).filter(|(n, _)| *n == name).count() > 1 {
                return Err(BadCommand::Term("terms"));
            }
        }
        let (customer, id, notes) = (customer.into(), id.into(), Vec::new());
        let mut command = Command {
            ask,
            customer,
            id,
            terms,
            patience_ms,
            body: None,
            notes,
        };
        command.take_body(platform, body)?;
        Ok(command)
    }

    /// Gives it its body, where that comes later than its head.
    ///
    /// # Errors
    /// A body that its class does not have.
    pub fn take_body(
        &mut self,
        platform: &Platform,
        body: Option<Vec<u8>>,
    ) -> Result<(), BadCommand> {
        // Guards the instances' grammar: a query never has a body, whatever else never lacks one.
        let safe = platform.module.classes[self.ask.class].effect == Repeat::Safe;
        self.body = match (safe, body) {
            (true, Some(body)) if !body.is_empty() => return Err(BadCommand::Term("body")),
            (true, _) => None,
            (false, body) => Some(body.unwrap_or_default()),
        };
        Ok(())
    }

    /// Memory that it holds, roughly.
    fn size(&self) -> usize {
        512 + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// What an instance gave.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    /// All of it.
    Whole(Vec<u8>),
    /// It is large, and is passed on while it comes.
    Coming(Rc<Outlet>),
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Served, with the value that an instance gave.
    Served(Value),
    /// Refused; trying again is harmless, after so long.
    Nack {
        /// Milliseconds to stay away; 0: no advice.
        after_ms: f64,
    },
    /// Failed: by an instance, or for want of time (`late`).
    Failed {
        /// For want of time, not by an instance's word.
        late: bool,
    },
}

/// An attempt to make.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// Its command's number.
    pub id: CommandId,
    /// Its own number among the command's attempts, from 0.
    pub attempt: u32,
    /// Where to.
    pub instance: InstanceId,
    /// What.
    pub command: Rc<Command>,
    /// Until when it may last, on the clock.
    pub until: f64,
}

/// Work for the network, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Give a service client its answer.
    Reply(CommandId, Answer),
    /// Start an attempt.
    Start(Start),
    /// Abandon an attempt: its connection must be closed before anything else is done.
    Abandon(CommandId, u32),
    /// Ask an instance for its load.
    Probe(InstanceId),
    /// Add to a number on the counter.
    Count(Add),
    /// Close the idle connections to an instance that is leaving or has left.
    Release(InstanceId),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// The outcome.
    pub outcome: Outcome,
    /// What it brought if it was served.
    pub value: Option<Value>,
    /// The instance's load report, if one came along.
    pub load: Vec<f64>,
    /// The true units, where they are settled by the answer and it named them.
    pub cost: Option<f64>,
}

impl End {
    /// An end that brought nothing.
    pub fn without(outcome: Outcome) -> End {
        End {
            outcome,
            value: None,
            load: Vec::new(),
            cost: None,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
struct Attempt {
    out: bool,
    may_have_run: bool,
    sent: f64,
    /// Where its instance stood when it was sent: zone and cell.
    place: Place,
}

struct Held {
    command: Rc<Command>,
    give_up: f64,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl Held {
    /// Whether telling the client to come again can do no harm.
    fn harmless(&self, class: &Class) -> bool {
        class.effect == Repeat::Safe || self.attempts.iter().all(|a| !a.may_have_run)
    }

    /// The attempts that are out.
    fn out(&self) -> Vec<u32> {
        (0..)
            .zip(&self.attempts)
            .filter(|(_, a)| a.out)
            .map(|(i, _)| i)
            .collect()
    }

    /// Whether sending it once more, to an instance that stands there, can do no harm: what may have run, or may
    /// yet, is repeated only where the class is safe, or where every instance of the group knows its key.
    fn repeatable(&self, now: f64, class: &Class, place: Place, dial_ms: f64) -> bool {
        let ran = || self.attempts.iter().filter(|a| a.may_have_run);
        match class.effect {
            Repeat::Safe => true,
            Repeat::Unsafe => ran().next().is_none(),
            Repeat::Keyed => ran().all(|a| {
                let known = match class.group {
                    Group::All => true,
                    Group::Zone => a.place.0 == place.0,
                    Group::Cell => a.place == place,
                };
                // It may be written as late as its connection comes up.
                known && now - a.sent + dial_ms < 1e3 * class.window
            }),
        }
    }
}

/// Figures for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Commands taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub nacked: u64,
    /// Failed.
    pub failed: u64,
    /// Clients gone before their answer.
    pub gone: u64,
    /// Attempts.
    pub attempts: u64,
    /// Counter calls.
    pub counts: u64,
}

/// All commands of this ingress.
pub struct Core {
    platform: Rc<Platform>,
    facade: Facade,
    held: HashMap<CommandId, Held>,
    expiries: BinaryHeap<Reverse<(u64, CommandId, u32)>>,
    ready: BTreeMap<InstanceId, (bool, Place)>,
    effects: VecDeque<Effect>,
    next: CommandId,
    bytes: usize,
    most_bytes: usize,
    open: usize,
    tally: Tally,
}

impl Core {
    /// No commands yet. `most_bytes` bounds the memory that held commands may take.
    pub fn new(platform: Rc<Platform>, facade: Facade, most_bytes: usize) -> Core {
        Core {
            platform,
            facade,
            held: HashMap::new(),
            expiries: BinaryHeap::new(),
            ready: BTreeMap::new(),
            effects: VecDeque::new(),
            next: 1,
            bytes: 0,
            most_bytes,
            open: 0,
            tally: Tally::default(),
        }
    }

    /// Takes a command that was read at `now`; its one answer comes as [`Effect::Reply`].
    pub fn arrive(&mut self, now: f64, command: Command) -> CommandId {
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        self.tally.taken += 1;
        // Guards memory: nothing has been sent on, so the refusal is harmless for every class.
        if self.held.len() >= self.platform.most_held
            || self.bytes + command.size() > self.most_bytes
        {
            self.turn_away(id, 500.0);
            return id;
        }
        // Guards memory: the deadline's timers live as long as it, whatever a client writes.
        let longest = 1e3 * self.platform.module.classes[command.ask.class].deadline;
        let give_up = now + command.patience_ms.min(longest);
        self.bytes += command.size();
        let command = Rc::new(command);
        let held = Held {
            command: command.clone(),
            give_up,
            answered: false,
            attempts: Vec::new(),
        };
        self.held.insert(id, held);
        self.open += 1;
        let verdict = self.facade.pick(now, id, &command.ask, give_up);
        self.carry_out(now, id, verdict);
        self.settle(now);
        id
    }

    /// Refuses a command before any decision, on an operator's word; its answer comes as for any other.
    pub fn refuse(&mut self, after_ms: f64) -> CommandId {
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        self.tally.taken += 1;
        self.turn_away(id, after_ms);
        id
    }

    fn turn_away(&mut self, id: CommandId, after_ms: f64) {
        self.tally.nacked += 1;
        self.effects
            .push_back(Effect::Reply(id, Answer::Nack { after_ms }));
    }

    /// The service client has gone: nothing is owed, and its attempts are abandoned.
    pub fn client_gone(&mut self, now: f64, id: CommandId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.answered) else {
            return;
        };
        held.answered = true;
        let out = held.out();
        self.open -= 1;
        self.tally.gone += 1;
        self.facade.report(now, Report::ClientGone(id));
        for attempt in out {
            self.abandon(now, id, attempt, Outcome::Cancelled);
        }
        self.forget(id);
        self.settle(now);
    }

    /// The process ends before the deadlines of what it holds: each command gets its final answer now, a refusal
    /// (come back after so long) where trying again is harmless.
    pub fn give_up(&mut self, now: f64, after_ms: f64) {
        let mut ids: Vec<CommandId> = self
            .held
            .iter()
            .filter(|(_, h)| !h.answered)
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        for id in ids {
            let Some(held) = self.held.get(&id) else {
                continue;
            };
            let out = held.out();
            let answer = self.refusal(id, after_ms, true);
            // For the module it is as if its client had gone: nothing is sent again.
            self.facade.report(now, Report::ClientGone(id));
            self.finish(id, answer);
            for attempt in out {
                self.abandon(now, id, attempt, Outcome::Cancelled);
            }
        }
        self.settle(now);
    }

    /// An attempt has ended on its own.
    pub fn attempt_ended(&mut self, now: f64, id: CommandId, attempt: u32, end: End) {
        self.end(now, id, attempt, end);
        self.settle(now);
    }

    /// A counter call has ended.
    pub fn counted(&mut self, now: f64, name: u64, outcome: Outcome, total: f64) {
        self.facade
            .report(now, Report::Counted(name, outcome, total));
        self.settle(now);
    }

    /// The total of a call that was given up before has come after all.
    pub fn counted_late(&mut self, now: f64, add: Add, total: f64) {
        self.facade
            .report(now, Report::CountedLate(add.name, add.amount, total));
        self.settle(now);
    }

    /// A probe has ended.
    pub fn probed(&mut self, now: f64, instance: InstanceId, outcome: Outcome, load: Vec<f64>) {
        self.facade
            .report(now, Report::Probed(instance, outcome, load));
        self.settle(now);
    }

    /// The name table has news.
    pub fn names(&mut self, now: f64, kind: ListKind, entries: Vec<HostEntry>) {
        if kind != ListKind::Delta {
            self.ready
                .values_mut()
                .for_each(|(ready, _)| *ready = false);
        }
        for entry in &entries {
            let place = (entry.zone, entry.cell);
            self.ready
                .insert(entry.host, (entry.state == HostState::Ready, place));
        }
        let left = self
            .ready
            .iter()
            .filter(|(_, (ready, _))| !ready)
            .map(|(id, _)| *id);
        self.effects.extend(left.map(Effect::Release));
        self.ready.retain(|_, (ready, _)| *ready);
        self.facade.report(now, Report::Names(kind, entries));
        self.settle(now);
    }

    /// Lets timers and deadlines come due.
    pub fn tick(&mut self, now: f64) {
        self.facade.tick(now);
        self.settle(now);
        while let Some(Reverse((due, id, attempt))) = self.expiries.peek().copied() {
            if due as f64 > now * 1e3 {
                break;
            }
            self.expiries.pop();
            if self.is_out(id, attempt) {
                self.abandon(now, id, attempt, Outcome::Timeout);
                self.settle(now);
            }
        }
    }

    /// Whether an instance may be sent commands right now.
    pub fn takes(&self, instance: InstanceId) -> bool {
        self.ready.contains_key(&instance)
    }

    /// When [`Core::tick`] must be called at the latest. Deadlines of attempts that are over are dropped here:
    /// each would cost a wake-up for nothing.
    pub fn next_due(&mut self) -> Option<f64> {
        while self
            .expiries
            .peek()
            .is_some_and(|Reverse((_, id, attempt))| !self.is_out(*id, *attempt))
        {
            self.expiries.pop();
        }
        let expiry = self
            .expiries
            .peek()
            .map(|Reverse((due, _, _))| *due as f64 / 1e3);
        match (self.facade.next_due(), expiry) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// The next piece of work for the network.
    pub fn next_effect(&mut self) -> Option<Effect> {
        self.effects.pop_front()
    }

    /// Commands that are still owed an answer.
    pub fn owed(&self) -> usize {
        self.open
    }

    /// Figures so far.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Instances that take commands.
    pub fn instances(&self) -> usize {
        self.ready.len()
    }

    fn is_out(&self, id: CommandId, attempt: u32) -> bool {
        self.held
            .get(&id)
            .and_then(|h| h.attempts.get(attempt as usize))
            .is_some_and(|a| a.out)
    }

    /// Carries out what the facade left: verdicts may bring further ones.
    fn settle(&mut self, now: f64) {
        loop {
            if let Some((id, verdict)) = self.facade.next_verdict() {
                self.carry_out(now, id, verdict);
                continue;
            }
            match self.facade.next_errand() {
                Some(Errand::Cancel(command, attempt)) => {
                    if self.is_out(command, attempt) {
                        self.abandon(now, command, attempt, Outcome::Cancelled);
                    }
                }
                Some(Errand::Probe(instance)) => self.effects.push_back(Effect::Probe(instance)),
                // The name table is followed from the start, whoever asks.
                Some(Errand::Follow) => {}
                Some(Errand::Count(add)) => {
                    self.tally.counts += 1;
                    self.effects.push_back(Effect::Count(add));
                }
                None => return,
            }
        }
    }

    fn carry_out(&mut self, now: f64, id: CommandId, verdict: Verdict) {
        match verdict {
            Verdict::Hold => {}
            Verdict::Send {
                instance,
                patience_ms,
            } => self.send(now, id, instance, patience_ms),
            Verdict::Nack { after_ms } => {
                let answer = self.refusal(id, after_ms, false);
                self.finish(id, answer);
            }
            Verdict::Fail => {
                let late = self.held.get(&id).is_some_and(|h| now + 10.0 >= h.give_up);
                self.finish(id, Answer::Failed { late });
            }
        }
    }

    /// A refusal. Guards the rule against double effects: whatever was decided, a command that may have run is not
    /// told to come again, but has failed.
    fn refusal(&self, id: CommandId, after_ms: f64, late: bool) -> Answer {
        let class = |h: &Held| &self.platform.module.classes[h.command.ask.class];
        if self.held.get(&id).is_some_and(|h| h.harmless(class(h))) {
            Answer::Nack { after_ms }
        } else {
            Answer::Failed { late }
        }
    }

    fn send(&mut self, now: f64, id: CommandId, instance: InstanceId, patience_ms: f64) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let attempt = held.attempts.len() as u32;
        let class = &self.platform.module.classes[held.command.ask.class];
        let settings = &self.platform.module;
        // Guards three rules whatever the module asks: two attempts out only where the settings allow it, no second
        // run of work with an effect, nothing to an instance that is leaving.
        let place = self.ready.get(&instance).map(|(_, place)| *place);
        let allowed = !held.answered
            && (settings.second_copies || held.attempts.iter().all(|a| !a.out))
            && place.is_some_and(|place| held.repeatable(now, class, place, self.platform.dial_ms))
            && attempt < settings.max_attempts
            && now < held.give_up;
        let place = place.unwrap_or_default();
        held.attempts.push(Attempt {
            out: allowed,
            may_have_run: allowed,
            sent: now,
            place,
        });
        if !allowed {
            let finished = held.answered;
            let outcome = Outcome::Moot;
            let end = Ended {
                command: id,
                attempt,
                outcome,
                finished,
                load: Vec::new(),
                cost: None,
            };
            return self.facade.report(now, Report::Ended(end));
        }
        let until = if patience_ms > 0.0 {
            held.give_up.min(now + patience_ms)
        } else {
            held.give_up
        };
        let command = held.command.clone();
        self.tally.attempts += 1;
        self.expiries
            .push(Reverse(((until * 1e3) as u64, id, attempt)));
        self.effects.push_back(Effect::Start(Start {
            id,
            attempt,
            instance,
            command,
            until,
        }));
    }

    fn abandon(&mut self, now: f64, id: CommandId, attempt: u32, outcome: Outcome) {
        self.effects.push_back(Effect::Abandon(id, attempt));
        self.end(now, id, attempt, End::without(outcome));
    }

    fn end(&mut self, now: f64, id: CommandId, attempt: u32, end: End) {
        let End {
            outcome,
            value,
            load,
            cost,
        } = end;
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let Some(a) = held.attempts.get_mut(attempt as usize).filter(|a| a.out) else {
            return;
        };
        a.out = false;
        a.may_have_run = !matches!(
            outcome,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot
        );
        if let Some(value) = value.filter(|_| outcome == Outcome::Ok) {
            self.finish(id, Answer::Served(value));
        }
        let finished = self.held.get(&id).is_none_or(|h| h.answered);
        let end = Ended {
            command: id,
            attempt,
            outcome,
            finished,
            load,
            cost,
        };
        self.facade.report(now, Report::Ended(end));
        self.forget(id);
    }

    /// The one place where a command gets its answer, once.
    fn finish(&mut self, id: CommandId, answer: Answer) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.answered) else {
            return;
        };
        held.answered = true;
        self.open -= 1;
        match answer {
            Answer::Served(_) => self.tally.served += 1,
            Answer::Nack { .. } => self.tally.nacked += 1,
            Answer::Failed { .. } => self.tally.failed += 1,
        }
        self.effects.push_back(Effect::Reply(id, answer));
        self.forget(id);
    }

    fn forget(&mut self, id: CommandId) {
        if let Some(held) = self
            .held
            .get(&id)
            .filter(|h| h.answered && h.attempts.iter().all(|a| !a.out))
        {
            self.bytes -= held.command.size();
            self.held.remove(&id);
        }
    }
}
