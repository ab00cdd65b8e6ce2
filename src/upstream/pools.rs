//! Open connections by endpoint: idle RESP connections, newest first, one shared HTTP/2 connection, and the budget of
//! connections that all endpoints share.

use crate::decision::driver::EndpointId;
use crate::upstream::connection::Connection;
use crate::upstream::connection_limit::ConnectionLimit;
use crate::upstream::dead_connections::{idle_class, DeadConnections, IdleClass};
use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of the idle time in the settings after which a connection is closed: well before the endpoint closes
/// it, since a request that meets that close may have run.
const MAX_IDLE_SHARE: f64 = 0.6;
/// A connection rests this long behind an answer, ms: a second answer to the same request may come some ms late.
pub(super) const REST_MS: f64 = 10.0;

/// A place among the open connections, given back when dropped.
pub(super) struct ConnectionSlot {
    open_in_all: Rc<Cell<usize>>,
    open_here: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    fn take(open_in_all: &Rc<Cell<usize>>, open_here: &Rc<Cell<usize>>) -> ConnectionSlot {
        open_in_all.set(open_in_all.get() + 1);
        open_here.set(open_here.get() + 1);
        ConnectionSlot {
            open_in_all: open_in_all.clone(),
            open_here: open_here.clone(),
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_in_all.set(self.open_in_all.get() - 1);
        self.open_here.set(self.open_here.get() - 1);
    }
}

struct IdleConnection {
    connection: Rc<Connection>,
    since_ms: f64,
}

/// An HTTP/2 connection, which carries many attempts.
#[derive(Clone)]
pub(super) struct SharedConnection {
    pub(super) send: SendRequest<Bytes>,
    pub(super) addr: SocketAddr,
    /// When the endpoint last answered on it, ms.
    pub(super) last_heard_ms: Rc<Cell<f64>>,
    /// When an attempt last used it, ms.
    pub(super) last_used_ms: Rc<Cell<f64>>,
    /// Whether it takes further streams.
    pub(super) alive: Rc<Cell<bool>>,
}

impl SharedConnection {
    fn is_usable(&self, addr: SocketAddr) -> bool {
        self.alive.get() && self.addr == addr
    }
}

#[derive(Default)]
struct EndpointPool {
    /// Oldest first.
    idle: Vec<IdleConnection>,
    shared: Option<SharedConnection>,
    open: Rc<Cell<usize>>,
    limit: Option<ConnectionLimit>,
}

/// The pools of all endpoints.
pub(super) struct ConnectionPools {
    by_endpoint: RefCell<HashMap<EndpointId, EndpointPool>>,
    open: Rc<Cell<usize>>,
    dead_connections: RefCell<DeadConnections>,
    budget: Cell<usize>,
    max_idle_ms: f64,
}

impl ConnectionPools {
    /// No connections yet; `budget` is the most that may be open together, `idle_ms` the time after which endpoints
    /// close an idle connection.
    pub(super) fn new(budget: usize, idle_ms: f64) -> ConnectionPools {
        ConnectionPools {
            by_endpoint: RefCell::default(),
            open: Rc::default(),
            dead_connections: RefCell::default(),
            budget: Cell::new(budget),
            max_idle_ms: idle_ms * MAX_IDLE_SHARE,
        }
    }

    /// Connections open or coming up.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets the budget, and closes idle connections above it.
    pub(super) fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        let mut pools = self.by_endpoint.borrow_mut();
        while self.open.get() > budget && close_longest_idle(&mut pools) {}
    }

    /// Closes the idle connections to an endpoint and forgets its limit.
    pub(super) fn release(&self, endpoint: EndpointId) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.idle.clear();
            pool.shared = None;
            pool.limit = None;
        }
    }

    /// Closes connections that have been idle for long, and drops empty pools.
    pub(super) fn sweep(&self, now_ms: f64) {
        self.dead_connections.borrow_mut().fade();
        let mut pools = self.by_endpoint.borrow_mut();
        for pool in pools.values_mut() {
            pool.idle
                .retain(|idle| now_ms - idle.since_ms < self.max_idle_ms);
            pool.shared.take_if(|shared| {
                now_ms - shared.last_used_ms.get() >= self.max_idle_ms || !shared.alive.get()
            });
        }
        pools.retain(|_, pool| pool.open.get() > 0 || pool.limit.is_some());
    }

    /// The newest idle connection that has rested and that its peer has not closed. Where the newest is too
    /// old or too often dead at its age, so are the older ones, which are closed.
    pub(super) fn take_idle(
        &self,
        now_ms: f64,
        endpoint: EndpointId,
        addr: SocketAddr,
    ) -> Option<Rc<Connection>> {
        let mut pools = self.by_endpoint.borrow_mut();
        let pool = pools.get_mut(&endpoint)?;
        // Guards against a late second answer: it must not be taken for the answer to the next request.
        while let Some(rested) = pool
            .idle
            .iter()
            .rposition(|idle| now_ms - idle.since_ms >= REST_MS)
        {
            let idle = pool.idle.remove(rested);
            let idle_ms = now_ms - idle.since_ms;
            let class = idle_class(idle_ms);
            if idle_ms >= self.max_idle_ms || self.dead_connections.borrow().is_suspect(class) {
                pool.idle.drain(..rested);
                return None;
            }
            if idle.connection.addr() == addr && is_quiet(&idle.connection) {
                idle.connection.set_idle_class(class);
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps an idle connection for the next request.
    pub(super) fn keep(&self, now_ms: f64, endpoint: EndpointId, connection: Rc<Connection>) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.idle.push(IdleConnection {
                connection,
                since_ms: now_ms,
            });
        }
    }

    /// Notes whether a connection that had been idle for this long was dead when it was used.
    pub(super) fn note_use(&self, class: IdleClass, dead: bool) {
        self.dead_connections.borrow_mut().note(class, dead);
    }

    /// A place for one more connection; none: the budget or the endpoint's limit is reached, and nothing idle can be
    /// closed for it.
    pub(super) fn take_slot(&self, now_ms: f64, endpoint: EndpointId) -> Option<ConnectionSlot> {
        let mut pools = self.by_endpoint.borrow_mut();
        if self.open.get() >= self.budget.get() && !close_longest_idle(&mut pools) {
            return None;
        }
        let pool = pools.entry(endpoint).or_default();
        let allowed = pool
            .limit
            .is_none_or(|limit| limit.allows(now_ms, pool.open.get()));
        allowed.then(|| ConnectionSlot::take(&self.open, &pool.open))
    }

    /// A connect has failed; its slot is still taken.
    pub(super) fn connect_failed(&self, now_ms: f64, endpoint: EndpointId) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            let others = pool.open.get().saturating_sub(1);
            if let Some(limit) = ConnectionLimit::learn(now_ms, others) {
                pool.limit = Some(limit);
            }
        }
    }

    /// The endpoint's shared connection, if it can be used.
    pub(super) fn shared(
        &self,
        endpoint: EndpointId,
        addr: SocketAddr,
    ) -> Option<SharedConnection> {
        self.by_endpoint
            .borrow()
            .get(&endpoint)
            .and_then(|pool| pool.shared.clone())
            .filter(|shared| shared.is_usable(addr))
    }

    /// Shares a new connection, unless another one has come up meanwhile.
    pub(super) fn share(&self, endpoint: EndpointId, connection: &SharedConnection) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.shared
                .take_if(|shared| !shared.is_usable(connection.addr));
            pool.shared.get_or_insert_with(|| connection.clone());
        }
    }

    /// Drops the shared connection if the endpoint has said nothing on it since then. Guards against a
    /// machine that is cut off: its connection stays open and swallows one attempt after another.
    pub(super) fn drop_silent_shared(&self, endpoint: EndpointId, since_ms: f64) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.shared
                .take_if(|shared| shared.last_heard_ms.get() < since_ms);
        }
    }
}

/// Whether the connection is open and has brought nothing. Guards against a request that may have run for
/// nothing, and against an answer to another request: an end, a reset or bytes that are already here are seen
/// before the request is written. The system itself is asked, since the runtime would answer from what it
/// last heard.
fn is_quiet(connection: &Connection) -> bool {
    let peeked = socket2::SockRef::from(connection.stream()).peek(&mut [MaybeUninit::uninit(); 1]);
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Closes the connection that has been idle for longest; false: none is idle.
fn close_longest_idle(pools: &mut HashMap<EndpointId, EndpointPool>) -> bool {
    let longest = pools
        .values_mut()
        .filter(|pool| !pool.idle.is_empty())
        .min_by(|a, b| a.idle[0].since_ms.total_cmp(&b.idle[0].since_ms));
    longest.map(|pool| pool.idle.remove(0)).is_some()
}
