//! The state that all tasks of the ingress share: clock, settings, request table, endpoint registry
//! and pending answers.
//!
//! Events of the frontends, connections and timers pass through the dispatcher into the request
//! table. The actions of the request table pass back through it: answers to the client of the
//! request, all other actions to the [`ActionExecutor`]. The dispatcher does no I/O, spawns no task
//! and decides about no request. It depends on none of the modules that call it. The request table
//! is borrowed only within one call, never across an await.

mod byte_budget;
mod client_statistics;
mod endpoints;
mod exclusions;
mod requests;

pub use byte_budget::ByteBudget;
pub use client_statistics::{ClientStatistics, CloseCause};
pub use endpoints::PoolStatistics;
pub use requests::SharedRequestIds;

use crate::buffer::body_stream::BodyStreams;
use crate::config::settings::{Config, Platform};
use crate::decision::driver::{DecisionDriver, EndpointId, RequestId};
use crate::decision::{EndpointEntry, RejectionCounts};
use crate::discovery::registry::EndpointRegistry;
use crate::plugin::Plugin;
use crate::request::{Action, FinalAnswer, RequestCounts, RequestTable, TableSizes};
use crate::runtime::clock::Clock;
use driftgap_admin::{DrainControl, DrainState, ExcludedEndpoints};
use driftgap_routes::{LimitPermit, Router};
use std::cell::{Cell, OnceCell, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

/// Bytes per megabyte of the platform's limits (decimal).
const BYTES_PER_MB: f64 = 1e6;
/// Memory of the program without connections and requests, MB.
const PROGRAM_MEMORY_MB: f64 = 8.0;
/// Memory of one connection with its task and its smallest buffers, MB.
const CONNECTION_MEMORY_MB: f64 = 0.006;
/// The budgets below share at least this fraction of the memory limit.
const MIN_BUDGET_FRACTION: f64 = 0.25;
/// Requests in flight may use this fraction of the memory for budgets.
const REQUEST_MEMORY_DIVISOR: f64 = 3.0;
/// Unread answers of all clients together may use this fraction of the request memory, streamed
/// bodies the same fraction, and so may replies of endpoints that are incomplete: all grow under the
/// same overload.
const UNSENT_ANSWERS_DIVISOR: usize = 2;
const BODY_STREAMS_DIVISOR: usize = 2;
const INCOMPLETE_REPLIES_DIVISOR: usize = 2;

/// Time that a new process waits for the first answer of discovery, ms. After it, the process is
/// ready with the endpoint list that it has.
const DISCOVERY_WAIT_MS: f64 = 300.0;

/// Executes the actions of the request table, except for answers to clients. The request table is
/// not borrowed during a call, so an implementation may report events at once.
pub trait ActionExecutor {
    /// Executes one action. Calls arrive in the order in which the request table emitted the
    /// actions.
    fn carry_out(&self, action: Action);
}

/// Receives the answers for a frontend. `ticket` is the frontend's own identifier of one request.
pub trait ResponseSink {
    /// Delivers the one final answer to a request.
    fn answer(&self, ticket: u64, answer: FinalAnswer);
}

/// An answer that is still due to a client.
struct PendingAnswer {
    client: Rc<dyn ResponseSink>,
    ticket: u64,
    /// The permits that the request holds under the operator's limits; dropping them frees the
    /// limits.
    _limit_permits: Vec<LimitPermit>,
}

/// The state that all tasks of the ingress share.
pub struct Dispatcher {
    clock: Clock,
    /// When the process started, ms.
    started_ms: f64,
    platform: Rc<Platform>,
    requests: RefCell<RequestTable>,
    registry: RefCell<EndpointRegistry>,
    /// Set once during start-up. Weak, because the executor owns the dispatcher.
    executor: OnceCell<Weak<dyn ActionExecutor>>,
    /// Whether `carry_out_actions` is already running further up the stack.
    carrying_out: Cell<bool>,
    pending: RefCell<HashMap<RequestId, PendingAnswer>>,
    plugin: Option<Plugin>,
    /// Set during start-up if other processes of this ingress may run.
    shared_ids: OnceCell<Rc<dyn SharedRequestIds>>,
    /// The operator's rules, if any.
    router: RefCell<Option<Router>>,
    /// The endpoints that are ready in the request table.
    ready: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    /// `None` if neither an operator nor a group can exclude endpoints.
    excluded: Option<RefCell<ExcludedEndpoints>>,
    /// Every endpoint as the endpoint list has it, before exclusions; empty if `excluded` is
    /// `None`.
    listed: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    drain: RefCell<DrainControl>,
    generated_ids: Cell<u64>,
    /// Bytes of answers that have not been read, over all clients.
    unsent_bytes: Rc<Cell<usize>>,
    /// Upper bound of `unsent_bytes`.
    max_unsent_bytes: usize,
    /// Bytes of incomplete requests, over all clients.
    incoming_bytes: Rc<Cell<usize>>,
    /// Bytes of incomplete replies, over all endpoints.
    reply_bytes: Rc<Cell<usize>>,
    /// Upper bound of `reply_bytes`.
    max_reply_bytes: usize,
    body_streams: BodyStreams,
    client_statistics: ClientStatistics,
    /// Whether discovery has answered, or is not configured.
    discovery_answered: Cell<bool>,
}

/// Returns the memory for requests in flight, from which the other budgets derive.
fn request_memory_bytes(memory_mb: f64, descriptors: usize) -> usize {
    let fixed_mb = PROGRAM_MEMORY_MB + CONNECTION_MEMORY_MB * descriptors as f64;
    let budgets_mb = (memory_mb - fixed_mb).max(memory_mb * MIN_BUDGET_FRACTION);
    (budgets_mb * BYTES_PER_MB / REQUEST_MEMORY_DIVISOR) as usize
}

impl Dispatcher {
    /// Creates the shared state of an ingress. Of `memory_mb` less the memory of the program and its
    /// connections, a third is for requests in flight, and a sixth each for unread answers, for
    /// streamed bodies, and for incomplete replies; incomplete requests have a twelfth, as their
    /// buffers may be twice as large. With `in_group`, other
    /// ingresses of the group may exclude endpoints.
    ///
    /// # Errors
    /// The decision module rejects the settings.
    pub fn new(
        config: &Config,
        memory_mb: f64,
        plugin: Option<Plugin>,
        clock: Clock,
        in_group: bool,
    ) -> Result<Rc<Dispatcher>, crate::decision::SettingsError> {
        let platform = Rc::new(config.platform.clone());
        let driver = DecisionDriver::new(platform.decision.clone(), config.seed)?;
        let max_bytes = request_memory_bytes(memory_mb, config.sockets);
        Ok(Rc::new(Dispatcher {
            started_ms: clock.now(),
            requests: RequestTable::new(platform.clone(), driver, max_bytes).into(),
            registry: EndpointRegistry::new(platform.zones.clone()).into(),
            executor: OnceCell::new(),
            carrying_out: Cell::new(false),
            pending: RefCell::default(),
            // Without discovery the known endpoints are final.
            discovery_answered: Cell::new(config.discovery.is_none()),
            plugin,
            shared_ids: OnceCell::new(),
            router: RefCell::default(),
            ready: RefCell::default(),
            excluded: (config.operator.is_some() || in_group).then(RefCell::default),
            listed: RefCell::default(),
            drain: RefCell::default(),
            generated_ids: Cell::new(0),
            unsent_bytes: Rc::default(),
            max_unsent_bytes: max_bytes / UNSENT_ANSWERS_DIVISOR,
            incoming_bytes: Rc::default(),
            reply_bytes: Rc::default(),
            max_reply_bytes: max_bytes / INCOMPLETE_REPLIES_DIVISOR,
            client_statistics: ClientStatistics::default(),
            body_streams: BodyStreams::new(max_bytes / BODY_STREAMS_DIVISOR),
            platform,
            clock,
        }))
    }

    /// Returns the current time, ms since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// Returns the process clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// Returns the settings of the platform.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// Returns the longest deadline of all classes, ms.
    pub fn longest_deadline_ms(&self) -> f64 {
        let classes = self.platform.decision.classes.iter();
        classes
            .map(|class| 1e3 * class.deadline)
            .fold(0.0, f64::max)
    }

    /// Borrows the endpoint registry.
    pub fn registry(&self) -> RefMut<'_, EndpointRegistry> {
        self.registry.borrow_mut()
    }

    /// Creates the budget of a new client for unread answers.
    pub fn unsent_budget(&self) -> ByteBudget {
        ByteBudget::new(self.unsent_bytes.clone(), self.max_unsent_bytes)
    }

    /// Creates the budget of a new client for incomplete requests.
    pub fn incoming_budget(&self) -> ByteBudget {
        // A ring buffer grows by doubling, so it may allocate twice the bytes that it holds.
        ByteBudget::new(self.incoming_bytes.clone(), self.max_unsent_bytes / 2)
    }

    /// Creates the budget of a new attempt for its incomplete reply.
    pub fn reply_budget(&self) -> ByteBudget {
        ByteBudget::new(self.reply_bytes.clone(), self.max_reply_bytes)
    }

    /// Returns the large bodies that are being streamed.
    pub fn body_streams(&self) -> &BodyStreams {
        &self.body_streams
    }

    /// Returns the statistics of clients' connections.
    pub fn client_statistics(&self) -> &ClientStatistics {
        &self.client_statistics
    }

    /// Returns the latest time for the next call of [`RequestTable::tick`], ms; `None` if nothing
    /// is due.
    pub fn next_due(&self) -> Option<f64> {
        self.requests.borrow_mut().next_due_ms()
    }

    /// Returns the request counts since the start.
    pub fn request_counts(&self) -> RequestCounts {
        self.requests.borrow().counts()
    }

    /// Returns the requests that the decision module rejected since the start, by cause.
    pub fn rejections(&self) -> RejectionCounts {
        self.requests.borrow().rejections()
    }

    /// Returns the numbers of the entries that requests leave in the tables.
    pub fn table_sizes(&self) -> TableSizes {
        self.requests.borrow().table_sizes()
    }

    /// Returns the number of requests without a final answer.
    pub fn unanswered(&self) -> usize {
        self.requests.borrow().unanswered()
    }

    /// Records that discovery has answered. From now on readiness no longer waits for a list.
    pub fn mark_discovery_answered(&self) {
        self.discovery_answered.set(true);
    }

    /// Returns whether health checks at the client address pass: requests can be served, and the
    /// ingress is not paused. A shutdown does not change the result, because clients are served
    /// until the listeners close.
    pub fn ready(&self) -> bool {
        self.not_serving_reason().is_none() && !self.drain.borrow().paused()
    }

    /// Returns the reason why no clients should be routed here, or `None` if they may be. Unlike
    /// [`Dispatcher::ready`], a shutdown is a reason too.
    pub fn unready_reason(&self) -> Option<&'static str> {
        let drain = self.drain.borrow();
        if drain.stopped() {
            Some("stopping")
        } else if drain.paused() {
            Some("paused")
        } else {
            self.not_serving_reason()
        }
    }

    /// Returns a readable reason why requests cannot be served, or `None` if they can.
    fn not_serving_reason(&self) -> Option<&'static str> {
        let waited_ms = self.now() - self.started_ms;
        if !self.discovery_answered.get() && waited_ms <= DISCOVERY_WAIT_MS {
            Some("no list yet")
        } else if self.requests.borrow().ready_endpoints() == 0 {
            Some("no instance is ready")
        } else {
            None
        }
    }

    /// Borrows the drain control, to pause, resume or stop.
    pub fn drain(&self) -> RefMut<'_, DrainControl> {
        self.drain.borrow_mut()
    }

    /// Returns the current drain stage.
    pub fn drain_state(&self) -> DrainState {
        self.drain.borrow().state(self.now())
    }
}
