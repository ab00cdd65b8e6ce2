//! The counter at one address: a few connections, which of them a call goes to, and what is closed or given up with
//! time. A counter that moves has a `CounterServer` for its old address for as long as calls are under way there.

use super::call::{Call, FailedCall};
use super::connection::Connection;
use super::connection_task::run_connection;
use crate::runtime::dispatcher::Dispatcher;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Most connections: enough for the calls that are usually out together and for some on which an answer hangs.
pub const MAX_CONNECTIONS: usize = 12;

/// A connection and what wakes its task: bytes to write, or its end.
#[derive(Default)]
pub(super) struct ConnectionSlot {
    pub connection: RefCell<Connection>,
    pub wake: Notify,
}

/// The counter at one address.
pub(super) struct CounterServer {
    pub address: SocketAddr,
    slots: [ConnectionSlot; MAX_CONNECTIONS],
    /// The counter has moved: this address gets no further call.
    abandoned: Cell<bool>,
}

impl CounterServer {
    pub fn new(address: SocketAddr) -> Rc<CounterServer> {
        Rc::new(CounterServer {
            address,
            slots: Default::default(),
            abandoned: Cell::new(false),
        })
    }

    pub fn slot(&self, index: usize) -> &ConnectionSlot {
        &self.slots[index]
    }

    pub fn is_abandoned(&self) -> bool {
        self.abandoned.get()
    }

    /// Gives the address up; the calls that were not written, for the new one.
    pub fn abandon(&self) -> Vec<Call> {
        self.abandoned.set(true);
        let slots = self.slots.iter();
        slots
            .flat_map(|slot| slot.connection.borrow_mut().take_unwritten())
            .collect()
    }

    pub fn has_unreported_calls(&self) -> bool {
        let mut slots = self.slots.iter();
        slots.any(|slot| slot.connection.borrow().has_unreported_calls())
    }

    /// When the oldest call that is not reported was made, ms.
    pub fn oldest_call_ms(&self) -> Option<f64> {
        let slots = self.slots.iter();
        slots
            .filter_map(|slot| slot.connection.borrow().oldest_call_ms())
            .min_by(f64::total_cmp)
    }

    /// The connection for the next call: one that is up and free, else a new one, else that with the fewest calls.
    fn pick_slot(&self) -> usize {
        let load = |slot: &ConnectionSlot| {
            let connection = slot.connection.borrow();
            let calls = connection.call_count();
            (calls, calls == 0 && !connection.is_up())
        };
        let slots = self.slots.iter().enumerate();
        slots
            .min_by_key(|(_, slot)| load(slot))
            .map_or(0, |(index, _)| index)
    }

    /// Writes a call, or keeps it until a connection is up.
    pub fn send(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>, timeout_ms: f64, call: Call) {
        let index = self.pick_slot();
        let slot = &self.slots[index];
        let mut connection = slot.connection.borrow_mut();
        connection.last_call_ms = dispatcher.now();
        if connection.is_up() {
            if let Err(call) = connection.send(call, self.address) {
                connection.queue(call);
            }
            if connection.has_output() {
                slot.wake.notify_one();
            }
            return;
        }
        connection.queue(call);
        if !connection.connecting {
            connection.connecting = true;
            let task = run_connection(self.clone(), dispatcher.clone(), timeout_ms, index);
            spawn_local(task);
        }
    }

    /// Ends the calls made until `latest_ms` and closes what is idle or silent.
    pub fn expire(&self, now: f64, latest_ms: f64, failed: &mut Vec<FailedCall>) {
        for slot in &self.slots {
            let mut connection = slot.connection.borrow_mut();
            connection.time_out_calls(latest_ms, failed);
            if connection.is_to_be_closed(now) {
                failed.extend(connection.fail_written());
                slot.wake.notify_one();
            }
        }
    }

    /// Closes all connections; no call on them is owed a report.
    pub fn close(&self) {
        for slot in &self.slots {
            slot.connection.borrow_mut().close();
            slot.wake.notify_one();
        }
    }
}
