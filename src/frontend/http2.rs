//! The HTTP/2 frontend: HTTP/2 without TLS, with prior knowledge, on the `h2` crate.
//!
//! This module accepts connections and limits their number. `connection` serves one connection,
//! `stream` serves one of its streams, and `requests` builds a request from the headers and body of
//! a stream. A stream reset by the client counts as a disconnected client. Nothing here decides
//! about a request. `h2` has buffers of its own, so a connection has no ring buffers: limits on
//! windows, streams and header lists bound the memory instead.

mod connection;
mod requests;
mod stream;

use super::accept_error::AfterAcceptError;
use crate::config::operator_file::Http2Limits;
use crate::runtime::dispatcher::Dispatcher;
use connection::Connection;
use driftgap_admin::DrainState;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Interval between two checks whether the ingress drains.
const SUPERVISE_INTERVAL: Duration = Duration::from_millis(100);
/// Pause of the listener after an error, and between two checks while all connections are in use.
const ACCEPT_PAUSE: Duration = Duration::from_millis(5);
/// A client that does not complete its preface, or does not read its answer, within this time is
/// disconnected.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Accepts HTTP/2 clients.
pub struct Http2Frontend {
    dispatcher: Rc<Dispatcher>,
    limits: Http2Limits,
    connections: RefCell<HashMap<u64, Weak<Connection>>>,
    next_number: Cell<u64>,
}

impl Http2Frontend {
    /// Creates a frontend with these limits.
    pub fn new(dispatcher: Rc<Dispatcher>, limits: Http2Limits) -> Rc<Http2Frontend> {
        Rc::new(Http2Frontend {
            dispatcher,
            limits,
            connections: RefCell::default(),
            next_number: Cell::new(0),
        })
    }

    /// Returns the number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.borrow().len()
    }

    /// Accepts connections until its task is aborted.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            // While every connection has open streams, new ones wait in the listener's queue.
            while self.connections() >= self.limits.connections {
                self.close_idle();
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
            match listener.accept().await {
                Ok((stream, peer)) => self.open(stream, peer.ip()),
                Err(e) => self.recover_from(&e).await,
            }
        }
    }

    /// Prepares the next attempt after an error of accepting.
    async fn recover_from(&self, error: &std::io::Error) {
        let recovery = AfterAcceptError::of(error);
        if recovery == AfterAcceptError::TryAgain {
            tracing::debug!(%error, "HTTP/2 connection cannot be accepted; trying again");
            return tokio::task::yield_now().await;
        }
        tracing::warn!(%error, "HTTP/2 connection cannot be accepted; trying again");
        if recovery == AfterAcceptError::FreeDescriptor {
            self.close_idle();
        }
        tokio::time::sleep(ACCEPT_PAUSE).await;
    }

    fn open(self: &Rc<Self>, stream: TcpStream, peer: IpAddr) {
        let connection = Rc::new(Connection::new(self.dispatcher.clone(), peer));
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.connections
            .borrow_mut()
            .insert(number, Rc::downgrade(&connection));
        if self.dispatcher.drain_state() >= DrainState::Draining {
            connection.drain();
        }
        let frontend = self.clone();
        let max_streams = self.limits.streams;
        spawn_local(async move {
            let _ = stream.set_nodelay(true);
            if let Err(e) = connection::serve(&connection, stream, max_streams).await {
                tracing::debug!(error = %e, "HTTP/2 connection failed");
            }
            frontend.connections.borrow_mut().remove(&number);
        });
    }

    /// Drains the connection that has been idle for longest, if any is idle.
    fn close_idle(&self) {
        let idle = self
            .open_connections()
            .into_iter()
            .filter(|connection| connection.is_idle());
        let last_active = |c: &Rc<Connection>| c.last_active_ms.get();
        let oldest = idle.min_by(|a, b| last_active(a).total_cmp(&last_active(b)));
        if let Some(connection) = oldest {
            connection.drain();
        }
    }

    /// Sends GOAWAY on every connection. Open streams are completed.
    pub fn drain(&self) {
        for connection in self.open_connections() {
            connection.drain();
        }
    }

    fn open_connections(&self) -> Vec<Rc<Connection>> {
        let connections = self.connections.borrow();
        connections.values().filter_map(Weak::upgrade).collect()
    }

    /// Drains all connections, including new ones, while the ingress drains. Runs until its task is
    /// aborted.
    pub async fn supervise(self: Rc<Self>) {
        loop {
            tokio::time::sleep(SUPERVISE_INTERVAL).await;
            if self.dispatcher.drain_state() >= DrainState::Draining {
                self.drain();
            }
        }
    }
}
