//! Pipelined answers in the order of their requests. Each request has a slot in its connection's
//! queue, and its answer is written once all earlier ones are.

use super::connection::Connection;
use super::session::MAX_PIPELINED;
use crate::buffer::body_stream::BodyReceiver;
use crate::buffer::socket_io::uninterrupted;
use crate::decision::driver::RequestId;
use crate::protocol::retry_after::retry_after_whole_ms;
use crate::request::{FinalAnswer, ResponseBody};
use crate::runtime::dispatcher::{CloseCause, ResponseSink};
use std::io::ErrorKind;
use std::rc::Rc;

/// One request's slot in the queue of answers.
pub(super) enum AnswerSlot {
    /// The answer is pending. Holds the request's number once the dispatcher has assigned one.
    Pending(Option<RequestId>),
    /// The encoded answer.
    Ready(Vec<u8>),
    /// A large body, which is written while it arrives.
    Streaming(Rc<BodyReceiver>),
}

/// The result of one attempt to write.
enum Written {
    /// Bytes were written, or there was nothing to write.
    Progress,
    /// The socket accepts no more bytes now, or the connection has failed.
    Stopped,
}

impl Connection {
    /// Adds a slot at the end of the queue and returns its ticket.
    pub(super) fn open_slot(&self) -> u64 {
        let mut answers = self.answers.borrow_mut();
        answers.push_back(AnswerSlot::Pending(None));
        self.first_ticket.get() + answers.len() as u64 - 1
    }

    /// Records which request will fill a slot.
    pub(super) fn set_request(&self, ticket: u64, id: RequestId) {
        let position = (ticket - self.first_ticket.get()) as usize;
        if let Some(slot) = self.answers.borrow_mut().get_mut(position) {
            *slot = AnswerSlot::Pending(Some(id));
        }
    }

    /// Fills a slot with an answer of the frontend itself.
    pub(super) fn answer_with(&self, ticket: u64, bytes: &[u8]) {
        self.fill_slot(ticket, AnswerSlot::Ready(bytes.to_vec()));
    }

    /// Returns the requests without an answer.
    pub(super) fn pending_requests(&self) -> Vec<RequestId> {
        let answers = self.answers.borrow();
        let pending = |slot: &AnswerSlot| match slot {
            AnswerSlot::Pending(id) => *id,
            _ => None,
        };
        answers.iter().filter_map(pending).collect()
    }

    /// Returns the number of answers that are not written yet, including one that is being
    /// streamed.
    pub(super) fn pending_answer_count(&self) -> usize {
        self.answers.borrow().len() + usize::from(self.streaming.borrow().is_some())
    }

    /// Returns whether any answer is not written yet.
    pub(super) fn has_pending_answers(&self) -> bool {
        self.pending_answer_count() > 0
    }

    /// Returns whether a request has no answer yet.
    pub(super) fn awaits_answer(&self) -> bool {
        let answers = self.answers.borrow();
        answers
            .iter()
            .any(|slot| matches!(slot, AnswerSlot::Pending(_)))
    }

    /// Returns whether there are bytes that the client has not accepted.
    pub(super) fn has_unsent(&self) -> bool {
        if !self.output.borrow().is_empty() {
            return true;
        }
        let streaming = self.streaming.borrow();
        streaming.as_ref().is_some_and(|body| !body.is_empty())
    }

    fn fill_slot(&self, ticket: u64, filled: AnswerSlot) {
        let was_full = self.answers.borrow().len() >= MAX_PIPELINED;
        if !self.replace_slot(ticket, filled) {
            return;
        }
        self.flush();
        if self.unsent.must_give_way() {
            self.fail(CloseCause::UnsentBudget);
        }
        let unwritten = !self.output.borrow().is_empty() || self.streaming.borrow().is_some();
        // The session stops reading while the queue is full; it can read again now.
        if was_full || self.has_failed() || self.draining.get() || unwritten {
            self.wake.notify_one();
        }
    }

    /// Puts an answer into its slot; returns false if the slot no longer exists.
    fn replace_slot(&self, ticket: u64, filled: AnswerSlot) -> bool {
        let mut answers = self.answers.borrow_mut();
        let Some(position) = ticket.checked_sub(self.first_ticket.get()) else {
            return false;
        };
        let Some(slot) = answers.get_mut(position as usize) else {
            return false;
        };
        if let AnswerSlot::Ready(bytes) = &filled {
            self.unsent.add(bytes.len());
        }
        *slot = filled;
        true
    }

    /// Moves answers to the output in order, up to the first pending answer, streamed body, or answer
    /// for which the output has no room. That one stays in its slot until bytes have been written.
    fn move_to_output(&self) {
        let mut answers = self.answers.borrow_mut();
        while self.streaming.borrow().is_none() {
            let has_room = match answers.front() {
                Some(AnswerSlot::Ready(bytes)) => self.push_output(bytes),
                Some(AnswerSlot::Streaming(body)) => {
                    self.push_output(format!("${}\r\n", body.size()).as_bytes())
                }
                Some(AnswerSlot::Pending(_)) | None => return,
            };
            if !has_room {
                return;
            }
            if let Some(AnswerSlot::Streaming(body)) = answers.pop_front() {
                *self.streaming.borrow_mut() = Some(body);
            }
            self.first_ticket.set(self.first_ticket.get() + 1);
        }
    }

    /// Appends an answer to the output. Returns false if the output has no room for it now.
    fn push_output(&self, bytes: &[u8]) -> bool {
        self.output.borrow_mut().push(bytes).is_ok()
    }

    /// Writes as many bytes as the socket accepts now.
    pub(super) fn flush(&self) {
        while !self.has_failed() {
            self.move_to_output();
            let streaming = self.streaming.borrow().clone();
            if streaming.is_none() && self.output.borrow().is_empty() {
                return;
            }
            if let Written::Stopped = self.write_output() {
                return;
            }
            let Some(body) = streaming else {
                // Answers for which there was no room may follow.
                continue;
            };
            if body.is_complete() {
                self.end_body();
            } else if body.is_broken_off() {
                // Closing the connection within the body shows the client that the body is
                // incomplete.
                self.fail(CloseCause::IncompleteBody);
            } else if body.is_empty() {
                return;
            } else if let Written::Stopped = self.write_body(&body) {
                return;
            }
        }
    }

    fn write_output(&self) -> Written {
        let mut output = self.output.borrow_mut();
        while !output.is_empty() {
            match uninterrupted(|| self.stream.try_write(output.first_slice())) {
                Ok(count) => {
                    output.consume(count);
                    self.unsent.release(count);
                    self.last_active_ms.set(self.dispatcher.now());
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Written::Stopped,
                Err(_) => {
                    self.fail(CloseCause::WriteFailed);
                    return Written::Stopped;
                }
            }
        }
        Written::Progress
    }

    fn write_body(&self, body: &BodyReceiver) -> Written {
        let written = uninterrupted(|| self.stream.try_write(body.buffer().first_slice()));
        match written {
            Ok(count) => {
                body.consume(count);
                self.last_active_ms.set(self.dispatcher.now());
                Written::Progress
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Written::Stopped,
            Err(_) => {
                self.fail(CloseCause::WriteFailed);
                Written::Stopped
            }
        }
    }

    /// Ends a streamed body that is complete.
    fn end_body(&self) {
        *self.streaming.borrow_mut() = None;
        // The output has just been written, so there is room.
        let _ = self.output.borrow_mut().push(b"\r\n");
    }
}

impl ResponseSink for Connection {
    fn answer(&self, ticket: u64, answer: FinalAnswer) {
        self.last_active_ms.set(self.dispatcher.now());
        self.fill_slot(ticket, encode(answer));
    }
}

/// Encodes an answer in the platform's protocol, or returns a body to stream.
fn encode(answer: FinalAnswer) -> AnswerSlot {
    AnswerSlot::Ready(match answer {
        FinalAnswer::Served(ResponseBody::Streaming(body)) => return AnswerSlot::Streaming(body),
        FinalAnswer::Served(ResponseBody::Complete(body)) => encode_body(&body),
        FinalAnswer::Rejected { retry_after_ms } => match retry_after_whole_ms(retry_after_ms) {
            Some(ms) => format!("-BUSY {ms}\r\n").into_bytes(),
            None => b"-BUSY\r\n".to_vec(),
        },
        FinalAnswer::Failed { late: true } => b"-ERR failed: no answer in time\r\n".to_vec(),
        FinalAnswer::Failed { late: false } => b"-ERR failed\r\n".to_vec(),
    })
}

fn encode_body(body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(body.len() + 16);
    out.extend_from_slice(format!("${}\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
    out.extend_from_slice(b"\r\n");
    out
}
