//! The life of one connection: it reads requests, waits for their answers to be written, and closes the connection in
//! a way that loses no answer.

use super::connection::Connection;
use super::requests::{interpret, Received};
use crate::buffer::body_stream::BodyReceiver;
use crate::buffer::ring_buffer::RingBuffer;
use crate::protocol::resp::{request_words, Parsed, MAX_COMPLETE_BODY_BYTES};
use crate::runtime::dispatcher::ByteBudget;
use driftgap_admin::DrainState;
use std::net::Shutdown;
use std::ops::ControlFlow;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, Interest};
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

/// Most bytes of input: a request with its longest body and some room.
const MAX_INPUT: usize = MAX_COMPLETE_BODY_BYTES + 16 * 1024;
/// A request of which no more than so many bytes have come does not count against what all clients together may send
/// in part.
const SHORT_INPUT: usize = 4 * 1024;
/// A client with a longer one is not read for this long while all clients together have sent too much in part.
const INPUT_BUDGET_PAUSE: Duration = Duration::from_millis(20);
/// While nothing is read from a client, its end is looked for this often: no attempt may be begun for one that has
/// been gone for 100 ms.
const PEER_CLOSED_POLL: Duration = Duration::from_millis(25);
/// What comes behind the last request is discarded for so long at most, before the connection is closed.
const LINGER: Duration = Duration::from_millis(1000);
/// So many bytes at a time.
const LINGER_BUFFER: usize = 16 * 1024;
/// Requests that are read from one connection before others have their turn.
const REQUESTS_PER_TURN: usize = 16;
/// Most unanswered requests on one connection; more are left unread.
pub(super) const MAX_PIPELINED: usize = 128;

const MALFORMED: &[u8] = b"-ERR malformed command\r\n";
const TOO_LONG: &[u8] = b"-ERR command too long\r\n";
const TIMED_OUT: &[u8] = b"-ERR no whole command in time\r\n";

/// Serves one connection, from its first byte to its close.
pub(super) async fn serve(connection: &Rc<Connection>, read: OwnedReadHalf) {
    let session = Session {
        connection,
        read,
        input: RingBuffer::new(MAX_INPUT),
        input_budget: connection.dispatcher.incoming_budget(),
        accepts_requests: true,
        needed: 1,
    };
    session.run().await;
}

struct Session<'a> {
    connection: &'a Rc<Connection>,
    read: OwnedReadHalf,
    input: RingBuffer,
    /// This connection's part of what all clients together may have sent in part.
    input_budget: ByteBudget,
    /// Whether further requests are taken. Once false, what comes is left unread.
    accepts_requests: bool,
    /// Bytes of input that the next request has at least. Guards against parsing a request from its start for each
    /// few bytes of it.
    needed: usize,
}

/// What is to be done after requests have been taken from the input.
enum AfterRequests {
    /// Read at least so many bytes more: the next request is incomplete.
    Read(usize),
    /// Go on: there may be more requests in the input.
    Continue,
    /// Take no more requests.
    Finish,
}

impl Session<'_> {
    async fn run(mut self) {
        let connection = self.connection;
        loop {
            if self.has_requests() {
                self.take_requests().await;
            }
            if connection.request_timed_out.take() && self.accepts_requests {
                self.finish_with(TIMED_OUT);
            }
            let owed = connection.owed_answers();
            if self.has_requests() && !self.input.is_empty() && owed < MAX_PIPELINED {
                // Guards the others against a client that sends hundreds of requests at once.
                tokio::task::yield_now().await;
                continue;
            }
            if connection.failed.get() {
                return;
            }
            let unsent = connection.has_unsent();
            if owed == 0 && !unsent && !self.accepts_requests {
                return linger(connection, &mut self.read).await;
            }
            if self.wait(owed, unsent).await.is_break() {
                return;
            }
        }
    }

    /// Whether the input may hold a complete request.
    fn has_requests(&self) -> bool {
        self.accepts_requests && self.input.len() >= self.needed
    }

    /// Takes no more requests, and ends the answers with this one.
    fn finish_with(&mut self, last_answer: &[u8]) {
        self.accepts_requests = false;
        let ticket = self.connection.open_slot();
        self.connection.answer_with(ticket, last_answer);
    }

    async fn take_requests(&mut self) {
        let connection = self.connection;
        // Guards against work for nobody: the client's close may be here already, behind what it wrote. The runtime
        // reads from a new connection before it has asked the system for its state, so one turn is given to that.
        if !connection.has_sent_request.get() {
            tokio::task::yield_now().await;
        }
        let client_gone = self.peer_has_closed().await;
        match self.dispatch_requests(client_gone) {
            AfterRequests::Read(more) => self.needed = self.input.len() + more,
            AfterRequests::Continue => self.needed = self.input.len().min(1),
            AfterRequests::Finish => self.accepts_requests = false,
        }
        connection.has_unparsed_input.set(false);
        if self.accepts_requests && !self.input.is_empty() {
            connection.note_input(&mut self.input, 0);
        }
    }

    /// Whether the client has closed its connection, as far as is known without waiting.
    async fn peer_has_closed(&self) -> bool {
        tokio::select! {
            biased;
            ready = self.read.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
            () = std::future::ready(()) => false,
        }
    }

    /// Takes complete requests from the input and sends them on, some at a time. Those of a client that has gone are
    /// not begun.
    fn dispatch_requests(&mut self, client_gone: bool) -> AfterRequests {
        let connection = self.connection;
        for _ in 0..REQUESTS_PER_TURN {
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
                    self.finish_with(MALFORMED);
                    return AfterRequests::Finish;
                }
            };
            self.input.consume(length);
            self.note_request();
            let ticket = connection.open_slot();
            match received {
                Received::Answer(answer) => connection.answer_with(ticket, answer),
                Received::Quit => {
                    connection.answer_quit(ticket);
                    return AfterRequests::Finish;
                }
                Received::Request(_) if client_gone => return AfterRequests::Finish,
                Received::Request(request) => connection.dispatch(ticket, request),
            }
        }
        AfterRequests::Continue
    }

    /// Notes that a complete request has come.
    fn note_request(&self) {
        let connection = self.connection;
        let now = connection.dispatcher.now();
        connection.last_active_ms.set(now);
        connection.has_sent_request.set(true);
        connection.incomplete_since_ms.set(None);
        if connection.dispatcher.drain().state(now) >= DrainState::Draining {
            connection.draining.set(true);
        }
    }

    /// Whether this connection is not to be read for a while. Guards memory against many clients that write long
    /// requests and do not complete them: those with a long one wait for others to complete theirs, and time out if
    /// nobody does.
    fn over_input_budget(&self) -> bool {
        let length = self.input.len();
        let counted = if length > SHORT_INPUT { length } else { 0 };
        !self.input_budget.set(counted) && counted > 0
    }

    /// Waits for input, for the client to take output, or for a change of the connection's state. Break: the
    /// connection is to be closed.
    async fn wait(&mut self, owed: usize, unsent: bool) -> ControlFlow<()> {
        let connection = self.connection;
        let ends = connection.draining.get() && !connection.has_unparsed_input.get();
        let pauses = self.over_input_budget();
        let accepts = self.accepts_requests && owed < MAX_PIPELINED && !ends && !pauses;
        let streaming = connection.streaming.borrow().clone();
        let Session { read, input, .. } = self;
        let Ok(spare) = input.free_slice() else {
            // The input is full, and holds no complete request.
            self.finish_with(TOO_LONG);
            return ControlFlow::Continue(());
        };
        if ends && owed == 0 && !unsent {
            // Guards a request that has just come: the connection is closed only if there is nothing to read.
            return match read.try_read(spare) {
                Ok(count) if count > 0 => {
                    connection.note_input(input, count);
                    ControlFlow::Continue(())
                }
                _ => ControlFlow::Break(()),
            };
        }
        tokio::select! {
            // What a client writes behind its last request is left unread: it sends that again elsewhere. Reading by
            // the half spares a second read that would find nothing.
            got = async { if accepts { read.read(spare).await } else { peer_closed(read).await } } => match got {
                Ok(0) | Err(_) => return ControlFlow::Break(()),
                Ok(count) => connection.note_input(input, count),
            },
            _ = connection.stream.writable(), if unsent => connection.flush(),
            () = more_of(streaming.as_deref()), if !unsent && streaming.is_some() => connection.flush(),
            () = connection.wake.notified() => {}
            () = tokio::time::sleep(INPUT_BUDGET_PAUSE), if pauses => {}
        }
        ControlFlow::Continue(())
    }
}

/// Lingering close: ends the sending, and discards what the client still writes. Guards the last answers: a close over
/// unread bytes resets the connection, and what the system has not sent yet is lost with it.
async fn linger(connection: &Connection, read: &mut OwnedReadHalf) {
    let mut discarded = vec![0; LINGER_BUFFER];
    if !matches!(read.try_read(&mut discarded), Ok(count) if count > 0) {
        // Nothing is unread: the system sends the rest and then the end.
        return;
    }
    let _ = socket2::SockRef::from(connection.stream.as_ref()).shutdown(Shutdown::Write);
    connection.lingering.set(true);
    let client_closes = async { while read.read(&mut discarded).await.is_ok_and(|n| n > 0) {} };
    let place_wanted = async {
        while !connection.place_wanted.get() {
            connection.wake.notified().await;
        }
    };
    tokio::select! {
        _ = timeout(LINGER, client_closes) => {}
        () = place_wanted => {}
    }
}

/// Waits until the client has closed its connection, whatever is still unread on it. Guards against work for nobody:
/// the close is seen while nothing is read, too. The result is that of a read at the end.
async fn peer_closed(read: &OwnedReadHalf) -> std::io::Result<usize> {
    // With bytes to read it is ready at once, each time: hence the pause.
    while !read.ready(Interest::READABLE).await?.is_read_closed() {
        tokio::time::sleep(PEER_CLOSED_POLL).await;
    }
    Ok(0)
}

/// Waits for more of a body that is being streamed.
async fn more_of(body: Option<&BodyReceiver>) {
    if let Some(body) = body {
        body.wait_for_bytes().await;
    }
}
