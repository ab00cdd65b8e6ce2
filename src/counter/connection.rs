//! One connection to the counter and the calls on it, without I/O beyond a write that never waits. It owns which
//! calls are written and which are not, and so how each of them ends when the connection does.

use super::call::{Call, FailedCall};
use crate::buffer::ring_buffer::RingBuffer;
use crate::decision::Outcome;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::tcp::OwnedWriteHalf;

/// A connection whose oldest call has waited this long is closed, ms: until then a late total may come.
const UNANSWERED_CLOSE_MS: f64 = 1500.0;
/// Idle connections are closed after this long, ms, well before the counter does it.
const IDLE_CLOSE_MS: f64 = 5000.0;
/// Most bytes queued in a direction.
pub(super) const MAX_QUEUED_BYTES: usize = 256 * 1024;

/// A connection, up or not, and its calls.
#[derive(Default)]
pub(super) struct Connection {
    /// Calls that were written, in the order of the answers to come.
    written: VecDeque<Call>,
    /// Calls that were not, for want of a connection or of room.
    unwritten: VecDeque<Call>,
    /// None: it is not up.
    stream: Option<Rc<OwnedWriteHalf>>,
    output: Option<RingBuffer>,
    /// A task is opening it.
    pub connecting: bool,
    /// When it got its last call, ms.
    pub last_call_ms: f64,
    /// Bytes of an answer that is not complete have come.
    pub answer_begun: bool,
}

impl Connection {
    pub fn is_up(&self) -> bool {
        self.stream.is_some()
    }

    /// Whether it is up with this stream: a connection that was closed may have been opened anew since.
    pub fn is_up_with(&self, stream: &Rc<OwnedWriteHalf>) -> bool {
        self.stream.as_ref().is_some_and(|s| Rc::ptr_eq(s, stream))
    }

    pub fn has_output(&self) -> bool {
        self.output.as_ref().is_some_and(|o| !o.is_empty())
    }

    pub fn has_unanswered_calls(&self) -> bool {
        !self.written.is_empty()
    }

    /// Whether a call that was written may still be reported.
    pub fn has_unreported_calls(&self) -> bool {
        self.written.iter().any(|call| !call.reported)
    }

    /// Calls that it holds.
    pub fn call_count(&self) -> usize {
        self.written.len() + self.unwritten.len()
    }

    /// When the oldest call that is not reported was made, ms.
    pub fn oldest_call_ms(&self) -> Option<f64> {
        let written = self.written.iter().find(|call| !call.reported);
        let unwritten = self.unwritten.front();
        let made = written.into_iter().chain(unwritten);
        made.map(|call| call.made_at_ms).min_by(f64::total_cmp)
    }

    /// Keeps a call until there is a connection, or room on it.
    pub fn queue(&mut self, call: Call) {
        self.unwritten.push_back(call);
    }

    pub fn take_unwritten(&mut self) -> VecDeque<Call> {
        std::mem::take(&mut self.unwritten)
    }

    /// The call that the next answer belongs to.
    pub fn next_answered(&mut self) -> Option<Call> {
        self.written.pop_front()
    }

    /// Goes up with this stream and writes the calls that waited for it.
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

    /// Writes a call behind those already written, or gives it back, unwritten, where there is no room.
    pub fn send(&mut self, call: Call, counter: SocketAddr) -> Result<(), Call> {
        let (Some(stream), Some(output)) = (&self.stream, &mut self.output) else {
            return Err(call);
        };
        let request = call.request(counter);
        let written_bytes = if output.is_empty() {
            stream.try_write(&request).unwrap_or(0)
        } else {
            0
        };
        if output.push(&request[written_bytes..]).is_err() {
            return Err(call);
        }
        self.written.push_back(call);
        Ok(())
    }

    /// Writes as much of the queued bytes as the socket takes.
    pub fn flush(&mut self) -> std::io::Result<()> {
        let (Some(stream), Some(output)) = (&self.stream, &mut self.output) else {
            return Ok(());
        };
        if output.is_empty() {
            return Ok(());
        }
        match stream.try_write(output.first_slice()) {
            Ok(written) => output.consume(written),
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Closes it without regard to its calls: none of them is owed a report.
    pub fn close(&mut self) {
        self.stream = None;
    }

    /// Closes it: what was written may have been counted, and was if an answer to it had begun. Calls of which a
    /// part was queued were not written whole, but telling which would gain little: they "may have" as well.
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

    /// Ends the calls that were not written: none of them was counted.
    pub fn fail_unwritten(&mut self) -> Vec<FailedCall> {
        let unwritten = self.unwritten.drain(..);
        unwritten
            .map(|call| call.failed(Outcome::ConnectFailed))
            .collect()
    }

    /// Ends the calls made until `latest_ms`; those that were written stay here for their late answers.
    pub fn time_out_calls(&mut self, latest_ms: f64, failed: &mut Vec<FailedCall>) {
        // An answer that has begun is one to the oldest call: it was counted.
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
        // Never written, so nothing was counted; dropped, so nothing ever will be.
        let overdue = |call: &Call| call.made_at_ms <= latest_ms;
        while self.unwritten.front().is_some_and(overdue) {
            let call = self.unwritten.pop_front();
            failed.extend(call.map(|call| call.failed(Outcome::ConnectFailed)));
        }
    }

    /// Whether it is up and of no more use: idle for long, silent for long, or in the midst of an answer that nobody
    /// waits for.
    pub fn is_to_be_closed(&self, now: f64) -> bool {
        let oldest = self.written.front();
        let spoilt = self.answer_begun && oldest.is_some_and(|call| call.reported);
        let silent = oldest.is_some_and(|call| now - call.made_at_ms > UNANSWERED_CLOSE_MS);
        let idle = self.call_count() == 0 && now - self.last_call_ms > IDLE_CLOSE_MS;
        self.is_up() && (spoilt || silent || idle)
    }
}
