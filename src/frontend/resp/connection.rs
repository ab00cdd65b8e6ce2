//! The state of one connection, shared by its session, the answers to its requests and the
//! frontend's supervision.

use super::answers::AnswerSlot;
use super::{FIRST_REQUEST_MS, REQUEST_TIMEOUT_MS, STALLED_READER_MS};
use crate::buffer::body_stream::BodyReceiver;
use crate::buffer::ring_buffer::RingBuffer;
use crate::protocol::resp::MAX_COMPLETE_BODY_BYTES;
use crate::runtime::dispatcher::{ByteBudget, CloseCause, Dispatcher};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::IpAddr;
use std::rc::Rc;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::Notify;

/// Most encoded bytes that wait to be written on one connection. Further answers wait in their
/// slots, within the byte budget of all clients.
const MAX_OUTPUT: usize = 1024 * 1024;
/// Invalid requests of one connection from which its end is logged at level info.
const LOGGED_INVALID_REQUESTS: u64 = 1000;
/// Most bytes of an encoded answer beyond its body.
const MAX_ANSWER_FRAME: usize = 32;
const _: () = assert!(
    MAX_OUTPUT >= MAX_COMPLETE_BODY_BYTES + MAX_ANSWER_FRAME,
    "an empty output has room for any answer"
);

/// One client's connection.
pub(super) struct Connection {
    pub(super) dispatcher: Rc<Dispatcher>,
    pub(super) stream: OwnedWriteHalf,
    pub(super) peer: IpAddr,
    /// Wakes the session after a change of the state below.
    pub(super) wake: Notify,

    /// Encoded bytes that wait to be written.
    pub(super) output: RefCell<RingBuffer>,
    /// Answers that are not in `output` yet, in the order of their requests.
    pub(super) answers: RefCell<VecDeque<AnswerSlot>>,
    /// Ticket of the first slot of `answers`.
    pub(super) first_ticket: Cell<u64>,
    /// The large body that is being written after `output`.
    pub(super) streaming: RefCell<Option<Rc<BodyReceiver>>>,
    pub(super) unsent: ByteBudget,

    /// Why to close the connection at once: writing failed, or the client is disconnected for
    /// cause.
    pub(super) failure: Cell<Option<CloseCause>>,
    /// Whether to close the connection as soon as no answer is pending on it.
    pub(super) draining: Cell<bool>,
    /// Whether nothing more is read from the client, because the process is about to exit.
    pub(super) reading_stopped: Cell<bool>,
    /// Start of the wait for a first request or for the rest of an incomplete one, ms; `None`
    /// between complete requests.
    pub(super) incomplete_since_ms: Cell<Option<f64>>,
    /// Whether a complete request has arrived.
    pub(super) has_sent_request: Cell<bool>,
    /// Complete requests that have arrived.
    pub(super) requests: Cell<u64>,
    /// Requests among them that make no sense.
    pub(super) invalid_requests: Cell<u64>,
    /// Whether the input holds bytes that are not parsed into a request yet.
    pub(super) has_unparsed_input: Cell<bool>,
    /// Whether the time for a complete request has passed.
    pub(super) request_timed_out: Cell<bool>,
    /// Whether the connection takes no more requests, and waits for its client's close.
    pub(super) lingering: Cell<bool>,
    /// Whether to end the lingering close early, because a new connection needs the slot in the
    /// budget.
    pub(super) eviction_requested: Cell<bool>,
    /// When the connection was opened, or a request or an answer was last seen, ms.
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
            failure: Cell::new(None),
            draining: Cell::new(false),
            reading_stopped: Cell::new(false),
            incomplete_since_ms: Cell::new(Some(now)),
            has_sent_request: Cell::new(false),
            requests: Cell::new(0),
            invalid_requests: Cell::new(0),
            has_unparsed_input: Cell::new(false),
            request_timed_out: Cell::new(false),
            lingering: Cell::new(false),
            eviction_requested: Cell::new(false),
            last_active_ms: Cell::new(now),
            dispatcher,
        }
    }

    /// Counts a request that makes no sense.
    pub(super) fn record_invalid_request(&self) {
        self.invalid_requests.set(self.invalid_requests.get() + 1);
        self.dispatcher.client_statistics().invalid_request();
    }

    /// Logs the end of the connection: at level info if its client sent very many requests that make
    /// no sense.
    pub(super) fn log_end(&self, cause: CloseCause) {
        let peer = self.peer;
        let unanswered = self.pending_requests().len();
        let (requests, invalid) = (self.requests.get(), self.invalid_requests.get());
        if invalid >= LOGGED_INVALID_REQUESTS {
            tracing::info!(%peer, ?cause, unanswered, requests, invalid, "connection with many invalid requests closed");
        } else {
            tracing::debug!(%peer, ?cause, unanswered, requests, invalid, "RESP connection closed");
        }
    }

    /// Returns whether no answer is pending and no part of a request has arrived.
    pub(super) fn is_idle(&self) -> bool {
        let no_input_yet = !self.has_sent_request.get() && !self.has_unparsed_input.get();
        let between_requests = self.incomplete_since_ms.get().is_none() || no_input_yet;
        (between_requests || self.lingering.get())
            && !self.has_pending_answers()
            && self.output.borrow().is_empty()
    }

    /// Returns whether the connection has just been opened and its first request may be in transit.
    pub(super) fn awaits_first_request(&self, now: f64) -> bool {
        !self.has_sent_request.get() && now - self.last_active_ms.get() <= FIRST_REQUEST_MS
    }

    /// Closes the connection at once. The first cause is kept.
    pub(super) fn fail(&self, cause: CloseCause) {
        self.failure.set(self.failure.get().or(Some(cause)));
    }

    /// Returns whether the connection is to be closed at once.
    pub(super) fn has_failed(&self) -> bool {
        self.failure.get().is_some()
    }

    /// Closes the connection as soon as no answer is pending on it.
    pub(super) fn drain(&self) {
        self.draining.set(true);
        self.wake.notify_one();
    }

    /// Reads nothing more, and closes the connection once all requests that were read are answered.
    pub(super) fn stop_reading(&self) {
        self.reading_stopped.set(true);
        self.wake.notify_one();
    }

    /// Commits `count` bytes that were read to the end of the input, and starts the request's
    /// timeout.
    pub(super) fn commit_input(&self, input: &mut RingBuffer, count: usize) {
        input.commit(count);
        self.has_unparsed_input.set(true);
        if self.incomplete_since_ms.get().is_none() {
            self.incomplete_since_ms.set(Some(self.dispatcher.now()));
        }
    }

    /// Closes the connection if its client takes too long to complete a request or to read its
    /// answers. Otherwise such clients would use up the connection budget.
    pub(super) fn check_timeouts(&self, now: f64) {
        let incomplete_since = self.incomplete_since_ms.get();
        let too_slow = incomplete_since.is_some_and(|since| now - since > REQUEST_TIMEOUT_MS);
        let inactive = now - self.last_active_ms.get() > STALLED_READER_MS;
        // A request without an answer is a delay of the ingress, so its client is not disconnected.
        // A body that is being written waits for the client.
        let only_unread = !self.awaits_answer() || self.streaming.borrow().is_some();
        if !self.has_pending_answers() && too_slow {
            self.request_timed_out.set(true);
            self.wake.notify_one();
        } else if inactive && self.has_unsent() && only_unread {
            self.fail(CloseCause::StalledReader);
            self.wake.notify_one();
        }
    }
}
