//! The side of the endpoints: attempts and health checks over pooled connections.
//!
//! | module | job |
//! | --- | --- |
//! | `pools` | idle and shared connections by endpoint, the budget of connections |
//! | `connection_limit` | the most connections that an endpoint has been seen to accept |
//! | `dead_connections` | how long a connection may be idle and still be trusted |
//! | `connection` | one RESP connection: reading and writing |
//! | `dial` | a connection for an attempt: pooled, or opened |
//! | `resp_exchange`, `http2_exchange` | one attempt over each wire |
//! | `health_check` | one health check over each wire |
//! | `running_attempt` | how an attempt under way is abandoned at once |
//!
//! It never sends an attempt again by itself, leaves an abandoned attempt's connection open, or reuses one whose peer
//! has closed it. What each end of an attempt proves stands in [`crate::protocol::attempt_outcome`].

mod connection;
mod connection_limit;
mod dead_connections;
mod dial;
mod health_check;
mod http2_exchange;
mod pools;
mod resp_exchange;
mod running_attempt;

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

/// A reply that has begun and of which nothing more comes for this many connect timeouts is malformed. Guards against
/// a reply whose length is wrong, which would hold its attempt until the deadline.
const STALL_CONNECT_TIMEOUTS: u32 = 2;
/// A streamed body of which nothing more comes for this long is given up. Longer than the stall of a reply, since the
/// attempt cannot be made elsewhere any more.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_millis(3000);

/// All connections to endpoints, and the attempts under way.
pub struct Upstream {
    dispatcher: Rc<Dispatcher>,
    pools: ConnectionPools,
    running: RefCell<HashMap<(RequestId, u32), RunningAttempt>>,
    connect_timeout: Duration,
}

impl Upstream {
    /// No connections yet; `budget` is the most that may be open together.
    pub fn new(dispatcher: Rc<Dispatcher>, budget: usize) -> Rc<Upstream> {
        let platform = dispatcher.platform();
        Rc::new(Upstream {
            pools: ConnectionPools::new(budget, platform.endpoint_idle_close_ms),
            running: RefCell::default(),
            connect_timeout: Duration::from_secs_f64(platform.connect_timeout_ms / MS_PER_S),
            dispatcher,
        })
    }

    /// Connections open or coming up.
    pub fn open_connections(&self) -> usize {
        self.pools.open()
    }

    /// Keeps to this many connections from now on, and closes idle ones above that.
    pub fn set_budget(&self, budget: usize) {
        self.pools.set_budget(budget);
    }

    /// Starts an attempt; the dispatcher is notified of its end.
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

    /// Abandons an attempt. Its connection or stream is ended here and now, not when its task is next polled: a later
    /// attempt of the same request must never overlap with it.
    pub fn abandon_attempt(&self, id: RequestId, number: u32) {
        let Some(running) = self.running.borrow_mut().remove(&(id, number)) else {
            return;
        };
        match running.handle.take() {
            Some(Abandon::Close(connection)) => {
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

    /// Sends an endpoint a health check; the dispatcher is notified of its end.
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

    /// Closes the idle connections to an endpoint that gets no more requests, and forgets what was learnt of it.
    pub fn release(&self, endpoint: EndpointId) {
        self.pools.release(endpoint);
    }

    /// Closes connections that have been idle for long; called once a second with the time, ms.
    pub fn close_idle(&self, now: f64) {
        self.pools.sweep(now);
    }

    fn address(&self, endpoint: EndpointId) -> Option<(SocketAddr, EndpointProtocol)> {
        self.dispatcher
            .registry()
            .endpoint(endpoint)
            .map(|endpoint| (endpoint.addr, endpoint.protocol))
    }

    /// How long a reply that has begun may bring nothing more.
    fn stall_timeout(&self) -> Duration {
        STALL_CONNECT_TIMEOUTS * self.connect_timeout
    }

    /// Keeps a connection for the next request, unless its endpoint gets none or unread bytes are left.
    /// Guards against an answer that goes to the wrong request: bytes behind a reply belong to nobody.
    fn keep(&self, endpoint: EndpointId, connection: Rc<connection::Connection>) {
        if connection.has_unread_bytes() || !self.dispatcher.accepts_requests(endpoint) {
            return;
        }
        self.pools.keep(self.dispatcher.now(), endpoint, connection);
    }
}
