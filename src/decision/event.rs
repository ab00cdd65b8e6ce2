//! The inputs ([`Event`]) and outputs ([`Action`]) of the decision module. Plain data without any
//! decision logic.
//!
//! Times are seconds. `now` and absolute times come from one monotonic clock. The names of the
//! totals on the counter are derived from this clock, so the ingresses of one service must keep
//! their clocks synchronized: if clocks differ by a noticeable part of a quota window (a second or
//! more), the ingresses count in different windows.
//! ingresses count in different windows.

use super::Settings;

/// Id of a back-end endpoint.
pub type EndpointId = u32;
/// Id of a client request that is pending at this ingress. Ids wrap around after 2^32 requests,
/// long after the earlier request with the same id has ended.
pub type RequestId = u32;
/// Id of a tenant, the holder of one quota.
pub type TenantId = u64;
/// A set of endpoint pools, one bit for each.
pub type Pools = u64;
/// The pool that contains all endpoints.
pub const ALL_ENDPOINTS: Pools = 1 << 63;

/// State of an endpoint in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes its requests and gets no new ones.
    Draining,
    /// The endpoint has been removed.
    Gone,
}

/// Zone, cell, state, capacity, start and pools of one endpoint, as the endpoint list reports them.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointEntry {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Zone of the endpoint.
    pub zone: u32,
    /// Cell of the endpoint: endpoints of one cell can share the memory of idempotency keys.
    pub cell: u32,
    /// State of the endpoint.
    pub state: EndpointState,
    /// Capacity relative to the other endpoints; 0 counts as 1.
    pub capacity: f64,
    /// When the endpoint last started, seconds; 0 if it started long ago.
    pub started_at: f64,
    /// Pools of the endpoint, [`ALL_ENDPOINTS`] among them.
    pub pools: Pools,
}

/// What an endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Delta,
    /// Every endpoint; missing ones have been removed.
    Full,
    /// Every endpoint as last known, possibly long ago.
    Cached,
    /// The call for the list failed; there are no entries.
    Failed,
}

/// How an attempt, a health check or a counter call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Success.
    Ok,
    /// Answered with an error; may have run.
    Error,
    /// Rejected before it was handled; never ran.
    Rejected,
    /// No answer in time; may have run.
    Timeout,
    /// No connection could be established; never ran.
    ConnectFailed,
    /// The connection was lost; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent.
    NotSent,
}

/// A client request.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Id of the request.
    pub id: RequestId,
    /// When the client gives up, seconds on the clock of the events.
    pub gives_up_at: f64,
    /// Class of the request, by index.
    pub class: usize,
    /// Plan of the tenant, by index.
    pub plan: usize,
    /// Tenant that the request belongs to.
    pub tenant: TenantId,
    /// Units that the request takes from the quota.
    pub units: f64,
    /// Number of ingresses that this tenant's requests can arrive through.
    pub ingress_count: u32,
    /// Index of the first of these ingresses. The others follow it in order; 0 comes after the
    /// last.
    pub first_ingress: u32,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// Pools whose endpoints the request may be sent to.
    pub pools: Pools,
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptEnd {
    /// Request of the attempt.
    pub id: RequestId,
    /// Number of the attempt within its request, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Whether the request has its final answer.
    pub request_finished: bool,
    /// Actual units, if the answer reported them.
    pub settled_units: Option<f64>,
    /// Load report of the endpoint; empty if there was none.
    pub report: Vec<f64>,
}

/// An input of the engine.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list, complete or in part.
    EndpointList {
        /// What the entries represent.
        kind: ListKind,
        /// Entries of the list.
        entries: Vec<EndpointEntry>,
    },
    /// A request has arrived. It must get exactly one final answer.
    RequestArrived(Request),
    /// An attempt has ended. Every attempt ends exactly once.
    AttemptEnded(AttemptEnd),
    /// The answer of an attempt has begun and makes no progress. The attempt has not ended.
    AttemptStalled {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// The client has disconnected; no answer is needed any more.
    ClientGone {
        /// Request of the client.
        id: RequestId,
    },
    /// The response of an attempt has begun to stream; the answer timer no longer applies.
    StreamStarted {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt that streams.
        attempt: u32,
    },
    /// A health check has ended.
    ProbeEnded {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the health check ended.
        outcome: Outcome,
        /// Load report of the endpoint; empty if there was none.
        report: Vec<f64>,
    },
    /// A timer set by the engine has expired.
    Timer {
        /// Token from [`Action::Timer`].
        token: u64,
    },
    /// A counter call has ended. Answers for one name arrive in the order of the calls.
    CounterAnswered {
        /// Name of the total on the counter.
        name: u64,
        /// How the call ended. The amount may have been added after a timeout or a reset, and has
        /// been added after an error.
        outcome: Outcome,
        /// Total after the call; valid only if the outcome is [`Outcome::Ok`].
        total: f64,
    },
    /// The total of a call that had already timed out has arrived.
    CounterAnsweredLate {
        /// Name of the total on the counter.
        name: u64,
        /// Amount that the call added.
        amount: f64,
        /// Total after the call.
        total: f64,
    },
}

/// An output of the engine. The embedding program carries out actions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered 0, 1, 2 in the order of these
    /// actions.
    Send {
        /// Request to send.
        id: RequestId,
        /// Destination of the attempt.
        endpoint: EndpointId,
        /// Timeout of the attempt, seconds; 0: until the client gives up.
        timeout: f64,
    },
    /// Final answer: the request is rejected and can be retried safely.
    Reject {
        /// Request to reject.
        id: RequestId,
        /// Retry-After, seconds; 0: none.
        retry_after: f64,
    },
    /// Final answer: the request has failed and may have taken effect.
    Fail {
        /// Request that has failed.
        id: RequestId,
    },
    /// Cancel an attempt.
    Cancel {
        /// Request of the attempt.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Set a timer that produces an [`Event::Timer`].
    Timer {
        /// Time until the timer expires, seconds.
        after: f64,
        /// Token that the event returns.
        token: u64,
    },
    /// Check the health of an endpoint.
    Probe {
        /// Endpoint to check.
        endpoint: EndpointId,
    },
    /// Poll the endpoint list, or subscribe to its changes.
    FollowEndpointList,
    /// Add to a total on the counter service. [`Event::CounterAnswered`] reports the result.
    AddToCounter {
        /// Name of the total on the counter.
        name: u64,
        /// Amount to add, in units; 0 only reads the total, a negative amount subtracts.
        amount: f64,
        /// If the call creates the total, the total expires after this many seconds.
        lives: f64,
    },
}

impl Request {
    /// Returns whether the request has valid values at `now` (s) under these settings.
    pub fn is_valid(&self, now: f64, settings: &Settings) -> bool {
        let known = self.class < settings.classes.len() && self.plan < settings.plans.len();
        known && self.units.is_finite() && self.units >= 0.0 && self.gives_up_at > now
    }
}
