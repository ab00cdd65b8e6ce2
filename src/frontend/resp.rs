//! The frontend for the platform's protocol: RESP2 over TCP.
//!
//! This module accepts connections and keeps their number within the process's budget. `connection`
//! is the state of one connection, `session` its loop from the first byte to the close, `requests`
//! the interpretation of its requests, `answers` the order of pipelined answers, and `close` the end of
//! a connection. Nothing here decides about a request.

mod answers;
mod close;
mod connection;
mod requests;
mod session;

use super::accept_error::AfterAcceptError;
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

/// A client that has not read a pending answer for this long is disconnected, ms.
const STALLED_READER_MS: f64 = 10_000.0;
/// Time for a complete request to arrive, ms: from the opening of the connection, or from the
/// request's own first byte.
const REQUEST_TIMEOUT_MS: f64 = 2500.0;
/// Time for which a new connection is never closed as idle, ms: its first request may be in
/// transit.
const FIRST_REQUEST_MS: f64 = 500.0;
/// Interval between two checks of all connections for timeouts and drain.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(200);
/// Pause of the listener after an error, and between two checks while every connection of the
/// budget has answers pending.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);

/// Accepts RESP clients.
pub struct RespFrontend {
    dispatcher: Rc<Dispatcher>,
    connections: RefCell<HashMap<u64, Weak<Connection>>>,
    next_number: Cell<u64>,
    /// Most open connections.
    budget: Cell<usize>,
}

impl RespFrontend {
    /// Creates a frontend with at most `budget` connections.
    pub fn new(dispatcher: Rc<Dispatcher>, budget: usize) -> Rc<RespFrontend> {
        Rc::new(RespFrontend {
            dispatcher,
            connections: RefCell::default(),
            next_number: Cell::new(0),
            budget: Cell::new(budget),
        })
    }

    /// Changes the budget. Idle connections above it are closed at once.
    pub fn set_budget(&self, budget: usize) {
        self.budget.set(budget);
        for _ in budget..self.connections() {
            if !self.close_idle() {
                return;
            }
        }
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections until its task is aborted.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            self.wait_for_free_slot().await;
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream),
                Err(e) => self.recover_from(&e).await,
            }
        }
    }

    /// Waits until the budget allows one more connection. While every connection has answers
    /// pending, new ones wait in the listener's queue.
    async fn wait_for_free_slot(&self) {
        while self.connections() >= self.budget.get() {
            if self.close_idle() {
                // The closed connection frees its descriptor only when its task has run. Accepting
                // earlier would take a descriptor from the endpoints.
                tokio::task::yield_now().await;
            } else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }

    /// Prepares the next attempt after an error of accepting.
    async fn recover_from(&self, error: &std::io::Error) {
        let recovery = AfterAcceptError::of(error);
        if recovery == AfterAcceptError::TryAgain {
            tracing::debug!(%error, "RESP connection cannot be accepted; trying again");
            return tokio::task::yield_now().await;
        }
        tracing::warn!(%error, "RESP connection cannot be accepted; trying again");
        if recovery == AfterAcceptError::FreeDescriptor {
            self.close_idle();
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
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
            let cause = session::serve(&connection, read).await;
            connection.log_end(cause);
            connection.dispatcher.client_statistics().closed(cause);
            for id in connection.pending_requests() {
                connection.dispatcher.client_gone(id);
            }
            frontend.connections.borrow_mut().remove(&number);
        });
    }

    /// Closes one idle connection; returns false if there is none. Lingering connections are closed
    /// first, then those that have never sent a request, and among equals the one that has been
    /// idle for longest.
    fn close_idle(&self) -> bool {
        let (connections, now) = (self.connections.borrow(), self.dispatcher.now());
        let closable = connections
            .values()
            .filter_map(Weak::upgrade)
            .filter(|c| c.is_idle() && (c.lingering.get() || !c.draining.get()))
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
        connection.eviction_requested.set(true);
        connection.drain();
        true
    }

    /// Closes every connection as soon as no answer is pending on it. A new connection keeps its
    /// time for a first request.
    pub fn drain(&self) {
        let now = self.dispatcher.now();
        for connection in self.open_connections() {
            if !connection.awaits_first_request(now) {
                connection.drain();
            }
        }
    }

    /// Reads no more requests, at the end of a shutdown. Requests that have been read are answered
    /// before their connection closes; clients send those that were not read elsewhere.
    pub fn stop_reading(&self) {
        for connection in self.open_connections() {
            connection.stop_reading();
        }
    }

    fn open_connections(&self) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections.values().filter_map(Weak::upgrade).collect()
    }

    /// Disconnects clients that neither complete a request nor read an answer in time, and drains
    /// all connections while the ingress drains. Runs until its task is aborted.
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
