//! One call to the counter: its request, the parsing of its answer, and its outcome.

use crate::decision::driver::CounterAdd;
use crate::decision::Outcome;
use crate::protocol::resp::HttpAnswer;
use std::io::Write;
use std::net::SocketAddr;

/// Shortest lifetime of a counter's entry that a call requests, ms: with 0 no later call could read
/// the entry.
const MIN_LIFETIME_MS: f64 = 1.0;
/// Longest lifetime of a counter's entry, ms: the counter rejects a longer one.
const MAX_LIFETIME_MS: f64 = 60_000.0;

/// A call that waits to be written or to be answered.
pub(super) struct Call {
    pub add: CounterAdd,
    /// When the call was made, ms.
    pub made_at_ms: f64,
    /// Whether an outcome has been reported already, so that a total that still arrives is a late
    /// one.
    pub reported: bool,
}

/// A call that has ended without a total.
pub(super) struct FailedCall {
    /// The name of the counter's entry.
    pub name: u64,
    pub outcome: Outcome,
}

/// Why an answer contains no total.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum AnswerError {
    #[error("the call was counted, but its total cannot be read")]
    UnreadableTotal,
    #[error("the counter rejected the call or does not support it")]
    Rejected,
    #[error("the counter answered with status {0}: the call may have been counted")]
    UnexpectedStatus(u16),
}

impl AnswerError {
    pub(super) fn outcome(self) -> Outcome {
        match self {
            AnswerError::UnreadableTotal => Outcome::Error,
            AnswerError::Rejected => Outcome::Rejected,
            AnswerError::UnexpectedStatus(_) => Outcome::Timeout,
        }
    }

    /// Whether further bytes on the connection could be the rest of this answer, so that the
    /// connection cannot be used any more.
    pub(super) fn makes_connection_unusable(self) -> bool {
        self != AnswerError::Rejected
    }
}

impl Call {
    /// Creates a call that is made at `now`, ms.
    pub(super) fn new(add: CounterAdd, now: f64) -> Call {
        Call {
            add,
            made_at_ms: now,
            reported: false,
        }
    }

    pub(super) fn failed(self, outcome: Outcome) -> FailedCall {
        FailedCall {
            name: self.add.name,
            outcome,
        }
    }

    /// Encodes the call as an HTTP/1.1 request.
    pub(super) fn request(&self, counter: SocketAddr) -> Vec<u8> {
        let CounterAdd {
            name,
            amount,
            lifetime_ms: requested_ms,
        } = self.add;
        let keep_ms = requested_ms.clamp(MIN_LIFETIME_MS, MAX_LIFETIME_MS) as u64;
        let mut request = Vec::with_capacity(128);
        // Writing to memory cannot fail.
        let _ = write!(
            request,
            "POST /tally/{name:016x}?n={amount}&keep_ms={keep_ms} HTTP/1.1\r\nHost: {counter}\r\nContent-Length: 0\r\n\r\n"
        );
        request
    }
}

/// Returns the total in an answer.
///
/// # Errors
/// The answer contains no total; the error says whether the call was counted.
pub(super) fn read_total(answer: &HttpAnswer) -> Result<f64, AnswerError> {
    match answer.status {
        200 => parse_total(&answer.body).ok_or(AnswerError::UnreadableTotal),
        503 | 400 | 404 => Err(AnswerError::Rejected),
        status => Err(AnswerError::UnexpectedStatus(status)),
    }
}

fn parse_total(body: &[u8]) -> Option<f64> {
    let text = std::str::from_utf8(body).ok()?;
    let total: f64 = text.trim().parse().ok()?;
    total.is_finite().then_some(total)
}
