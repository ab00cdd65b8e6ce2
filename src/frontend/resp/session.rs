//! The session of one connection: reads requests, waits until their answers are written, and closes
//! the connection without losing an answer.

use super::close::{close_in_order, linger, peer_closed};
use super::connection::Connection;
use super::requests::{interpret, Received};
use crate::buffer::body_stream::BodyReceiver;
use crate::buffer::ring_buffer::RingBuffer;
use crate::buffer::socket_io::{read_some, uninterrupted};
use crate::protocol::resp::{request_words, Parsed, MAX_COMPLETE_BODY_BYTES};
use crate::runtime::dispatcher::{ByteBudget, CloseCause};
use driftgap_admin::DrainState;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::OwnedReadHalf;

/// Capacity of the input buffer, bytes: a request with the longest body, and a margin.
const MAX_INPUT: usize = MAX_COMPLETE_BODY_BYTES + 16 * 1024;
/// An incomplete request of at most this many bytes does not count against the input budget of all
/// clients.
const SHORT_INPUT: usize = 4 * 1024;
/// Pause in reading from a client with a longer incomplete request while the input budget of all
/// clients is exceeded.
const INPUT_BUDGET_PAUSE: Duration = Duration::from_millis(20);
/// Most requests that are taken from one connection before other tasks run.
const REQUESTS_PER_TURN: usize = 16;
/// Most unanswered requests on one connection. Further requests are not taken from the input.
pub(super) const MAX_PIPELINED: usize = 128;
/// Bytes of further requests that are read nevertheless: the client's close is seen only behind them.
const READ_AHEAD: usize = 16 * 1024;
/// Longest time for which requests may have waited unread, ms, if more than the input holds may have
/// followed them. After it, they are rejected: their client may have closed the connection, and an
/// attempt must not begin 100 ms later.
const MAX_UNSEEN_MS: f64 = 50.0;
/// Retry-After of these requests, ms: by then the client's requests have been read.
const BACKLOG_RETRY_AFTER_MS: f64 = 500.0;

const MALFORMED: &[u8] = b"-ERR malformed command\r\n";
const TOO_LONG: &[u8] = b"-ERR command too long\r\n";
const TIMED_OUT: &[u8] = b"-ERR no whole command in time\r\n";

/// Serves one connection, from its first byte to its close. Returns why it was closed.
pub(super) async fn serve(connection: &Rc<Connection>, read: OwnedReadHalf) -> CloseCause {
    let session = Session {
        connection,
        read,
        input: RingBuffer::new(MAX_INPUT),
        input_budget: connection.dispatcher.incoming_budget(),
        accepts_requests: true,
        end: CloseCause::Orderly,
        needed: 1,
        backlog: None,
        taken_in_turn: 0,
    };
    session.run().await
}

struct Session<'a> {
    connection: &'a Rc<Connection>,
    read: OwnedReadHalf,
    input: RingBuffer,
    /// This connection's use of the input budget of all clients.
    input_budget: ByteBudget,
    /// Whether further requests are accepted. Once false, further input stays unread.
    accepts_requests: bool,
    /// Why no further requests are accepted.
    end: CloseCause,
    /// Least length of the input at which the next request can be complete. Avoids parsing a long
    /// request from its start for every few bytes that arrive.
    needed: usize,
    /// Requests that may have waited since reading or taking stopped.
    backlog: Option<Backlog>,
    /// Requests that were taken since other tasks last ran, over any number of reads.
    taken_in_turn: usize,
}

/// Requests that have arrived and were not taken, in the input or still at the system.
#[derive(Clone, Copy)]
struct Backlog {
    /// The earliest time at which they may have arrived, ms.
    since_ms: f64,
    /// Whether the input may hold no more, so that the client's further bytes and its close are not
    /// seen.
    input_full: bool,
}

/// The next step after requests have been taken from the input.
enum AfterRequests {
    /// Read at least this many more bytes: the next request is incomplete.
    Read(usize),
    /// Continue: the input may hold more requests.
    Continue,
    /// Accept no more requests.
    Finish,
}

impl Session<'_> {
    async fn run(mut self) -> CloseCause {
        let connection = self.connection;
        loop {
            if self.backlog.is_some() {
                self.catch_up().await;
            }
            if self.has_requests() {
                self.take_requests().await;
            }
            if connection.request_timed_out.take() && self.accepts_requests {
                self.finish_with(TIMED_OUT, CloseCause::RequestTimeout);
            }
            let pending_answers = connection.pending_answer_count();
            let may_take_more =
                self.has_requests() && !self.input.is_empty() && pending_answers < MAX_PIPELINED;
            if may_take_more || self.turn_is_over() {
                self.give_way().await;
                continue;
            }
            if let Some(cause) = connection.failure.get() {
                return cause;
            }
            let unsent = connection.has_unsent();
            let all_sent = pending_answers == 0 && !unsent;
            if all_sent && !self.accepts_requests {
                linger(connection, &mut self.read).await;
                return self.end;
            }
            if all_sent && connection.reading_stopped.get() {
                close_in_order(connection, &self.read).await;
                return CloseCause::Orderly;
            }
            if let ControlFlow::Break(cause) = self.wait(pending_answers, unsent).await {
                return cause;
            }
        }
    }

    /// Returns whether as many requests were taken as one connection may before other tasks run.
    fn turn_is_over(&self) -> bool {
        self.taken_in_turn >= REQUESTS_PER_TURN
    }

    /// Lets other connections run: a client may send hundreds of requests at once, or one after the
    /// other without a pause. Requests that arrive meanwhile have waited.
    async fn give_way(&mut self) {
        self.taken_in_turn = 0;
        self.note_backlog();
        tokio::task::yield_now().await;
    }

    /// Returns whether the input may hold a complete request.
    fn has_requests(&self) -> bool {
        self.accepts_requests && self.input.len() >= self.needed
    }

    /// Accepts no more requests because of `cause`, and queues `last_answer` after all other answers.
    fn finish_with(&mut self, last_answer: &[u8], cause: CloseCause) {
        self.accepts_requests = false;
        self.end = cause;
        let ticket = self.connection.open_slot();
        self.connection.answer_with(ticket, last_answer);
    }

    async fn take_requests(&mut self) {
        let connection = self.connection;
        // Do not start work for a client that has already closed its connection after writing. The
        // runtime reads from a new connection before it polls the socket's state, so yield once to
        // let it poll.
        if !connection.has_sent_request.get() {
            tokio::task::yield_now().await;
        }
        let client_gone = self.peer_has_closed().await;
        match self.dispatch_complete_requests(client_gone) {
            AfterRequests::Read(more) => {
                self.needed = self.input.len() + more;
                self.backlog = None;
            }
            AfterRequests::Continue => {
                self.needed = self.input.len().min(1);
                self.note_backlog();
            }
            AfterRequests::Finish => self.accepts_requests = false,
        }
        connection.has_unparsed_input.set(false);
        if self.accepts_requests && !self.input.is_empty() {
            connection.commit_input(&mut self.input, 0);
        }
    }

    /// Records that requests may wait from now on, unless some wait already.
    fn note_backlog(&mut self) {
        self.backlog.get_or_insert(Backlog {
            since_ms: self.connection.dispatcher.now(),
            input_full: false,
        });
    }

    /// Reads what has arrived in the meantime, so that the client's close is seen before its requests
    /// are taken. The backlog ends if no complete request is there.
    async fn catch_up(&mut self) {
        // Lets the runtime poll the socket: its state may be as old as the backlog.
        tokio::task::yield_now().await;
        let reads = self.accepts_requests
            && self.connection.pending_answer_count() < MAX_PIPELINED
            && !self.connection.reading_stopped.get();
        if !reads {
            return;
        }
        let all_read = self.read_available();
        if let Some(backlog) = &mut self.backlog {
            backlog.input_full = !all_read;
        }
        if all_read && !self.has_requests() {
            self.backlog = None;
        }
    }

    /// Reads until nothing more is there. Returns false if the input is full before, or may hold no
    /// more because of the input budget of all clients.
    fn read_available(&mut self) -> bool {
        loop {
            if self.update_input_budget() {
                return false;
            }
            let Ok(spare) = self.input.free_slice() else {
                return false;
            };
            match uninterrupted(|| self.read.try_read(spare)) {
                Ok(count) if count > 0 => self.connection.commit_input(&mut self.input, count),
                _ => return true,
            }
        }
    }

    /// How long the next request may have waited, ms.
    fn backlog_ms(&self) -> f64 {
        self.backlog.map_or(0.0, |backlog| {
            self.connection.dispatcher.now() - backlog.since_ms
        })
    }

    /// Returns whether the client may have closed its connection without this being seen.
    fn close_is_hidden(&self) -> bool {
        self.backlog.is_some_and(|backlog| backlog.input_full) && self.backlog_ms() > MAX_UNSEEN_MS
    }

    /// Returns whether the client has closed its connection, as far as is known without waiting.
    async fn peer_has_closed(&self) -> bool {
        tokio::select! {
            biased;
            ready = self.read.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
            () = std::future::ready(()) => false,
        }
    }

    /// Takes complete requests from the input and dispatches them, until [`REQUESTS_PER_TURN`] were taken
    /// in this turn. Requests of a disconnected client are not started.
    fn dispatch_complete_requests(&mut self, client_gone: bool) -> AfterRequests {
        let connection = self.connection;
        while !self.turn_is_over() {
            if connection.answers.borrow().len() >= MAX_PIPELINED {
                return AfterRequests::Continue;
            }
            if self.input.is_empty() {
                return AfterRequests::Read(1);
            }
            let (received, length) = match request_words(self.input.contiguous()) {
                Ok(Parsed::Complete(words, length)) => {
                    (interpret(&connection.dispatcher, &words), length)
                }
                Ok(Parsed::More(missing)) => return AfterRequests::Read(missing),
                Err(_) => {
                    self.finish_with(MALFORMED, CloseCause::Malformed);
                    return AfterRequests::Finish;
                }
            };
            self.input.consume(length);
            self.taken_in_turn += 1;
            self.record_request();
            let ticket = connection.open_slot();
            match received {
                Received::Answer(answer) => connection.answer_with(ticket, answer),
                Received::Invalid(answer) => {
                    connection.record_invalid_request();
                    connection.answer_with(ticket, answer);
                }
                Received::Quit => {
                    connection.answer_quit(ticket);
                    return AfterRequests::Finish;
                }
                Received::Request(_) if client_gone => return AfterRequests::Finish,
                Received::Request(_) if self.close_is_hidden() => {
                    connection.reject(ticket, BACKLOG_RETRY_AFTER_MS);
                }
                Received::Request(mut request) => {
                    // The client's time runs while its request waits.
                    request.client_timeout_ms -= self.backlog_ms();
                    connection.dispatch(ticket, request);
                }
            }
        }
        AfterRequests::Continue
    }

    /// Records that a complete request has arrived.
    fn record_request(&self) {
        let connection = self.connection;
        let now = connection.dispatcher.now();
        connection.last_active_ms.set(now);
        connection.requests.set(connection.requests.get() + 1);
        connection.has_sent_request.set(true);
        connection.incomplete_since_ms.set(None);
        if connection.dispatcher.drain().state(now) >= DrainState::Draining {
            connection.draining.set(true);
        }
    }

    /// Updates the input budget, and returns whether to pause reading. Bounds memory when many
    /// clients send long requests without completing them. A paused client waits until others
    /// complete their requests; if none does, its own request times out.
    fn update_input_budget(&self) -> bool {
        let length = self.input.len();
        let counted = if length > SHORT_INPUT { length } else { 0 };
        !self.input_budget.set(counted) && counted > 0
    }

    /// Waits for input, for the client to read output, or for a change of the connection's state.
    /// Returns `Break` with the cause if the connection is to be closed.
    async fn wait(&mut self, pending_answers: usize, unsent: bool) -> ControlFlow<CloseCause> {
        let connection = self.connection;
        let closing = connection.draining.get() && !connection.has_unparsed_input.get();
        let paused = self.update_input_budget();
        let may_read = !closing && !paused && !connection.reading_stopped.get();
        let takes_requests = pending_answers < MAX_PIPELINED;
        let has_space = takes_requests || self.input.len() < READ_AHEAD;
        let reads_requests = self.accepts_requests && has_space && may_read;
        if !(reads_requests && takes_requests) {
            self.note_backlog();
        }
        let holds_requests = self.has_requests();
        let streaming = connection.streaming.borrow().clone();
        let Session { read, input, .. } = self;
        let spare = match input.free_slice() {
            Ok(spare) => spare,
            Err(_) if holds_requests => &mut [],
            Err(_) => {
                // The input is full without a complete request.
                self.finish_with(TOO_LONG, CloseCause::Malformed);
                return ControlFlow::Continue(());
            }
        };
        if closing && pending_answers == 0 && !unsent {
            // A request may have just arrived: close the connection only if there is nothing to
            // read.
            return match uninterrupted(|| read.try_read(spare)) {
                Ok(count) if count > 0 => {
                    connection.commit_input(input, count);
                    ControlFlow::Continue(())
                }
                _ => {
                    close_in_order(connection, read).await;
                    ControlFlow::Break(CloseCause::Orderly)
                }
            };
        }
        tokio::select! {
            // A draining connection leaves further input unread: the client sends those requests
            // again elsewhere. Reading from the owned half avoids a second read that would find
            // nothing.
            read_result = async { if reads_requests { read_some(read, spare).await } else { peer_closed(read).await } } => match read_result {
                Ok(0) | Err(_) => return ControlFlow::Break(CloseCause::Client),
                Ok(count) => connection.commit_input(input, count),
            },
            _ = connection.stream.writable(), if unsent => connection.flush(),
            () = wait_for_body_bytes(streaming.as_deref()), if !unsent && streaming.is_some() => connection.flush(),
            () = connection.wake.notified() => {}
            () = tokio::time::sleep(INPUT_BUDGET_PAUSE), if paused => {}
        }
        ControlFlow::Continue(())
    }
}

/// Waits until a streamed body has more bytes.
async fn wait_for_body_bytes(body: Option<&BodyReceiver>) {
    if let Some(body) = body {
        body.wait_for_bytes().await;
    }
}
