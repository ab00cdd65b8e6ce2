//! The state of one connection, which its session, the answers to its requests and the frontend's supervision share.

use super::answers::AnswerSlot;
use super::{FIRST_REQUEST_MS, REQUEST_TIMEOUT_MS, STALLED_READER_MS};
use crate::buffer::body_stream::BodyReceiver;
use crate::buffer::ring_buffer::RingBuffer;
use crate::runtime::dispatcher::{ByteBudget, Dispatcher};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

/// Most bytes of answers that wait to be written on one connection.
const MAX_OUTPUT: usize = 1024 * 1024;

/// One client's connection.
pub(super) struct Connection {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) stream: OwnedWriteHalf,
    pub(super) peer: IpAddr,
    /// Wakes the session: something below has changed.
    pub(super) wake: Notify,

    /// Bytes that wait to be written.
    pub(super) output: RefCell<RingBuffer>,
    /// Answers that are not in `output` yet, in the order of their requests.
    pub(super) answers: RefCell<VecDeque<AnswerSlot>>,
    /// Ticket of the first of them.
    pub(super) first_ticket: Cell<u64>,
    /// The large body that is being written behind `output`.
    pub(super) streaming: RefCell<Option<Rc<BodyReceiver>>>,
    pub(super) unsent: ByteBudget,

    /// The connection is to be closed at once: writing failed, or the client is cut off.
    pub(super) failed: Cell<bool>,
    /// The connection is to end as soon as nothing is owed on it.
    pub(super) draining: Cell<bool>,
    /// Since when a first request is awaited, or one has come in part, ms; none: between complete requests.
    pub(super) incomplete_since_ms: Cell<Option<f64>>,
    /// Whether a complete request has come.
    pub(super) has_sent_request: Cell<bool>,
    /// Whether bytes have come that no request has been made of.
    pub(super) has_unparsed_input: Cell<bool>,
    /// Whether the time for a complete request is over.
    pub(super) request_timed_out: Cell<bool>,
    /// Whether its requests have ended, and what still comes is discarded.
    pub(super) lingering: Cell<bool>,
    /// Whether another connection is to have its place.
    pub(super) place_wanted: Cell<bool>,
    /// When it was opened, or a request or an answer was last seen, ms.
    pub(super) last_active_ms: Cell<f64>,
}

impl Connection {
    pub(super) fn new(
        dispatcher: Rc<Dispatcher>,
        stream: OwnedWriteHalf,
        peer: IpAddr,
    ) -> Connection {
        let now = dispatcher.now();
        Connection {
            stream,
            peer,
            wake: Notify::new(),
            output: RingBuffer::new(MAX_OUTPUT).into(),
            answers: RefCell::default(),
            first_ticket: Cell::new(0),
            streaming: RefCell::default(),
            unsent: dispatcher.unsent_budget(),
            failed: Cell::new(false),
            draining: Cell::new(false),
            incomplete_since_ms: Cell::new(Some(now)),
            has_sent_request: Cell::new(false),
            has_unparsed_input: Cell::new(false),
            request_timed_out: Cell::new(false),
            lingering: Cell::new(false),
            place_wanted: Cell::new(false),
            last_active_ms: Cell::new(now),
            dispatcher,
        }
    }

    /// Whether nothing is owed on it and no request is on the way, as far as can be seen.
    pub(super) fn is_idle(&self) -> bool {
        let silent_so_far = !self.has_sent_request.get() && !self.has_unparsed_input.get();
        let between_requests = self.incomplete_since_ms.get().is_none() || silent_so_far;
        (between_requests || self.lingering.get())
            && !self.owes_answers()
            && self.output.borrow().is_empty()
    }

    /// Whether it has just been opened, and its first request may be on the way.
    pub(super) fn awaits_first_request(&self, now: f64) -> bool {
        !self.has_sent_request.get() && now - self.last_active_ms.get() <= FIRST_REQUEST_MS
    }

    /// Ends it as soon as nothing is owed on it.
    pub(super) fn drain(&self) {
        self.draining.set(true);
        self.wake.notify_one();
    }

    /// Notes `count` further bytes at the end of the input.
    pub(super) fn note_input(&self, input: &mut RingBuffer, count: usize) {
        input.commit(count);
        self.has_unparsed_input.set(true);
        if self.incomplete_since_ms.get().is_none() {
            self.incomplete_since_ms.set(Some(self.dispatcher.now()));
        }
    }

    /// Ends a connection whose client takes too long for a request, or does not read its answers. Guards the budget
    /// of connections against clients that hold a place for nothing.
    pub(super) fn check_timeouts(&self, now: f64) {
        let owes = self.owes_answers();
        let incomplete_since = self.incomplete_since_ms.get();
        let too_slow = incomplete_since.is_some_and(|since| now - since > REQUEST_TIMEOUT_MS);
        let inactive = now - self.last_active_ms.get() > STALLED_READER_MS;
        // An answer that is still to come is the ingress's delay, not the client's; a body that is being written is
        // the client's.
        let only_unread = !owes || self.streaming.borrow().is_some();
        if !owes && too_slow {
            self.request_timed_out.set(true);
            self.wake.notify_one();
        } else if inactive && self.has_unsent() && only_unread {
            self.failed.set(true);
            self.wake.notify_one();
        }
    }
}
