//! The life of requests, whatever wire they came by. It owns every request from its arrival to its one final
//! answer, the attempts made for it, their deadlines, and the drain before a stop. It must never read or
//! write a socket, know RESP or HTTP, or ask the system for the time; and it decides nothing about whom to
//! serve: that is the module's, behind the driver.

use crate::buffer::body_stream::BodyReceiver;
use crate::config::settings::Platform;
use crate::decision::driver::{
    AttemptReport, CounterAdd, DecisionDriver, DriverAction, EndpointId, Observation,
    RequestAttributes, RequestId, Verdict,
};
use crate::decision::{
    Class, DeduplicationScope, EndpointEntry, EndpointState, Idempotency as Repeat, ListKind,
    Outcome, ALL_ENDPOINTS,
};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::rc::Rc;

/// Where an endpoint stands: its zone and its cell.
type Place = (u32, u32);

/// What a client asks for, free of any wire.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The figures that decisions rest on.
    pub ask: RequestAttributes,
    /// The tenant as the client wrote it.
    pub tenant: String,
    /// The request's id as the client wrote it.
    pub id: String,
    /// Names and values in the client's order, `c`, `t` and `d` among them: `c=...,t=...`.
    pub terms: String,
    /// How long the client waits, counted from its send.
    pub client_timeout_ms: f64,
    /// The body, if there is one.
    pub body: Option<Vec<u8>>,
    /// What an operator's hook noted on it.
    pub notes: Vec<(String, String)>,
}

/// Why a request cannot be taken. It gets a failed answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
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
const MAX_ID: usize = 128;
const MAX_TERMS: usize = 1024;
/// Longest key of a keyed request.
const MAX_KEY: usize = 64;
/// Tenants are numbers below this.
const TENANT_IDS: u64 = 1 << 33;
/// Longest wait that a client may name.
const MAX_PATIENCE_MS: f64 = 3.6e6;

/// A number as the platform writes it: digits, at most one point. What else Rust reads as a number (`inf`,
/// `1e9`, `+2`) is none to an endpoint.
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

impl ClientRequest {
    /// Builds a request from the names and values that every wire carries in one form or another.
    ///
    /// # Errors
    /// The first value that makes no sense.
    pub fn new(
        platform: &Platform,
        tenant: &str,
        id: &str,
        terms: String,
        body: Option<Vec<u8>>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let settings = &platform.decision;
        // Guards endpoints, which close on what they cannot read, whatever else waits on the connection: only
        // what is readable throughout goes on.
        let readable =
            |text: &str, max| text.len() <= max && text.bytes().all(|b| b.is_ascii_graphic());
        if !readable(&terms, MAX_TERMS) || terms.split(',').any(|term| !term.contains('=')) {
            return Err(InvalidRequest::Term("terms"));
        }
        if id.is_empty() || !readable(id, MAX_ID) {
            return Err(InvalidRequest::Term("id"));
        }
        let find = |name: &str| pairs(&terms).find(|(n, _)| *n == name).map(|(_, v)| v);
        let number = |name: &'static str, max: f64| {
            find(name)
                .and_then(decimal)
                .filter(|v| *v <= max)
                .ok_or(InvalidRequest::Term(name))
        };
        let whole = |name, min: f64, max| {
            let value = number(name, max)?;
            if value >= min && value.fract() == 0.0 {
                Ok(value as u32)
            } else {
                Err(InvalidRequest::Term(name))
            }
        };
        let digits = tenant.len() == 16 && tenant.bytes().all(|b| b.is_ascii_hexdigit());
        let tenant_id = u64::from_str_radix(tenant, 16)
            .ok()
            .filter(|id| digits && *id < TENANT_IDS);
        let class = find("c").and_then(|c| platform.classes.iter().position(|n| n == c));
        let plan = find("t").and_then(|t| platform.plans.iter().position(|n| n == t));
        let ask = RequestAttributes {
            class: class.ok_or(InvalidRequest::Class)?,
            plan: plan.ok_or(InvalidRequest::Plan)?,
            tenant: tenant_id.ok_or(InvalidRequest::Term("customer"))?,
            // Guards quotas: one request with a million units in a tenant's name would use up all it has.
            units: number("units", settings.max_units).and_then(|u| {
                if u > 0.0 {
                    Ok(u)
                } else {
                    Err(InvalidRequest::Term("units"))
                }
            })?,
            spread: whole("spread", 1.0, f64::from(settings.ingresses))?,
            first: whole("first", 0.0, f64::from(settings.ingresses) - 1.0)?,
            repeat: match find("r") {
                None | Some("0") => false,
                Some("1") => true,
                Some(_) => return Err(InvalidRequest::Term("r")),
            },
            pools: ALL_ENDPOINTS,
        };
        let client_timeout_ms = number("d", MAX_PATIENCE_MS)?;
        // Guards the rule on double effects: what cannot be known again by its key must not be repeated.
        let keyed = settings.classes[ask.class].idempotency == Repeat::Keyed;
        if keyed && !find("k").is_some_and(|key| (1..=MAX_KEY).contains(&key.len())) {
            return Err(InvalidRequest::Term("k"));
        }
        // Guards the quota: an endpoint must not read other units or another class than this ingress did.
        for name in ["c", "t", "d", "r", "k", "units", "spread", "first"] {
            if pairs(&terms).filter(|(n, _)| *n == name).count() > 1 {
                return Err(InvalidRequest::Term("terms"));
            }
        }
        let (tenant, id, notes) = (tenant.into(), id.into(), Vec::new());
        let mut request = ClientRequest {
            ask,
            tenant,
            id,
            terms,
            client_timeout_ms,
            body: None,
            notes,
        };
        request.take_body(platform, body)?;
        Ok(request)
    }

    /// Gives it its body, where that comes later than its head.
    ///
    /// # Errors
    /// A body that its class does not have.
    pub fn take_body(
        &mut self,
        platform: &Platform,
        body: Option<Vec<u8>>,
    ) -> Result<(), InvalidRequest> {
        // Guards the endpoints' grammar: a query never has a body, whatever else never lacks one.
        let safe = platform.decision.classes[self.ask.class].idempotency == Repeat::Safe;
        self.body = match (safe, body) {
            (true, Some(body)) if !body.is_empty() => return Err(InvalidRequest::Term("body")),
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

/// What an endpoint gave.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseBody {
    /// All of it.
    Complete(Vec<u8>),
    /// It is large, and is passed on while it comes.
    Streaming(Rc<BodyReceiver>),
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Served, with the value that an endpoint gave.
    Served(ResponseBody),
    /// Refused; trying again is harmless, after so long.
    Rejected {
        /// Milliseconds to stay away; 0: no advice.
        retry_after_ms: f64,
    },
    /// Failed: by an endpoint, or for want of time (`late`).
    Failed {
        /// For want of time, not by an endpoint's word.
        late: bool,
    },
}

/// An attempt to make.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptStart {
    /// Its request's number.
    pub id: RequestId,
    /// Its own number among the request's attempts, from 0.
    pub attempt: u32,
    /// Where to.
    pub endpoint: EndpointId,
    /// What.
    pub request: Rc<ClientRequest>,
    /// Until when it may last, on the clock.
    pub until: f64,
}

/// Work for the network, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give a client its answer.
    Reply(RequestId, FinalAnswer),
    /// Start an attempt.
    StartAttempt(AttemptStart),
    /// Abandon an attempt: its connection must be closed before anything else is done.
    AbandonAttempt(RequestId, u32),
    /// Ask an endpoint for its load.
    Probe(EndpointId),
    /// Add to a number on the counter.
    AddToCounter(CounterAdd),
    /// Close the idle connections to an endpoint that is leaving or has left.
    ReleaseEndpoint(EndpointId),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// What it brought if it was served.
    pub value: Option<ResponseBody>,
    /// The endpoint's load report, if one came along.
    pub load: Vec<f64>,
    /// The true units, where they are settled by the answer and it named them.
    pub settled_units: Option<f64>,
}

impl AttemptResult {
    /// An end that brought nothing.
    pub fn without(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            value: None,
            load: Vec::new(),
            settled_units: None,
        }
    }
}

#[derive(Clone, Copy, PartialEq)]
struct Attempt {
    out: bool,
    may_have_run: bool,
    sent: f64,
    /// Where its endpoint stood when it was sent: zone and cell.
    place: Place,
}

struct InFlightRequest {
    request: Rc<ClientRequest>,
    give_up: f64,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// Whether telling the client to come again can do no harm.
    fn harmless(&self, class: &Class) -> bool {
        class.idempotency == Repeat::Safe || self.attempts.iter().all(|a| !a.may_have_run)
    }

    /// The attempts that are out.
    fn out(&self) -> Vec<u32> {
        (0..)
            .zip(&self.attempts)
            .filter(|(_, a)| a.out)
            .map(|(i, _)| i)
            .collect()
    }

    /// Whether sending it once more, to an endpoint that stands there, can do no harm: what may have run, or may
    /// yet, is repeated only where the class is safe, or where every endpoint of the group knows its key.
    fn repeatable(&self, now: f64, class: &Class, place: Place, connect_timeout_ms: f64) -> bool {
        let ran = || self.attempts.iter().filter(|a| a.may_have_run);
        match class.idempotency {
            Repeat::Safe => true,
            Repeat::Unsafe => ran().next().is_none(),
            Repeat::Keyed => ran().all(|a| {
                let known = match class.deduplication_scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => a.place.0 == place.0,
                    DeduplicationScope::Cell => a.place == place,
                };
                // It may be written as late as its connection comes up.
                known && now - a.sent + connect_timeout_ms < 1e3 * class.idempotency_window
            }),
        }
    }
}

/// Figures for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests taken.
    pub taken: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub rejected: u64,
    /// Failed.
    pub failed: u64,
    /// Clients gone before their answer.
    pub gone: u64,
    /// Attempts.
    pub attempts: u64,
    /// Counter calls.
    pub counts: u64,
}

/// All requests of this ingress.
pub struct RequestTable {
    platform: Rc<Platform>,
    driver: DecisionDriver,
    held: HashMap<RequestId, InFlightRequest>,
    expiries: BinaryHeap<Reverse<(u64, RequestId, u32)>>,
    ready: BTreeMap<EndpointId, (bool, Place)>,
    effects: VecDeque<Action>,
    next: RequestId,
    bytes: usize,
    max_bytes: usize,
    open: usize,
    counts: RequestCounts,
}

impl RequestTable {
    /// No requests yet. `most_bytes` bounds the memory that held requests may take.
    pub fn new(platform: Rc<Platform>, driver: DecisionDriver, max_bytes: usize) -> RequestTable {
        RequestTable {
            platform,
            driver,
            held: HashMap::new(),
            expiries: BinaryHeap::new(),
            ready: BTreeMap::new(),
            effects: VecDeque::new(),
            next: 1,
            bytes: 0,
            max_bytes,
            open: 0,
            counts: RequestCounts::default(),
        }
    }

    /// Takes a request that was read at `now`; its one answer comes as [`Action::Reply`].
    pub fn arrive(&mut self, now: f64, request: ClientRequest) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        self.counts.taken += 1;
        // Guards memory: nothing has been forwarded, so the refusal is harmless for every class.
        if self.held.len() >= self.platform.max_in_flight_requests
            || self.bytes + request.size() > self.max_bytes
        {
            self.turn_away(id, 500.0);
            return id;
        }
        // Guards memory: the deadline's timers live as long as it, whatever a client writes.
        let longest = 1e3 * self.platform.decision.classes[request.ask.class].deadline;
        let give_up = now + request.client_timeout_ms.min(longest);
        self.bytes += request.size();
        let request = Rc::new(request);
        let held = InFlightRequest {
            request: request.clone(),
            give_up,
            answered: false,
            attempts: Vec::new(),
        };
        self.held.insert(id, held);
        self.open += 1;
        let verdict = self.driver.decide(now, id, &request.ask, give_up);
        self.carry_out(now, id, verdict);
        self.settle(now);
        id
    }

    /// Refuses a request before any decision, on an operator's word; its answer comes as for any other.
    pub fn refuse(&mut self, retry_after_ms: f64) -> RequestId {
        let id = self.next;
        self.next = self.next.wrapping_add(1).max(1);
        self.counts.taken += 1;
        self.turn_away(id, retry_after_ms);
        id
    }

    fn turn_away(&mut self, id: RequestId, retry_after_ms: f64) {
        self.counts.rejected += 1;
        self.effects
            .push_back(Action::Reply(id, FinalAnswer::Rejected { retry_after_ms }));
    }

    /// The client has gone: nothing is owed, and its attempts are abandoned.
    pub fn client_gone(&mut self, now: f64, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.answered) else {
            return;
        };
        held.answered = true;
        let out = held.out();
        self.open -= 1;
        self.counts.gone += 1;
        self.driver.observe(now, Observation::ClientGone(id));
        for attempt in out {
            self.abandon(now, id, attempt, Outcome::Cancelled);
        }
        self.forget(id);
        self.settle(now);
    }

    /// The process ends before the deadlines of what it holds: each request gets its final answer now, a refusal
    /// (come back after so long) where trying again is harmless.
    pub fn give_up(&mut self, now: f64, retry_after_ms: f64) {
        let mut ids: Vec<RequestId> = self
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
            let answer = self.refusal(id, retry_after_ms, true);
            // For the module it is as if its client had gone: nothing is sent again.
            self.driver.observe(now, Observation::ClientGone(id));
            self.finish(id, answer);
            for attempt in out {
                self.abandon(now, id, attempt, Outcome::Cancelled);
            }
        }
        self.settle(now);
    }

    /// An attempt has ended on its own.
    pub fn attempt_ended(&mut self, now: f64, id: RequestId, attempt: u32, end: AttemptResult) {
        self.end(now, id, attempt, end);
        self.settle(now);
    }

    /// A counter call has ended.
    pub fn counted(&mut self, now: f64, name: u64, outcome: Outcome, total: f64) {
        self.driver
            .observe(now, Observation::CounterAnswered(name, outcome, total));
        self.settle(now);
    }

    /// The total of a call that was given up before has come after all.
    pub fn counter_answered_late(&mut self, now: f64, add: CounterAdd, total: f64) {
        self.driver.observe(
            now,
            Observation::CounterAnsweredLate(add.name, add.amount, total),
        );
        self.settle(now);
    }

    /// A probe has ended.
    pub fn probed(&mut self, now: f64, endpoint: EndpointId, outcome: Outcome, load: Vec<f64>) {
        self.driver
            .observe(now, Observation::ProbeEnded(endpoint, outcome, load));
        self.settle(now);
    }

    /// The endpoint registry has news.
    pub fn update_endpoints(&mut self, now: f64, kind: ListKind, entries: Vec<EndpointEntry>) {
        if kind != ListKind::Delta {
            self.ready
                .values_mut()
                .for_each(|(ready, _)| *ready = false);
        }
        for entry in &entries {
            let place = (entry.zone, entry.cell);
            self.ready
                .insert(entry.id, (entry.state == EndpointState::Ready, place));
        }
        let left = self
            .ready
            .iter()
            .filter(|(_, (ready, _))| !ready)
            .map(|(id, _)| *id);
        self.effects.extend(left.map(Action::ReleaseEndpoint));
        self.ready.retain(|_, (ready, _)| *ready);
        self.driver
            .observe(now, Observation::EndpointList(kind, entries));
        self.settle(now);
    }

    /// Lets timers and deadlines come due.
    pub fn tick(&mut self, now: f64) {
        self.driver.tick(now);
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

    /// Whether an endpoint may be sent requests right now.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.ready.contains_key(&endpoint)
    }

    /// When [`RequestTable::tick`] must be called at the latest. Deadlines of attempts that are over are dropped here:
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
        match (self.driver.next_due(), expiry) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// The next piece of work for the network.
    pub fn next_action(&mut self) -> Option<Action> {
        self.effects.pop_front()
    }

    /// Requests that are still owed an answer.
    pub fn unanswered(&self) -> usize {
        self.open
    }

    /// Figures so far.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Endpoints that take requests.
    pub fn endpoints(&self) -> usize {
        self.ready.len()
    }

    fn is_out(&self, id: RequestId, attempt: u32) -> bool {
        self.held
            .get(&id)
            .and_then(|h| h.attempts.get(attempt as usize))
            .is_some_and(|a| a.out)
    }

    /// Carries out what the driver left: verdicts may bring further ones.
    fn settle(&mut self, now: f64) {
        loop {
            if let Some((id, verdict)) = self.driver.next_verdict() {
                self.carry_out(now, id, verdict);
                continue;
            }
            match self.driver.next_action() {
                Some(DriverAction::Cancel(request, attempt)) => {
                    if self.is_out(request, attempt) {
                        self.abandon(now, request, attempt, Outcome::Cancelled);
                    }
                }
                Some(DriverAction::Probe(endpoint)) => {
                    self.effects.push_back(Action::Probe(endpoint))
                }
                // The endpoint registry is followed from the start, whoever asks.
                Some(DriverAction::FollowEndpointList) => {}
                Some(DriverAction::AddToCounter(add)) => {
                    self.counts.counts += 1;
                    self.effects.push_back(Action::AddToCounter(add));
                }
                None => return,
            }
        }
    }

    fn carry_out(&mut self, now: f64, id: RequestId, verdict: Verdict) {
        match verdict {
            Verdict::Hold => {}
            Verdict::Send {
                endpoint,
                client_timeout_ms,
            } => self.send(now, id, endpoint, client_timeout_ms),
            Verdict::Reject { retry_after_ms } => {
                let answer = self.refusal(id, retry_after_ms, false);
                self.finish(id, answer);
            }
            Verdict::Fail => {
                let late = self.held.get(&id).is_some_and(|h| now + 10.0 >= h.give_up);
                self.finish(id, FinalAnswer::Failed { late });
            }
        }
    }

    /// A refusal. Guards the rule against double effects: whatever was decided, a request that may have run is not
    /// told to come again, but has failed.
    fn refusal(&self, id: RequestId, retry_after_ms: f64, late: bool) -> FinalAnswer {
        let class = |h: &InFlightRequest| &self.platform.decision.classes[h.request.ask.class];
        if self.held.get(&id).is_some_and(|h| h.harmless(class(h))) {
            FinalAnswer::Rejected { retry_after_ms }
        } else {
            FinalAnswer::Failed { late }
        }
    }

    fn send(&mut self, now: f64, id: RequestId, endpoint: EndpointId, client_timeout_ms: f64) {
        let Some(held) = self.held.get_mut(&id) else {
            return;
        };
        let attempt = held.attempts.len() as u32;
        let class = &self.platform.decision.classes[held.request.ask.class];
        let settings = &self.platform.decision;
        // Guards three rules whatever the module asks: two attempts out only where the settings allow it, no second
        // run of work with an effect, nothing to an endpoint that is leaving.
        let place = self.ready.get(&endpoint).map(|(_, place)| *place);
        let allowed = !held.answered
            && (settings.hedging || held.attempts.iter().all(|a| !a.out))
            && place.is_some_and(|place| {
                held.repeatable(now, class, place, self.platform.connect_timeout_ms)
            })
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
            let outcome = Outcome::NotSent;
            let end = AttemptReport {
                request: id,
                attempt,
                outcome,
                request_finished: finished,
                load: Vec::new(),
                settled_units: None,
            };
            return self.driver.observe(now, Observation::AttemptEnded(end));
        }
        let until = if client_timeout_ms > 0.0 {
            held.give_up.min(now + client_timeout_ms)
        } else {
            held.give_up
        };
        let request = held.request.clone();
        self.counts.attempts += 1;
        self.expiries
            .push(Reverse(((until * 1e3) as u64, id, attempt)));
        self.effects.push_back(Action::StartAttempt(AttemptStart {
            id,
            attempt,
            endpoint,
            request,
            until,
        }));
    }

    fn abandon(&mut self, now: f64, id: RequestId, attempt: u32, outcome: Outcome) {
        self.effects.push_back(Action::AbandonAttempt(id, attempt));
        self.end(now, id, attempt, AttemptResult::without(outcome));
    }

    fn end(&mut self, now: f64, id: RequestId, attempt: u32, end: AttemptResult) {
        let AttemptResult {
            outcome,
            value,
            load,
            settled_units: cost,
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
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent
        );
        if let Some(value) = value.filter(|_| outcome == Outcome::Ok) {
            self.finish(id, FinalAnswer::Served(value));
        }
        let finished = self.held.get(&id).is_none_or(|h| h.answered);
        let end = AttemptReport {
            request: id,
            attempt,
            outcome,
            request_finished: finished,
            load,
            settled_units: cost,
        };
        self.driver.observe(now, Observation::AttemptEnded(end));
        self.forget(id);
    }

    /// The one place where a request gets its answer, once.
    fn finish(&mut self, id: RequestId, answer: FinalAnswer) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.answered) else {
            return;
        };
        held.answered = true;
        self.open -= 1;
        match answer {
            FinalAnswer::Served(_) => self.counts.served += 1,
            FinalAnswer::Rejected { .. } => self.counts.rejected += 1,
            FinalAnswer::Failed { .. } => self.counts.failed += 1,
        }
        self.effects.push_back(Action::Reply(id, answer));
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(held) = self
            .held
            .get(&id)
            .filter(|h| h.answered && h.attempts.iter().all(|a| !a.out))
        {
            self.bytes -= held.request.size();
            self.held.remove(&id);
        }
    }
}
