//! The task of one connection: it connects, writes what is queued, reads answers and reports them, until the
//! connection ends. It must never take a late answer for another call's, or use a connection on which an answer made
//! no sense.

use super::call::{read_total, AnswerError, Call};
use super::connection::MAX_QUEUED_BYTES;
use super::report_failed;
use super::server::{ConnectionSlot, CounterServer};
use crate::buffer::ring_buffer::RingBuffer;
use crate::decision::Outcome;
use crate::protocol::resp::{http_answer, http_answer_at_end, HttpAnswer, Parsed};
use crate::runtime::dispatcher::Dispatcher;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Shortest wait for a connection, ms: a time-out of 0 in the settings would try none.
const MIN_CONNECT_TIMEOUT_MS: f64 = 1.0;

/// Why a connection has ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    #[error("the counter closed the connection")]
    Closed,
    #[error("this side closed the connection")]
    ClosedHere,
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("an answer makes no sense, or belongs to no call")]
    InvalidAnswer,
    #[error("{0}")]
    UnusableAnswer(#[from] AnswerError),
    #[error("an answer is longer than {MAX_QUEUED_BYTES} bytes")]
    AnswerTooLong,
}

/// Whether the peer has ended its direction of the stream.
#[derive(Clone, Copy, PartialEq)]
enum Input {
    Open,
    Ended,
}

/// One connection, from its connect to its end.
pub(super) async fn run_connection(
    server: Rc<CounterServer>,
    dispatcher: Rc<Dispatcher>,
    timeout_ms: f64,
    slot_index: usize,
) {
    let slot = server.slot(slot_index);
    let connect_timeout = Duration::from_secs_f64(timeout_ms.max(MIN_CONNECT_TIMEOUT_MS) / 1e3);
    let connected = timeout(connect_timeout, TcpStream::connect(server.address)).await;
    slot.connection.borrow_mut().connecting = false;
    if server.is_abandoned() {
        return;
    }
    let Ok(Ok(stream)) = connected else {
        let failed = slot.connection.borrow_mut().fail_unwritten();
        return report_failed(&dispatcher, failed);
    };
    let _ = stream.set_nodelay(true);
    let (read_half, write_half) = stream.into_split();
    let write_half = Rc::new(write_half);
    slot.connection
        .borrow_mut()
        .open(write_half.clone(), server.address);
    let mut task = ConnectionTask {
        slot,
        dispatcher: &dispatcher,
        read_half,
        write_half,
        input: RingBuffer::new(MAX_QUEUED_BYTES),
    };
    while task.step().await.is_ok() {}
    task.fail_calls();
}

struct ConnectionTask<'a> {
    slot: &'a ConnectionSlot,
    dispatcher: &'a Rc<Dispatcher>,
    read_half: OwnedReadHalf,
    write_half: Rc<OwnedWriteHalf>,
    input: RingBuffer,
}

impl ConnectionTask<'_> {
    /// Waits for bytes to read or room to write, and does what is possible then.
    async fn step(&mut self) -> Result<(), ConnectionEnd> {
        let input = self.wait().await?;
        if !self.is_current() {
            return Err(ConnectionEnd::ClosedHere);
        }
        self.slot.connection.borrow_mut().flush()?;
        while let Some(answer) = self.next_answer(input)? {
            self.deliver(&answer)?;
        }
        match input {
            Input::Open => Ok(()),
            Input::Ended => Err(ConnectionEnd::Closed),
        }
    }

    async fn wait(&mut self) -> Result<Input, ConnectionEnd> {
        let has_output = self.slot.connection.borrow().has_output();
        let spare = self
            .input
            .free_slice()
            .map_err(|_| ConnectionEnd::AnswerTooLong)?;
        tokio::select! {
            read = self.read_half.read(spare) => {
                let count = read?;
                self.input.commit(count);
                Ok(if count == 0 { Input::Ended } else { Input::Open })
            }
            _ = self.write_half.writable(), if has_output => Ok(Input::Open),
            () = self.slot.wake.notified() => Ok(Input::Open),
        }
    }

    /// Whether the slot still has this task's connection, and not none or a newer one.
    fn is_current(&self) -> bool {
        self.slot.connection.borrow().is_up_with(&self.write_half)
    }

    /// The next complete answer; none: it has not come whole.
    fn next_answer(&mut self, input: Input) -> Result<Option<HttpAnswer>, ConnectionEnd> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let parsed = match input {
            Input::Open => http_answer(self.input.contiguous()),
            Input::Ended => http_answer_at_end(self.input.contiguous()),
        };
        let mut connection = self.slot.connection.borrow_mut();
        match parsed {
            Ok(Parsed::Complete(answer, length)) => {
                self.input.consume(length);
                connection.answer_begun = false;
                Ok(Some(answer))
            }
            // Guards against a spoilt connection: nobody waits for this answer.
            Ok(Parsed::More(_)) if !connection.has_unanswered_calls() => {
                Err(ConnectionEnd::InvalidAnswer)
            }
            Ok(Parsed::More(_)) => {
                connection.answer_begun = true;
                Ok(None)
            }
            Err(_) => {
                connection.answer_begun = true;
                Err(ConnectionEnd::InvalidAnswer)
            }
        }
    }

    /// Reports an answer to the call that it belongs to.
    fn deliver(&self, answer: &HttpAnswer) -> Result<(), ConnectionEnd> {
        let call = self.slot.connection.borrow_mut().next_answered();
        let call = call.ok_or(ConnectionEnd::InvalidAnswer)?;
        let total = read_total(answer);
        self.report(call, total);
        // Guards against a connection on which an answer came spoilt: what follows on it may be the rest of that,
        // and would be taken for the totals of other calls.
        match total {
            Err(e) if e.spoils_connection() => Err(e.into()),
            _ if answer.close => Err(ConnectionEnd::Closed),
            _ => Ok(()),
        }
    }

    fn report(&self, call: Call, total: Result<f64, AnswerError>) {
        let Call { add, reported, .. } = call;
        self.dispatcher
            .with_requests(|requests, now| match (reported, total) {
                (true, Ok(total)) => requests.counter_answered_late(now, add, total),
                (true, Err(_)) => {}
                (false, Ok(total)) => requests.counter_answered(now, add.name, Outcome::Ok, total),
                (false, Err(e)) => requests.counter_answered(now, add.name, e.outcome(), 0.0),
            });
    }

    /// The connection has ended: so have the calls on it, unless the slot has been cleared or used anew.
    fn fail_calls(&self) {
        if self.is_current() {
            let failed = self.slot.connection.borrow_mut().fail_written();
            report_failed(self.dispatcher, failed);
        }
    }
}
