//! Calls to the counter service. It owns a few connections, one call on each as long as there are enough, so
//! that an answer that hangs or is spoilt costs no other call its own. When the service moves, calls already
//! written are answered where they were made and all others go to the new address. It must never repeat a call
//! that may have counted, take a late answer for another call's, use a connection on which an answer made no
//! sense, or hold a call back beyond the time-out in the settings.
//!
//! `call` is one call and its answer, `connection` the calls on one connection, `connection_task` its I/O,
//! `server` the connections to one address; here is what all of them together are, and the move.

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

/// The calls of this ingress.
pub struct Counter {
    timeout_ms: f64,
    server: RefCell<Option<Rc<CounterServer>>>,
    /// Where the service was, as long as calls are under way there.
    former_servers: RefCell<Vec<Rc<CounterServer>>>,
}

impl Counter {
    /// A counter at an address, if there is one; a call without an answer after `timeout_ms` has timed out.
    pub fn new(address: Option<SocketAddr>, timeout_ms: f64) -> Counter {
        Counter {
            timeout_ms,
            server: RefCell::new(address.map(CounterServer::new)),
            former_servers: RefCell::default(),
        }
    }

    /// Makes a call; its end is reported to the dispatcher.
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

    /// The service is elsewhere from now on. What was written to the old address may have counted there and is
    /// not written again; what was not goes to the new one at once.
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

    /// When [`Counter::expire`] has something to do, ms; none: no call is open.
    pub fn next_due(&self) -> Option<f64> {
        let (server, former) = (self.server.borrow(), self.former_servers.borrow());
        let servers = server.iter().chain(former.iter());
        servers
            .filter_map(|server| server.oldest_call_ms())
            .min_by(f64::total_cmp)
            .map(|made_at_ms| made_at_ms + self.timeout_ms)
    }

    /// Ends the calls that have timed out at `now`, ms, and closes what is idle, silent or left behind.
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
