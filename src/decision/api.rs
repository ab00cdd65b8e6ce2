//! The interface of the library: what an ingress tells the module ([`Settings`], [`Event`]) and what
//! the module asks of it ([`Action`]). Plain data; nothing here decides anything.
//!
//! Times are seconds. `now` and absolute times come from one clock that never goes back; window names
//! on the counter are derived from it, so all ingresses of one service should keep it in step.

/// A back-end endpoint.
pub type EndpointId = u32;
/// A client request held by this ingress. Never reused.
pub type RequestId = u32;
/// A tenant, the holder of one quota.
pub type TenantId = u64;
/// Pools of endpoints, a bit each.
pub type Pools = u64;
/// The pool of all endpoints.
pub const ALL_ENDPOINTS: Pools = 1 << 63;

/// How often a request may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// May run any number of times.
    Safe,
    /// Carries a key: endpoints of one group discard repeats for a while.
    Keyed,
    /// Must never run twice.
    Unsafe,
}

/// Which endpoints share the memory that discards repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one cell.
    Cell,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// An answer within this many seconds earns full worth.
    pub latency_objective: f64,
    /// Longest the client waits over all its tries, seconds.
    pub deadline: f64,
    /// What repeating it does.
    pub idempotency: Idempotency,
    /// For keyed classes: who discards repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For keyed classes: for how long after the first attempt that may have run, seconds.
    pub idempotency_window: f64,
    /// Share of the worth that an answer after the aim still earns.
    pub late_share: f64,
    /// Worth of one request.
    pub priority_weight: f64,
}

/// A plan: quotas that hold for each tenant over all ingresses together.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Units a second; 0: no quota by rate.
    pub rate: f64,
    /// Most units that can be saved up.
    pub burst: f64,
    /// Most attempts out at once; 0: no such quota.
    pub at_once: u32,
    /// Share of its worth that a request beyond the quota earns.
    pub excess_worth: f64,
    /// Share of its worth that a request beyond the quota costs.
    pub over_cost: f64,
    /// Units a second of the hard ceiling; 0: none.
    pub ceiling_rate: f64,
    /// Most units that the ceiling's store holds.
    pub ceiling_burst: f64,
}

/// A value in an endpoint's load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LoadReportField {
    /// Requests being handled.
    InFlight,
    /// Requests waiting.
    Queue,
    /// Share of CPU in use.
    Utilization,
    /// Recent service time without waiting, milliseconds.
    LatencyMs,
    /// Any value that the module does not use.
    Other,
}

/// Everything the module is told at start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// How many ingresses there are.
    pub ingresses: u32,
    /// Number of this ingress among them, from 0.
    pub position: u32,
    /// Zone of this ingress.
    pub zone: u32,
    /// Request classes, referred to by index.
    pub classes: Vec<Class>,
    /// Plans, referred to by index.
    pub plans: Vec<Plan>,
    /// Columns of an endpoint's load report.
    pub report: Vec<LoadReportField>,
    /// Reports come with probes alone, not with answers.
    pub report_by_probe: bool,
    /// The list of endpoints must be asked for.
    pub list_on_request: bool,
    /// Probes are permitted.
    pub probes_allowed: bool,
    /// Attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Two attempts of one request may be out together.
    pub hedging: bool,
    /// There is a counter service.
    pub counter: bool,
    /// A counter call that has no answer by then has failed, seconds.
    pub counter_timeout: f64,
    /// Units on a request are guesses, settled by its answer.
    pub settles_units_later: bool,
    /// Most units that one request counts.
    pub max_units: f64,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// Longest retry-after that clients honour, seconds.
    pub max_retry_after: f64,
    /// Smallest time between two rounds of events, seconds.
    pub resolution: f64,
    /// An endpoint starts with at least this share of its capacity.
    pub cold_share: f64,
    /// And is warm after this many seconds at the latest.
    pub warm_up: f64,
    /// A cold endpoint sent more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... over this many seconds falls over.
    pub tip_after: f64,
}

/// State of an endpoint on the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Finishes its work; gets nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the list of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// The endpoint.
    pub id: EndpointId,
    /// Its zone.
    pub zone: u32,
    /// Its cell: endpoints that share which keys they have seen.
    pub cell: u32,
    /// Its state.
    pub state: EndpointState,
    /// Its size beside the other endpoints.
    pub weight: f64,
    /// When it last started; 0: long ago.
    pub started: f64,
    /// The pools that it is in, [`ALL_ENDPOINTS`] among them.
    pub pools: Pools,
}

/// What a list brings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// Every endpoint; those missing are gone.
    Full,
    /// Every endpoint as last known, perhaps long ago.
    Cached,
    /// The call failed; nothing is known anew.
    Failed,
}

/// How an attempt, a probe or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Turned away unseen; never ran.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// Connection lost; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A client's request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// When the client gives up (clock time).
    pub give_up: f64,
    /// Its class.
    pub class: usize,
    /// The tenant's plan.
    pub plan: usize,
    /// The tenant.
    pub tenant: TenantId,
    /// Units it draws from the quota.
    pub units: f64,
    /// How many ingresses this tenant's requests can come through.
    pub spread: u32,
    /// Number of the first of these; the others follow, and 0 comes after the last ingress.
    pub first: u32,
    /// Marked by the client as a repeat.
    pub repeat: bool,
    /// It may be sent to endpoints of these pools only.
    pub pools: Pools,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Its request.
    pub id: RequestId,
    /// Its number among the request's attempts, from 0.
    pub attempt: u32,
    /// How.
    pub outcome: Outcome,
    /// The request has its final answer by now.
    pub request_finished: bool,
    /// True units, where they are settled by the answer.
    pub settled_units: Option<f64>,
    /// The endpoint's load report; empty: none came.
    pub report: Vec<f64>,
}

/// What has happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of endpoints.
    EndpointList {
        /// What the entries mean.
        kind: ListKind,
        /// The entries.
        entries: Vec<EndpointEntry>,
    },
    /// A request has come in; it is owed one final answer.
    RequestArrived(Request),
    /// An attempt has ended. Every attempt ends exactly once.
    AttemptEnded(AttemptEnd),
    /// The client is gone; nothing more is owed.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// The answer of an attempt has begun to stream; its deadline is off.
    StreamStarted {
        /// The request.
        id: RequestId,
        /// The attempt that streams.
        attempt: u32,
    },
    /// A probe has ended.
    ProbeEnded {
        /// The endpoint.
        endpoint: EndpointId,
        /// How.
        outcome: Outcome,
        /// The endpoint's load report; empty: none came.
        report: Vec<f64>,
    },
    /// A timer set by the module has come due.
    Timer {
        /// As given in [`Action::Timer`].
        token: u64,
    },
    /// A counter call has ended. Answers for one name come in the order of the calls.
    CounterAnswered {
        /// The name.
        name: u64,
        /// How; after a time-out or a reset the amount may have been added, after an error it was.
        outcome: Outcome,
        /// Total after the call, when it is ok.
        total: f64,
    },
    /// The total of a call that had ended in a time-out has come after all.
    CounterAnsweredLate {
        /// The name.
        name: u64,
        /// The call's amount, which was added.
        amount: f64,
        /// Total after the call.
        total: f64,
    },
}

/// What the ingress is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. A request's attempts are numbered 0, 1, 2 in the order of these.
    Send {
        /// The request.
        id: RequestId,
        /// Where to.
        endpoint: EndpointId,
        /// Its time-out, seconds; 0: till the client gives up.
        timeout: f64,
    },
    /// Final answer: refused; a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// How long to stay away, seconds; 0: no advice.
        retry_after: f64,
    },
    /// Final answer: failed; nothing is promised of its effect.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// The attempt.
        attempt: u32,
    },
    /// Ask for an [`Event::Timer`].
    Timer {
        /// From now, seconds.
        after: f64,
        /// Given back with the event.
        token: u64,
    },
    /// Probe an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Subscribe to changes of the list of endpoints.
    FollowEndpointList,
    /// Add to a number on the counter service; answered by [`Event::CounterAnswered`].
    AddToCounter {
        /// The number's name.
        name: u64,
        /// What to add; 0 reads, below 0 takes off.
        amount: f64,
        /// A new name is forgotten after this many seconds.
        lives: f64,
    },
}

impl Request {
    /// Whether its figures make sense under these settings.
    pub fn sound(&self, now: f64, set: &Settings) -> bool {
        let known = self.class < set.classes.len() && self.plan < set.plans.len();
        known && self.units.is_finite() && self.units >= 0.0 && self.give_up > now
    }
}

impl Settings {
    /// Whether the settings make sense.
    ///
    /// # Errors
    /// The first field that does not.
    pub fn check(&self) -> Result<(), SettingsError> {
        let set = self;
        let wrong = |field: String, problem: &str| {
            Err(SettingsError {
                field,
                problem: problem.to_string(),
            })
        };
        let sound = |x: f64| x.is_finite() && x >= 0.0;
        if set.ingresses == 0 {
            return wrong("gateways".into(), "there must be one at least");
        }
        if set.position >= set.ingresses {
            return wrong("position".into(), "must be under the number of gateways");
        }
        if set.classes.is_empty() {
            return wrong("classes".into(), "there must be one at least");
        }
        if set.plans.is_empty() {
            return wrong("plans".into(), "there must be one at least");
        }
        if set.max_attempts == 0 {
            return wrong("max_attempts".into(), "there must be one at least");
        }
        for (i, c) in set.classes.iter().enumerate() {
            for (name, x) in [("aim", c.latency_objective), ("deadline", c.deadline)] {
                if !(sound(x) && x > 0.0) {
                    return wrong(format!("classes[{i}].{name}"), "must be above 0");
                }
            }
            for (name, x) in [
                ("window", c.idempotency_window),
                ("late_share", c.late_share),
                ("worth", c.priority_weight),
            ] {
                if !sound(x) {
                    return wrong(format!("classes[{i}].{name}"), "must be 0 or more");
                }
            }
        }
        for (i, p) in set.plans.iter().enumerate() {
            let fields = [
                ("rate", p.rate),
                ("burst", p.burst),
                ("excess_worth", p.excess_worth),
                ("over_cost", p.over_cost),
                ("ceiling_rate", p.ceiling_rate),
                ("ceiling_burst", p.ceiling_burst),
            ];
            for (name, x) in fields {
                if !sound(x) {
                    return wrong(format!("plans[{i}].{name}"), "must be 0 or more");
                }
            }
            if p.rate > 0.0 && p.burst <= 0.0 {
                return wrong(
                    format!("plans[{i}].burst"),
                    "must be above 0 where there is a rate",
                );
            }
        }
        let rest = [
            ("most_units", set.max_units),
            ("counter_timeout", set.counter_timeout),
            ("max_retry_after", set.max_retry_after),
            ("resolution", set.resolution),
            ("cold_share", set.cold_share),
            ("warm_up", set.warm_up),
            ("overload_factor", set.overload_factor),
            ("tip_after", set.tip_after),
        ];
        match rest.iter().find(|(_, x)| !sound(*x)) {
            Some((name, _)) => wrong((*name).into(), "must be 0 or more"),
            None => Ok(()),
        }
    }
}

/// Settings that make no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The field, as a path into [`Settings`].
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}
