//! The state of one connection to the counter and of its calls, without I/O except for writes that
//! never wait. It tracks which calls have been written, and so decides the outcome of each when the
//! connection ends.

use super::call::{Call, FailedCall};
use crate::buffer::ring_buffer::RingBuffer;
use crate::buffer::socket_io::uninterrupted;
use crate::decision::Outcome;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::tcp::OwnedWriteHalf;

/// A connection whose oldest call has waited this long is closed, ms. Until then a late total may
/// still arrive.
const UNANSWERED_CLOSE_MS: f64 = 1500.0;
/// Idle connections are closed after this long, ms, well before the counter closes them.
const IDLE_CLOSE_MS: f64 = 5000.0;
/// Capacity of the input and the output buffer, bytes.
pub(super) const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// A connection, open or not, and its calls.
#[derive(Default)]
pub(super) struct Connection {
    /// Calls that have been written, in the order of the expected answers.
    written: VecDeque<Call>,
    /// Calls that have not been written, because the connection is not open or its output is full.
    unwritten: VecDeque<Call>,
    /// `None` if the connection is not open.
    stream: Option<Rc<OwnedWriteHalf>>,
    output: Option<RingBuffer>,
    /// Whether a task is opening the connection.
    pub connecting: bool,
    /// When the connection got its last call, ms.
    pub last_call_ms: f64,
    /// Whether part of an incomplete answer has arrived.
    pub answer_begun: bool,
}

impl Connection {
    pub fn is_open(&self) -> bool {
        self.stream.is_some()
    }

    /// Returns whether the connection is open with this stream. A closed connection may have been
    /// opened again with another one.
    pub fn is_open_with(&self, stream: &Rc<OwnedWriteHalf>) -> bool {
        self.stream.as_ref().is_some_and(|s| Rc::ptr_eq(s, stream))
    }

    pub fn has_output(&self) -> bool {
        self.output.as_ref().is_some_and(|o| !o.is_empty())
    }

    pub fn has_unanswered_calls(&self) -> bool {
        !self.written.is_empty()
    }

    /// Returns whether any written call is not reported yet.
    pub fn has_unreported_calls(&self) -> bool {
        self.written.iter().any(|call| !call.reported)
    }

    /// Returns the number of calls on the connection, written or not.
    pub fn call_count(&self) -> usize {
        self.written.len() + self.unwritten.len()
    }

    /// Returns when the oldest unreported call was made, ms.
    pub fn oldest_call_ms(&self) -> Option<f64> {
        let written = self.written.iter().find(|call| !call.reported);
        let unwritten = self.unwritten.front();
        let made = written.into_iter().chain(unwritten);
        made.map(|call| call.made_at_ms).min_by(f64::total_cmp)
    }

    /// Queues a call until the connection is open and its output has room.
    pub fn queue(&mut self, call: Call) {
        self.unwritten.push_back(call);
    }

    pub fn take_unwritten(&mut self) -> VecDeque<Call> {
        std::mem::take(&mut self.unwritten)
    }

    /// Removes and returns the call to which the next answer belongs.
    pub fn next_answered(&mut self) -> Option<Call> {
        self.written.pop_front()
    }

    /// Opens the connection with this stream and writes the queued calls.
    pub fn open(&mut self, stream: Rc<OwnedWriteHalf>, counter: SocketAddr) {
        self.stream = Some(stream);
        self.output = Some(RingBuffer::new(MAX_QUEUED_BYTES));
        while let Some(call) = self.unwritten.pop_front() {
            if let Err(call) = self.send(call, counter) {
                self.unwritten.push_front(call);
                break;
            }
        }
    }

    /// Writes a call after those already written. Returns it as an error, unwritten, if the
    /// connection is not open or the output is full.
    pub fn send(&mut self, call: Call, counter: SocketAddr) -> Result<(), Call> {
        let (Some(stream), Some(output)) = (&self.stream, &mut self.output) else {
            return Err(call);
        };
        let request = call.request(counter);
        let written_bytes = if output.is_empty() {
            uninterrupted(|| stream.try_write(&request)).unwrap_or(0)
        } else {
            0
        };
        if output.push(&request[written_bytes..]).is_err() {
            return Err(call);
        }
        self.written.push_back(call);
        Ok(())
    }

    /// Writes as many queued bytes as the socket accepts.
    pub fn flush(&mut self) -> std::io::Result<()> {
        let (Some(stream), Some(output)) = (&self.stream, &mut self.output) else {
            return Ok(());
        };
        if output.is_empty() {
            return Ok(());
        }
        match uninterrupted(|| stream.try_write(output.first_slice())) {
            Ok(written) => output.consume(written),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Closes the connection without reporting its calls.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Closes the connection and ends the written calls. Each may have been counted; the first was
    /// counted if an answer to it had begun. Calls whose bytes are still partly queued are reported
    /// as possibly counted as well: separating them would gain little.
    pub fn fail_written(&mut self) -> Vec<FailedCall> {
        (self.stream, self.output) = (None, None);
        let first = if std::mem::take(&mut self.answer_begun) {
            Outcome::Error
        } else {
            Outcome::Reset
        };
        let outcomes = std::iter::once(first).chain(std::iter::repeat(Outcome::Reset));
        let failed = self.written.drain(..).zip(outcomes);
        failed
            .filter(|(call, _)| !call.reported)
            .map(|(call, outcome)| call.failed(outcome))
            .collect()
    }

    /// Ends the calls that have not been written. None of them was counted.
    pub fn fail_unwritten(&mut self) -> Vec<FailedCall> {
        let unwritten = self.unwritten.drain(..);
        unwritten
            .map(|call| call.failed(Outcome::ConnectFailed))
            .collect()
    }

    /// Ends the calls made at `latest_ms` or before. Written calls stay in the queue, because late
    /// answers to them may arrive.
    pub fn time_out_calls(&mut self, latest_ms: f64, failed: &mut Vec<FailedCall>) {
        // A partial answer belongs to the oldest call, which was therefore counted.
        let mut outcome = if self.answer_begun {
            Outcome::Error
        } else {
            Outcome::Timeout
        };
        let overdue = self
            .written
            .iter_mut()
            .take_while(|call| call.made_at_ms <= latest_ms);
        for call in overdue {
            if !std::mem::replace(&mut call.reported, true) {
                let name = call.add.name;
                failed.push(FailedCall { name, outcome });
            }
            outcome = Outcome::Timeout;
        }
        // An unwritten call was not counted, and it is dropped here, so it never will be.
        let overdue = |call: &Call| call.made_at_ms <= latest_ms;
        while self.unwritten.front().is_some_and(overdue) {
            let call = self.unwritten.pop_front();
            failed.extend(call.map(|call| call.failed(Outcome::ConnectFailed)));
        }
    }

    /// Returns whether an open connection is of no more use: idle or unanswered for too long, or
    /// with a partial answer to a call that has timed out.
    pub fn should_close(&self, now: f64) -> bool {
        let oldest = self.written.front();
        let out_of_step = self.answer_begun && oldest.is_some_and(|call| call.reported);
        let unanswered = oldest.is_some_and(|call| now - call.made_at_ms > UNANSWERED_CLOSE_MS);
        let idle = self.call_count() == 0 && now - self.last_call_ms > IDLE_CLOSE_MS;
        self.is_open() && (out_of_step || unanswered || idle)
    }
}
