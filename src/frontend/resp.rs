//! The frontend for the platform's protocol: RESP2 over TCP.
//!
//! This module accepts connections and keeps their number within the process's budget. `connection` has the state of
//! one connection, `session` its life from the first byte to the close, `requests` what its requests ask for, and
//! `answers` the order of pipelined answers. Nothing here decides about a request.

mod answers;
mod connection;
mod requests;
mod session;

use crate::runtime::dispatcher::Dispatcher;
use connection::Connection;
use driftgap_admin::DrainState;
use std::cell::{Cell, RefCell};
use std::cmp::Ordering;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A client that has not read an answer for this long is cut off, ms.
const STALLED_READER_MS: f64 = 10_000.0;
/// A request has this long from the connection's opening, or from its own first byte, to come completely, ms.
const REQUEST_TIMEOUT_MS: f64 = 2500.0;
/// A new connection is left open for at least this long, ms: its first request may be on the way.
const FIRST_REQUEST_MS: f64 = 500.0;
/// Connections are looked through this often.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(200);
/// The listener rests for this long after an error, and while the budget is used up by connections that are owed
/// answers.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts RESP clients.
pub struct RespFrontend {
    dispatcher: Rc<Dispatcher>,
    connections: RefCell<HashMap<u64, Weak<Connection>>>,
    next_number: Cell<u64>,
    /// Most connections.
    budget: Cell<usize>,
}

impl RespFrontend {
    /// A frontend that holds at most `budget` connections.
    pub fn new(dispatcher: Rc<Dispatcher>, budget: usize) -> Rc<RespFrontend> {
        Rc::new(RespFrontend {
            dispatcher,
            connections: RefCell::default(),
            next_number: Cell::new(0),
            budget: Cell::new(budget),
        })
    }

    /// Holds at most `budget` connections from now on; idle ones above that are closed.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        for _ in budget..self.connections() {
            if !self.close_idle() {
                return;
            }
        }
    }

    /// Connections held.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections until its task is ended.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            self.wait_for_free_place().await;
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                // Out of descriptors, or the client has gone already.
                Err(e) => {
                    tracing::warn!(error = %e, "accept");
                    self.close_idle();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Waits until the budget allows one more connection. While every connection is owed an answer, new ones wait in
    /// the listener's queue.
    async fn wait_for_free_place(&self) {
        while self.connections() >= self.budget.get() {
            if self.close_idle() {
                // Guards the descriptors of endpoints: the place is free only once that connection has ended.
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let peer = stream
            .peer_addr()
            .map_or(IpAddr::from([0, 0, 0, 0]), |addr| addr.ip());
        let (read, write) = stream.into_split();
        let connection = Rc::new(Connection::new(self.dispatcher.clone(), write, peer));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.connections
            .borrow_mut()
            .insert(number, Rc::downgrade(&connection));
        let frontend = self.clone();
        spawn_local(async move {
            session::serve(&connection, read).await;
            for id in connection.pending_requests() {
                connection.dispatcher.client_gone(id);
            }
            frontend.connections.borrow_mut().remove(&number);
        });
    }

    /// Closes an idle connection; false: there is none. First those whose requests have ended, then those that have
    /// never sent a request, and of equal ones that which has been idle for longest.
    fn close_idle(&self) -> bool {
        let (connections, now) = (self.connections.borrow(), self.dispatcher.now());
        let closable = connections
            .values()
            .filter_map(Weak::upgrade)
            .filter(|c| c.is_idle() && !c.draining.get())
            .filter(|c| !c.awaits_first_request(now));
        let order = |c: &Rc<Connection>| {
            (
                !c.lingering.get(),
                c.has_sent_request.get(),
                c.last_active_ms.get(),
            )
        };
        let first =
            closable.min_by(|a, b| order(a).partial_cmp(&order(b)).unwrap_or(Ordering::Equal));
        let Some(connection) = first else {
            return false;
        };
        connection.place_wanted.set(true);
        connection.drain();
        true
    }

    /// Ends every connection as soon as nothing is owed on it. A new one still has its time for a first request.
    pub fn drain(&self) {
        let now = self.dispatcher.now();
        for connection in self.open_connections() {
            if !connection.awaits_first_request(now) {
                connection.drain();
            }
        }
    }

    fn open_connections(&self) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections.values().filter_map(Weak::upgrade).collect()
    }

    /// Ends connections that take a place and neither complete a request nor read an answer, and all of them while
    /// the ingress drains; until its task is ended.
    pub async fn supervise(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SUPERVISE_INTERVAL).await;
            if self.dispatcher.drain_state() >= DrainState::Draining {
                self.drain();
            }
            let now = self.dispatcher.now();
            for connection in self.open_connections() {
                connection.check_timeouts(now);
            }
        }
    }
}
