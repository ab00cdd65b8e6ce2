//! The counter at one address: a few connections, the choice of one for each call, time-outs and
//! closing. After a move, the `CounterServer` of the old address exists as long as calls are in
//! flight there.

use super::call::{Call, FailedCall};
use super::connection::Connection;
use super::connection_task::run_connection;
use crate::runtime::dispatcher::Dispatcher;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Most connections: enough for the usual number of concurrent calls, and for some more whose
/// answer is delayed.
pub const MAX_CONNECTIONS: usize = 12;

/// A connection and the notification that wakes its task, to write bytes or to end.
#[derive(Default)]
pub(super) struct ConnectionSlot {
    pub connection: RefCell<Connection>,
    pub wake: Notify,
}

/// The counter at one address.
pub(super) struct CounterServer {
    pub address: SocketAddr,
    slots: [ConnectionSlot; MAX_CONNECTIONS],
    /// Whether the counter has moved, so that this address gets no further calls.
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

    /// Stops using the address. Returns the calls that were not written, for the new address.
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

    /// Returns when the oldest unreported call was made, ms.
    pub fn oldest_call_ms(&self) -> Option<f64> {
        let slots = self.slots.iter();
        slots
            .filter_map(|slot| slot.connection.borrow().oldest_call_ms())
            .min_by(f64::total_cmp)
    }

    /// Returns the slot for the next call: an open one without calls, else one to open, else the
    /// one with the fewest calls.
    fn pick_slot(&self) -> usize {
        let load = |slot: &ConnectionSlot| {
            let connection = slot.connection.borrow();
            let calls = connection.call_count();
            (calls, calls == 0 && !connection.is_open())
        };
        let slots = self.slots.iter().enumerate();
        slots
            .min_by_key(|(_, slot)| load(slot))
            .map_or(0, |(index, _)| index)
    }

    /// Writes a call, or queues it until a connection is open.
    pub fn send(self: &Rc<Self>, dispatcher: &Rc<Dispatcher>, timeout_ms: f64, call: Call) {
        let index = self.pick_slot();
        let slot = &self.slots[index];
        let mut connection = slot.connection.borrow_mut();
        connection.last_call_ms = dispatcher.now();
        if connection.is_open() {
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

    /// Ends the calls made at `latest_ms` or before, and closes connections that are idle or
    /// unanswered for too long.
    pub fn expire(&self, now: f64, latest_ms: f64, failed: &mut Vec<FailedCall>) {
        for slot in &self.slots {
            let mut connection = slot.connection.borrow_mut();
            connection.time_out_calls(latest_ms, failed);
            if connection.should_close(now) {
                failed.extend(connection.fail_written());
                slot.wake.notify_one();
            }
        }
    }

    /// Closes all connections without reporting calls on them.
    pub fn close(&self) {
        for slot in &self.slots {
            slot.connection.borrow_mut().close();
            slot.wake.notify_one();
        }
    }
}
