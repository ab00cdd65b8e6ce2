//! Calls to the counter service.
//!
//! The ingress holds a few connections and puts one call on each as long as there are enough, so
//! that a delayed or invalid answer affects no other call. When the service moves, calls that were
//! written are answered at the old address, and all others go to the new one. This module must
//! never repeat a call that may have been counted, report a late answer as the total of another
//! call, keep using a connection after an invalid answer, or hold a call longer than the time-out
//! in the settings.
//!
//! `call` is one call and its answer, `connection` the calls on one connection, `connection_task`
//! its I/O, and `server` the connections to one address. [`Counter`] combines them and handles the
//! move to another address.

mod call;
mod connection;
mod connection_task;
mod server;

pub use server::MAX_CONNECTIONS;

use crate::decision::driver::CounterAdd;
use crate::decision::Outcome;
use crate::runtime::dispatcher::Dispatcher;
use call::{Call, FailedCall};
use server::CounterServer;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The client of the counter service.
pub struct Counter {
    timeout_ms: f64,
    server: RefCell<Option<Rc<CounterServer>>>,
    /// Former addresses of the service that still have calls in flight.
    former_servers: RefCell<Vec<Rc<CounterServer>>>,
}

impl Counter {
    /// Creates a client for the service at `address`, if there is one. A call without an answer
    /// after `timeout_ms` times out.
    pub fn new(address: Option<SocketAddr>, timeout_ms: f64) -> Counter {
        Counter {
            timeout_ms,
            server: RefCell::new(address.map(CounterServer::new)),
            former_servers: RefCell::default(),
        }
    }

    /// Makes a call. Its outcome is reported to the dispatcher.
    pub fn add(&self, dispatcher: &Rc<Dispatcher>, add: CounterAdd) {
        self.send(dispatcher, Call::new(add, dispatcher.now()));
    }

    fn send(&self, dispatcher: &Rc<Dispatcher>, call: Call) {
        let server = self.server.borrow().clone();
        match server {
            Some(server) => server.send(dispatcher, self.timeout_ms, call),
            None => report_failed(dispatcher, vec![call.failed(Outcome::ConnectFailed)]),
        }
    }

    /// Moves to another address of the service. Calls that were written to the old address may have
    /// been counted there and are not written again; all others go to the new address at once.
    pub fn move_to(&self, dispatcher: &Rc<Dispatcher>, address: Option<SocketAddr>) {
        let current = self.server.borrow().as_ref().map(|server| server.address);
        if current == address {
            return;
        }
        let Some(old) = self.server.replace(address.map(CounterServer::new)) else {
            return;
        };
        let unwritten = old.abandon();
        self.former_servers.borrow_mut().push(old);
        for call in unwritten {
            self.send(dispatcher, call);
        }
    }

    /// Returns when [`Counter::expire`] has to run next, ms; `None` if no call is open.
    pub fn next_due(&self) -> Option<f64> {
        let (server, former) = (self.server.borrow(), self.former_servers.borrow());
        let servers = server.iter().chain(former.iter());
        servers
            .filter_map(|server| server.oldest_call_ms())
            .min_by(f64::total_cmp)
            .map(|made_at_ms| made_at_ms + self.timeout_ms)
    }

    /// Ends the calls that have timed out at `now`, ms, and closes connections that are idle,
    /// unanswered, or at a former address without open calls.
    pub fn expire(&self, dispatcher: &Rc<Dispatcher>, now: f64) {
        let latest_ms = now - self.timeout_ms;
        let mut failed = Vec::new();
        let (server, former) = (self.server.borrow(), self.former_servers.borrow());
        for server in server.iter().chain(former.iter()) {
            server.expire(now, latest_ms, &mut failed);
        }
        drop((server, former));
        self.close_former_servers();
        report_failed(dispatcher, failed);
    }

    fn close_former_servers(&self) {
        self.former_servers.borrow_mut().retain(|server| {
            let keep = server.has_unreported_calls();
            if !keep {
                server.close();
            }
            keep
        });
    }
}

fn report_failed(dispatcher: &Rc<Dispatcher>, failed: Vec<FailedCall>) {
    for FailedCall { name, outcome } in failed {
        dispatcher
            .with_requests(|requests, now| requests.counter_answered(now, name, outcome, 0.0));
    }
}
