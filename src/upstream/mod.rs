//! Connections to endpoints: attempts and health checks over pooled connections.
//!
//! | module | job |
//! | --- | --- |
//! | `pools` | idle and shared connections by endpoint, and the limit on open connections |
//! | `connection_limit` | the connection limit of an endpoint, inferred from failed connects |
//! | `dead_connections` | idle times after which connections are likely to be dead |
//! | `connection` | one RESP connection: reading and writing |
//! | `dial` | obtains a connection for an attempt: pooled or new |
//! | `resp_exchange`, `http2_exchange` | one attempt over each protocol |
//! | `http2_request` | sending the request of an attempt over HTTP/2 |
//! | `health_check` | one health check over each protocol |
//! | `reply_error` | why a reply could not be used |
//! | `reply_pace` | when a reply counts as stalled, and when a long value is streamed |
//! | `running_attempt` | immediate abandoning of a running attempt |
//! | `shared_connection` | an HTTP/2 connection and the places of its streams |
//! | `write_limit` | the time within which a request must be written completely |
//!
//! This module never repeats an attempt by itself, never leaves the connection or stream of an
//! abandoned attempt open, and never reuses a connection that the endpoint has closed.
//! [`crate::protocol::attempt_outcome`] defines what the end of an attempt proves.

mod connection;
mod connection_limit;
mod dead_connections;
mod dial;
mod health_check;
mod http2_exchange;
mod http2_request;
mod pools;
mod reply_error;
mod reply_pace;
mod resp_exchange;
mod running_attempt;
mod shared_connection;
mod write_limit;

use crate::buffer::socket_io::discard_unsent;
use crate::decision::driver::{EndpointId, RequestId};
use crate::decision::Outcome;
use crate::discovery::registry::EndpointProtocol;
use crate::request::{AttemptResult, AttemptStart};
use crate::runtime::dispatcher::Dispatcher;
use crate::units::MS_PER_S;
use pools::ConnectionPools;
use running_attempt::{Abandon, AbandonHandle, RunningAttempt};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// A reply has stalled if it has begun and no more bytes arrive for this many connect timeouts. A
/// request that is safe to repeat is then sent to another endpoint.
const STALL_CONNECT_TIMEOUTS: u32 = 2;
/// A streamed body is given up if no more bytes arrive for this long: its request cannot be repeated
/// any more, and an endpoint that has vanished would hold its client forever.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// All connections to endpoints, and the running attempts.
pub struct Upstream {
    dispatcher: Rc<Dispatcher>,
    pools: ConnectionPools,
    running: RefCell<HashMap<(RequestId, u32), RunningAttempt>>,
    connect_timeout: Duration,
}

impl Upstream {
    /// Creates a set without connections; `budget` is the maximum number of open connections.
    pub fn new(dispatcher: Rc<Dispatcher>, budget: usize) -> Rc<Upstream> {
        let platform = dispatcher.platform();
        Rc::new(Upstream {
            pools: ConnectionPools::new(budget, platform.endpoint_idle_close_ms),
            running: RefCell::default(),
            connect_timeout: Duration::from_secs_f64(platform.connect_timeout_ms / MS_PER_S),
            dispatcher,
        })
    }

    /// Number of connections that are open or being established.
    pub fn open_connections(&self) -> usize {
        self.pools.open()
    }

    /// Changes the maximum number of connections, and closes idle connections above it.
    pub fn set_budget(&self, budget: usize) {
        self.pools.set_budget(budget);
    }

    /// Starts an attempt. The dispatcher is notified when the attempt ends.
    pub fn start_attempt(self: &Rc<Self>, attempt: AttemptStart) {
        let key = (attempt.request_id, attempt.attempt);
        let endpoint = attempt.endpoint;
        let started_ms = self.dispatcher.now();
        let handle = AbandonHandle::default();
        let (task_handle, upstream) = (handle.clone(), self.clone());
        let task = spawn_local(async move {
            let result = upstream.run(&attempt, &task_handle).await;
            upstream.running.borrow_mut().remove(&key);
            upstream.dispatcher.with_requests(|requests, now_ms| {
                requests.attempt_ended(now_ms, attempt.request_id, attempt.attempt, result)
            });
        });
        let running = RunningAttempt {
            task: task.abort_handle(),
            handle,
            endpoint,
            started_ms,
        };
        self.running.borrow_mut().insert(key, running);
    }

    async fn run(self: &Rc<Self>, attempt: &AttemptStart, handle: &AbandonHandle) -> AttemptResult {
        match self.address(attempt.endpoint) {
            Some((addr, EndpointProtocol::Resp)) => {
                resp_exchange::exchange(self, attempt, addr, handle).await
            }
            Some((addr, EndpointProtocol::Http2)) => {
                http2_exchange::exchange(self, attempt, addr, handle).await
            }
            None => AttemptResult::with_outcome(Outcome::ConnectFailed),
        }
    }

    /// Abandons an attempt. Ends its connection or stream immediately, without waiting for the
    /// attempt's task to be polled: a later attempt of the same request must not overlap with it. What
    /// the system has not sent of the request is discarded, except on an HTTP/2 connection that other
    /// attempts use.
    pub fn abandon_attempt(&self, id: RequestId, number: u32) {
        let Some(running) = self.running.borrow_mut().remove(&(id, number)) else {
            return;
        };
        match running.handle.take() {
            Some(Abandon::Close(connection)) => {
                discard_unsent(connection.stream());
                let socket = socket2::SockRef::from(connection.stream());
                let _ = socket.shutdown(Shutdown::Both);
            }
            Some(Abandon::Reset(mut stream)) => {
                stream.send_reset(h2::Reason::CANCEL);
                self.pools
                    .drop_silent_shared(running.endpoint, running.started_ms);
            }
            None => {}
        }
        running.task.abort();
    }

    /// Sends a health check to an endpoint. The dispatcher is notified when the check ends.
    pub fn start_health_check(self: &Rc<Self>, endpoint: EndpointId) {
        let upstream = self.clone();
        spawn_local(async move {
            let check = health_check::check(&upstream, endpoint);
            let (outcome, load) = timeout(upstream.connect_timeout, check)
                .await
                .unwrap_or((Outcome::Timeout, Vec::new()));
            upstream.dispatcher.with_requests(|requests, now_ms| {
                requests.health_check_ended(now_ms, endpoint, outcome, load)
            });
        });
    }

    /// Closes the idle connections to an endpoint that gets no more requests, and removes its
    /// inferred limit.
    pub fn release(&self, endpoint: EndpointId) {
        self.pools.release(endpoint);
    }

    /// Closes connections that have been idle for too long. Called once a second with the current
    /// time, ms.
    pub fn close_idle(&self, now: f64) {
        self.pools.sweep(now);
    }

    fn address(&self, endpoint: EndpointId) -> Option<(SocketAddr, EndpointProtocol)> {
        self.dispatcher
            .registry()
            .endpoint(endpoint)
            .map(|endpoint| (endpoint.addr, endpoint.protocol))
    }

    /// Whether a request may be written to this address of the endpoint. It may have begun to drain, or
    /// have moved, while its connection was being established.
    fn accepts_requests_at(&self, endpoint: EndpointId, addr: SocketAddr) -> bool {
        self.dispatcher.accepts_requests(endpoint)
            && self
                .address(endpoint)
                .is_some_and(|(current, _)| current == addr)
    }

    /// Reports that the reply of an attempt has stalled. The attempt goes on, unless the request is
    /// sent to another endpoint instead.
    fn report_stall(&self, attempt: &AttemptStart) {
        self.dispatcher.with_requests(|requests, now_ms| {
            requests.attempt_stalled(now_ms, attempt.request_id, attempt.attempt)
        });
    }

    /// How long a reply may pause after its first bytes before it counts as stalled.
    fn stall_timeout(&self) -> Duration {
        STALL_CONNECT_TIMEOUTS * self.connect_timeout
    }

    /// Returns a connection to the pool, unless its endpoint accepts no more requests or unread
    /// bytes are left: bytes after a reply would be taken for the answer to the next request.
    fn return_to_pool(&self, endpoint: EndpointId, connection: Rc<connection::Connection>) {
        if connection.has_unread_bytes() || !self.dispatcher.accepts_requests(endpoint) {
            return;
        }
        self.pools
            .add_idle(self.dispatcher.now(), endpoint, connection);
    }
}
