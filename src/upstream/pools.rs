//! Open connections by endpoint: idle RESP connections, newest first, and one shared HTTP/2
//! connection. All endpoints share one limit on open connections, the budget.

use crate::decision::driver::EndpointId;
use crate::upstream::connection::Connection;
use crate::upstream::connection_limit::ConnectionLimit;
use crate::upstream::dead_connections::{idle_class, DeadConnections, IdleClass};
use crate::upstream::shared_connection::SharedConnection;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;

/// Share of the settings' idle time after which a connection is closed. The ingress closes it well
/// before the endpoint does, since a request that is sent while the endpoint closes the connection
/// may have run.
const MAX_IDLE_SHARE: f64 = 0.6;
/// Delay before a connection is reused after an answer, ms: a second answer to the same request may
/// arrive some ms late.
pub(super) const REUSE_DELAY_MS: f64 = 10.0;

/// A slot for one open connection, released when dropped.
pub(super) struct ConnectionSlot {
    open_total: Rc<Cell<usize>>,
    open_to_endpoint: Rc<Cell<usize>>,
}

impl ConnectionSlot {
    fn take(open_total: &Rc<Cell<usize>>, open_to_endpoint: &Rc<Cell<usize>>) -> ConnectionSlot {
        open_total.set(open_total.get() + 1);
        open_to_endpoint.set(open_to_endpoint.get() + 1);
        ConnectionSlot {
            open_total: open_total.clone(),
            open_to_endpoint: open_to_endpoint.clone(),
        }
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.open_total.set(self.open_total.get() - 1);
        self.open_to_endpoint.set(self.open_to_endpoint.get() - 1);
    }
}

struct IdleConnection {
    connection: Rc<Connection>,
    since_ms: f64,
}

#[derive(Default)]
struct EndpointPool {
    /// Idle connections, oldest first.
    idle: Vec<IdleConnection>,
    shared: Option<Rc<SharedConnection>>,
    open: Rc<Cell<usize>>,
    limit: Option<ConnectionLimit>,
}

/// The connection pools of all endpoints.
pub(super) struct ConnectionPools {
    by_endpoint: RefCell<HashMap<EndpointId, EndpointPool>>,
    open: Rc<Cell<usize>>,
    dead_connections: RefCell<DeadConnections>,
    budget: Cell<usize>,
    max_idle_ms: f64,
}

impl ConnectionPools {
    /// Creates pools without connections. `budget` is the maximum number of open connections,
    /// `idle_ms` the time after which endpoints close an idle connection.
    pub(super) fn new(budget: usize, idle_ms: f64) -> ConnectionPools {
        ConnectionPools {
            by_endpoint: RefCell::default(),
            open: Rc::default(),
            dead_connections: RefCell::default(),
            budget: Cell::new(budget),
            max_idle_ms: idle_ms * MAX_IDLE_SHARE,
        }
    }

    /// Number of connections that are open or being established.
    pub(super) fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets the budget, and closes idle connections above it.
    pub(super) fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        let mut pools = self.by_endpoint.borrow_mut();
        while self.open.get() > budget && close_longest_idle(&mut pools) {}
    }

    /// Closes the idle connections to an endpoint and removes its inferred limit.
    pub(super) fn release(&self, endpoint: EndpointId) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.idle.clear();
            pool.shared = None;
            pool.limit = None;
        }
    }

    /// Closes connections that have been idle for too long, and removes empty pools.
    pub(super) fn sweep(&self, now_ms: f64) {
        self.dead_connections.borrow_mut().decay();
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

    /// Takes the newest idle connection that is past its reuse delay and that the endpoint has not
    /// closed. If that connection has been idle for too long or its idle class is suspect, the
    /// older ones are closed too.
    pub(super) fn take_idle(
        &self,
        now_ms: f64,
        endpoint: EndpointId,
        addr: SocketAddr,
    ) -> Option<Rc<Connection>> {
        let mut pools = self.by_endpoint.borrow_mut();
        let pool = pools.get_mut(&endpoint)?;
        // A late second answer must not be taken for the answer to the next request.
        while let Some(reusable) = pool
            .idle
            .iter()
            .rposition(|idle| now_ms - idle.since_ms >= REUSE_DELAY_MS)
        {
            let idle = pool.idle.remove(reusable);
            let idle_ms = now_ms - idle.since_ms;
            let class = idle_class(idle_ms);
            if idle_ms >= self.max_idle_ms || self.dead_connections.borrow().is_suspect(class) {
                pool.idle.drain(..reusable);
                return None;
            }
            if idle.connection.addr() == addr && is_open_without_data(&idle.connection) {
                idle.connection.set_idle_class(class);
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds an idle connection to the pool.
    pub(super) fn add_idle(&self, now_ms: f64, endpoint: EndpointId, connection: Rc<Connection>) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.idle.push(IdleConnection {
                connection,
                since_ms: now_ms,
            });
        }
    }

    /// Records whether a connection of this idle class was dead when it was used.
    pub(super) fn record_use(&self, class: IdleClass, dead: bool) {
        self.dead_connections.borrow_mut().record(class, dead);
    }

    /// Takes a slot for one more connection. Returns none if the budget is used up and no idle
    /// connection can be closed, or if the endpoint's limit is reached.
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

    /// Handles a failed connect whose slot is still taken.
    pub(super) fn connect_failed(&self, now_ms: f64, endpoint: EndpointId) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            let others = pool.open.get().saturating_sub(1);
            if let Some(limit) = ConnectionLimit::infer(now_ms, others) {
                pool.limit = Some(limit);
            }
        }
    }

    /// Returns the endpoint's shared connection, if it is usable.
    pub(super) fn shared(
        &self,
        endpoint: EndpointId,
        addr: SocketAddr,
    ) -> Option<Rc<SharedConnection>> {
        self.by_endpoint
            .borrow()
            .get(&endpoint)
            .and_then(|pool| pool.shared.clone())
            .filter(|shared| shared.is_usable(addr))
    }

    /// Makes a new connection the shared one, unless another usable one was established in the
    /// meantime.
    pub(super) fn share(&self, endpoint: EndpointId, connection: &Rc<SharedConnection>) {
        if let Some(pool) = self.by_endpoint.borrow_mut().get_mut(&endpoint) {
            pool.shared
                .take_if(|shared| !shared.is_usable(connection.addr));
            pool.shared.get_or_insert_with(|| connection.clone());
        }
    }

    /// Drops the shared connection if the endpoint has not answered on it since `since_ms`. The
    /// connection to a machine that is cut off from the network stays open, and every attempt on it
    /// would time out.
    pub(super) fn drop_silent_shared(&self, endpoint: EndpointId, since_ms: f64) {
        let mut pools = self.by_endpoint.borrow_mut();
        let silent = pools.get_mut(&endpoint).and_then(|pool| {
            pool.shared
                .take_if(|shared| shared.last_received_ms.get() < since_ms)
        });
        if let Some(shared) = silent {
            shared.mark_silent();
        }
    }
}

/// Whether the connection is open and has no data to read. Checked before a request is written: a
/// closed connection would fail the request, which would then count as one that may have run, and
/// data that is already here belongs to another request. Peeks at the socket itself, because the
/// readiness cached by the runtime may be out of date.
fn is_open_without_data(connection: &Connection) -> bool {
    let peeked = socket2::SockRef::from(connection.stream()).peek(&mut [MaybeUninit::uninit(); 1]);
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

/// Closes the connection that has been idle for longest. Returns false if no connection is idle.
fn close_longest_idle(pools: &mut HashMap<EndpointId, EndpointPool>) -> bool {
    let longest = pools
        .values_mut()
        .filter(|pool| !pool.idle.is_empty())
        .min_by(|a, b| a.idle[0].since_ms.total_cmp(&b.idle[0].since_ms));
    longest.map(|pool| pool.idle.remove(0)).is_some()
}
