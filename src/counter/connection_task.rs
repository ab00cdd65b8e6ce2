//! The task of one connection to the counter: connects, writes queued calls, reads answers and
//! reports them, until the connection ends. It must never report a late answer as the total of
//! another call, or keep using a connection after an invalid answer.

use super::call::{read_total, AnswerError, Call};
use super::connection::MAX_QUEUED_BYTES;
use super::report_failed;
use super::server::{ConnectionSlot, CounterServer};
use crate::buffer::ring_buffer::RingBuffer;
use crate::buffer::socket_io::read_some;
use crate::decision::Outcome;
use crate::protocol::resp::{http_answer, http_answer_at_end, HttpAnswer, Parsed};
use crate::runtime::dispatcher::Dispatcher;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Shortest connect time-out, ms: a time-out of 0 in the settings would never connect.
const MIN_CONNECT_TIMEOUT_MS: f64 = 1.0;

/// Why a connection has ended.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    #[error("the counter closed the connection")]
    Closed,
    #[error("this side closed the connection")]
    ClosedHere,
    #[error("connecting, reading or writing failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("an answer is invalid, or belongs to no call")]
    InvalidAnswer,
    #[error("{0}")]
    UnusableAnswer(#[from] AnswerError),
    #[error("an answer is longer than {MAX_QUEUED_BYTES} bytes")]
    AnswerTooLong,
}

/// Whether the counter has closed its side of the stream.
#[derive(Clone, Copy, PartialEq)]
enum InputState {
    Open,
    Ended,
}

/// Runs one connection, from its connect to its end.
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
    /// Waits until there are bytes to read or room to write, then reads, writes and reports what is
    /// possible.
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
            InputState::Open => Ok(()),
            InputState::Ended => Err(ConnectionEnd::Closed),
        }
    }

    async fn wait(&mut self) -> Result<InputState, ConnectionEnd> {
        let has_output = self.slot.connection.borrow().has_output();
        let spare = self
            .input
            .free_slice()
            .map_err(|_| ConnectionEnd::AnswerTooLong)?;
        tokio::select! {
            read = read_some(&self.read_half, spare) => {
                let count = read?;
                self.input.commit(count);
                Ok(if count == 0 { InputState::Ended } else { InputState::Open })
            }
            _ = self.write_half.writable(), if has_output => Ok(InputState::Open),
            () = self.slot.wake.notified() => Ok(InputState::Open),
        }
    }

    /// Returns whether the slot still holds the connection of this task. It may have been closed,
    /// or replaced by a newer one.
    fn is_current(&self) -> bool {
        self.slot.connection.borrow().is_open_with(&self.write_half)
    }

    /// Returns the next complete answer, or `None` if it has not arrived completely.
    fn next_answer(&mut self, input: InputState) -> Result<Option<HttpAnswer>, ConnectionEnd> {
        if self.input.is_empty() {
            return Ok(None);
        }
        let parsed = match input {
            InputState::Open => http_answer(self.input.contiguous()),
            InputState::Ended => http_answer_at_end(self.input.contiguous()),
        };
        let mut connection = self.slot.connection.borrow_mut();
        match parsed {
            Ok(Parsed::Complete(answer, length)) => {
                self.input.consume(length);
                connection.answer_begun = false;
                Ok(Some(answer))
            }
            // Bytes that answer no call: the connection is out of step and cannot be used any more.
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

    /// Reports an answer to the call to which it belongs.
    fn deliver(&self, answer: &HttpAnswer) -> Result<(), ConnectionEnd> {
        let call = self.slot.connection.borrow_mut().next_answered();
        let call = call.ok_or(ConnectionEnd::InvalidAnswer)?;
        let total = read_total(answer);
        self.report(call, total);
        // After an unusable answer, further bytes may be its rest and would be parsed as the totals
        // of other calls. The connection ends instead.
        match total {
            Err(e) if e.makes_connection_unusable() => Err(e.into()),
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

    /// Ends the written calls after the end of the connection, unless the slot has been closed or
    /// reused.
    fn fail_calls(&self) {
        if self.is_current() {
            let failed = self.slot.connection.borrow_mut().fail_written();
            report_failed(self.dispatcher, failed);
        }
    }
}
