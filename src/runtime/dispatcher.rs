//! What all parts of the ingress share: the clock, the settings, the request table, the endpoint registry, and who is
//! owed which answer.
//!
//! Actions go from the request table through the dispatcher (answers to their clients, all others to the
//! [`ActionExecutor`]), and events of every part go through it into the request table. It knows no wire, socket or
//! task, and decides about no request: the parts know the dispatcher, and it knows none of them. Nobody else runs
//! while it borrows the request table.

mod byte_budget;
mod endpoints;
mod exclusions;
mod requests;

pub use byte_budget::ByteBudget;
pub use endpoints::PoolStatistics;

use crate::buffer::body_stream::BodyStreams;
use crate::config::settings::{Config, Platform};
use crate::decision::driver::{DecisionDriver, EndpointId, RequestId};
use crate::decision::EndpointEntry;
use crate::discovery::registry::EndpointRegistry;
use crate::plugin::Plugin;
use crate::request::{Action, FinalAnswer, RequestCounts, RequestTable};
use crate::runtime::clock::Clock;
use driftgap_admin::{DrainControl, DrainState, ExcludedEndpoints};
use driftgap_routes::{LimitPermit, Router};
use std::cell::{Cell, OnceCell, RefCell, RefMut};
use std::collections::{BTreeMap, HashMap};
use std::rc::{Rc, Weak};

/// Bytes in a megabyte, as the platform counts its limits.
const BYTES_PER_MB: f64 = 1e6;
/// Requests in flight may take this part of the memory; the rest is for connections, rules and the program itself.
const REQUEST_MEMORY_DIVISOR: f64 = 3.0;
/// What all clients together leave unread takes this part of that at most, and so do streamed bodies: each is one of
/// several things that grow under the same overload.
const UNSENT_ANSWERS_DIVISOR: usize = 2;
const BODY_STREAMS_DIVISOR: usize = 2;

/// How long a new process waits for an answer of discovery before it counts as ready with the list it has, ms.
const DISCOVERY_WAIT_MS: f64 = 300.0;

/// Carries out what the request table wants done, answers to clients apart. It is called while the request table is
/// not borrowed, so that it may report events at once.
pub trait ActionExecutor {
    /// Carries out one action. Actions come in the order in which they were asked for.
    fn carry_out(&self, action: Action);
}

/// Where a frontend wants answers. `ticket` is the frontend's own mark for one request.
pub trait ResponseSink {
    /// Gives it the one final answer to a request.
    fn answer(&self, ticket: u64, answer: FinalAnswer);
}

/// An answer that a client is owed.
struct PendingAnswer {
    client: Rc<dyn ResponseSink>,
    ticket: u64,
    /// The request's places under the operator's limits, free again when this is dropped.
    _limit_tickets: Vec<LimitPermit>,
}

/// What all tasks of the ingress share.
pub struct Dispatcher {
    clock: Clock,
    /// When the process started, ms.
    started_ms: f64,
    platform: Rc<Platform>,
    requests: RefCell<RequestTable>,
    registry: RefCell<EndpointRegistry>,
    /// Set once during start-up; weak, since it holds the dispatcher.
    executor: OnceCell<Weak<dyn ActionExecutor>>,
    /// Whether actions are being carried out further up the stack.
    carrying_out: Cell<bool>,
    pending: RefCell<HashMap<RequestId, PendingAnswer>>,
    plugin: Option<Plugin>,
    /// The operator's rules.
    router: RefCell<Option<Router>>,
    /// The endpoints that are ready, as the request table knows them.
    ready: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    /// None: nobody can exclude an endpoint.
    excluded: Option<RefCell<ExcludedEndpoints>>,
    /// Every endpoint as its list has it, without exclusions; empty where nobody can exclude one.
    listed: RefCell<BTreeMap<EndpointId, EndpointEntry>>,
    drain: RefCell<DrainControl>,
    generated_ids: Cell<u64>,
    /// Bytes of answers that all clients together have not read.
    unsent_bytes: Rc<Cell<usize>>,
    /// Most of them.
    max_unsent_bytes: usize,
    /// Bytes of requests of which all clients together have sent only a part.
    incoming_bytes: Rc<Cell<usize>>,
    body_streams: BodyStreams,
    /// Whether discovery has answered, or there is none.
    discovery_answered: Cell<bool>,
}

impl Dispatcher {
    /// The shared state of an ingress with this configuration. `memory_mb` is the memory that requests may use: a
    /// third for requests that are held, a sixth each for unread answers and for large bodies. In a group, others may
    /// exclude endpoints.
    ///
    /// # Errors
    /// The settings make no sense to the decision module.
    pub fn new(
        config: &Config,
        memory_mb: f64,
        plugin: Option<Plugin>,
        clock: Clock,
        in_group: bool,
    ) -> Result<Rc<Dispatcher>, crate::decision::SettingsError> {
        let platform = Rc::new(config.platform.clone());
        let driver = DecisionDriver::new(platform.decision.clone(), config.seed)?;
        let max_bytes = (memory_mb * BYTES_PER_MB / REQUEST_MEMORY_DIVISOR) as usize;
        Ok(Rc::new(Dispatcher {
            started_ms: clock.now(),
            requests: RequestTable::new(platform.clone(), driver, max_bytes).into(),
            registry: EndpointRegistry::new(platform.zones.clone()).into(),
            executor: OnceCell::new(),
            carrying_out: Cell::new(false),
            pending: RefCell::default(),
            // Without discovery, what is known is all there is.
            discovery_answered: Cell::new(config.discovery.is_none()),
            plugin,
            router: RefCell::default(),
            ready: RefCell::default(),
            excluded: (config.operator.is_some() || in_group).then(RefCell::default),
            listed: RefCell::default(),
            drain: RefCell::default(),
            generated_ids: Cell::new(0),
            unsent_bytes: Rc::default(),
            max_unsent_bytes: max_bytes / UNSENT_ANSWERS_DIVISOR,
            incoming_bytes: Rc::default(),
            body_streams: BodyStreams::new(max_bytes / BODY_STREAMS_DIVISOR),
            platform,
            clock,
        }))
    }

    /// The time, ms since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.clock.now()
    }

    /// The clock.
    pub fn clock(&self) -> &Clock {
        &self.clock
    }

    /// The settings.
    pub fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The longest deadline of all classes, ms.
    pub fn longest_deadline_ms(&self) -> f64 {
        let classes = self.platform.decision.classes.iter();
        classes
            .map(|class| 1e3 * class.deadline)
            .fold(0.0, f64::max)
    }

    /// The endpoint registry.
    pub fn registry(&self) -> RefMut<'_, EndpointRegistry> {
        self.registry.borrow_mut()
    }

    /// A new client's part of the answers that clients may leave unread.
    pub fn unsent_budget(&self) -> ByteBudget {
        ByteBudget::new(self.unsent_bytes.clone(), self.max_unsent_bytes)
    }

    /// A new client's part of the requests of which only a part has come.
    pub fn incoming_budget(&self) -> ByteBudget {
        // Ring buffers grow by doubling: they may take twice the bytes that they hold.
        ByteBudget::new(self.incoming_bytes.clone(), self.max_unsent_bytes / 2)
    }

    /// The large bodies that are being streamed.
    pub fn body_streams(&self) -> &BodyStreams {
        &self.body_streams
    }

    /// When [`RequestTable::tick`] must be called at the latest, ms; none: nothing is due.
    pub fn next_due(&self) -> Option<f64> {
        self.requests.borrow_mut().next_due_ms()
    }

    /// What has been counted since the start.
    pub fn request_counts(&self) -> RequestCounts {
        self.requests.borrow().counts()
    }

    /// How many requests are owed an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.borrow().unanswered()
    }

    /// Discovery has answered: the list is as good as it gets.
    pub fn mark_discovery_answered(&self) {
        self.discovery_answered.set(true);
    }

    /// Whether a health check at the clients' address passes: requests can be served, and no call has paused the ingress.
    /// A shutdown does not end it: until the listeners close, clients that still come are served.
    pub fn ready(&self) -> bool {
        self.cannot_serve().is_none() && !self.drain.borrow().paused()
    }

    /// Why staff should send no clients here; none: they may. Unlike [`Dispatcher::ready`] it names a shutdown too.
    pub fn unready_reason(&self) -> Option<&'static str> {
        let drain = self.drain.borrow();
        if drain.stopped() {
            Some("stopping")
        } else if drain.paused() {
            Some("paused")
        } else {
            self.cannot_serve()
        }
    }

    /// Why requests cannot be served, for people; none: they can.
    fn cannot_serve(&self) -> Option<&'static str> {
        let waited_ms = self.now() - self.started_ms;
        if !self.discovery_answered.get() && waited_ms <= DISCOVERY_WAIT_MS {
            Some("no list yet")
        } else if self.requests.borrow().ready_endpoints() == 0 {
            Some("no instance is ready")
        } else {
            None
        }
    }

    /// How far the ingress is drained, to be changed.
    pub fn drain(&self) -> RefMut<'_, DrainControl> {
        self.drain.borrow_mut()
    }

    /// How far the ingress is drained now.
    pub fn drain_state(&self) -> DrainState {
        self.drain.borrow().state(self.now())
    }
}
