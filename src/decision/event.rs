//! What goes into the decision module ([`Event`]) and what comes out ([`Action`]). Plain data;
//! nothing here decides.
//!
//! Times are seconds. `now` and absolute times come from one clock that never goes back; names of
//! numbers on the counter derive from it, so the ingresses of one service must keep their clocks in
//! step: where they differ by a noticeable part of a quota window (a second or more), they count in
//! different windows.

use super::Settings;

/// A back-end endpoint.
pub type EndpointId = u32;
/// A client request that is pending at this ingress. Ids wrap around after 2^32 requests, long after
/// the earlier request of that id has ended.
pub type RequestId = u32;
/// A tenant, the holder of one quota.
pub type TenantId = u64;
/// Pools of endpoints, a bit each.
pub type Pools = u64;
/// The pool of all endpoints.
pub const ALL_ENDPOINTS: Pools = 1 << 63;

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
    /// Its capacity beside that of the other endpoints; 0 counts as 1.
    pub capacity: f64,
    /// When it last started, seconds; 0: long ago.
    pub started_at: f64,
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

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected before it was handled; never ran.
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
    /// When the client gives up, seconds on the events' clock.
    pub gives_up_at: f64,
    /// Its class.
    pub class: usize,
    /// The tenant's plan.
    pub plan: usize,
    /// The tenant.
    pub tenant: TenantId,
    /// Units that it takes from the quota.
    pub units: f64,
    /// How many ingresses this tenant's requests can come through.
    pub ingress_count: u32,
    /// Number of the first of these; the others follow, and 0 comes after the last ingress.
    pub first_ingress: u32,
    /// Marked by the client as a repeat.
    pub is_retry: bool,
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

/// What has happened: the inputs of a decision, beside the time.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, whole or in part.
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
    /// The client has gone; nothing more is owed.
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
    /// A health check has ended.
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
        /// How; after a timeout or a reset the amount may have been added, after an error it was.
        outcome: Outcome,
        /// Total after the call, when it is ok.
        total: f64,
    },
    /// The total of a call that had ended in a timeout has come after all.
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
        /// Its timeout, seconds; 0: till the client gives up.
        timeout: f64,
    },
    /// Final answer: rejected; a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// Retry-After, seconds; 0: none.
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
    /// Check the health of an endpoint.
    Probe {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Poll the endpoint list, or subscribe to its changes.
    FollowEndpointList,
    /// Add to a number on the counter service; answered by [`Event::CounterAnswered`].
    AddToCounter {
        /// The number's name.
        name: u64,
        /// What to add, units; 0 reads, below 0 takes off.
        amount: f64,
        /// A new name is forgotten after this many seconds.
        lives: f64,
    },
}

impl Request {
    /// Whether its figures make sense at this time (s) under these settings.
    pub fn sound(&self, now: f64, settings: &Settings) -> bool {
        let known = self.class < settings.classes.len() && self.plan < settings.plans.len();
        known && self.units.is_finite() && self.units >= 0.0 && self.gives_up_at > now
    }
}
