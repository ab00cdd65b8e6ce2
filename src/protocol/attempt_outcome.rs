//! Maps an endpoint's answer, or the end of its connection, to the outcome of an attempt. A request
//! with an effect may be sent again only if the outcome proves that the request did not run, so
//! each case is listed with its reason.
//!
//! | what happened | outcome | has the request run? |
//! | --- | --- | --- |
//! | no connection, or the request was not written completely | `ConnectFailed` | no: the endpoint has no complete request |
//! | RESP `-BUSY` | `Rejected` | no: by the protocol, the endpoint rejected it without processing it |
//! | RESP `-ERR` | `Error` | possibly |
//! | another RESP error, a malformed reply, a lost connection | `Reset` | possibly |
//! | HTTP/2 429 or 503 with `srv-declined` | `Rejected` | no: only the endpoint sets this header |
//! | HTTP/2 429 or 503 without it, any other status but 200 | `Error` | possibly: an intermediary may answer so |
//! | the endpoint's RST_STREAM with REFUSED_STREAM | `Rejected` | no: RFC 9113, 8.7 |
//! | the endpoint's GOAWAY, on a stream above its last id | `ConnectFailed` | no: RFC 9113, 6.8 |
//! | any other end of a stream | `Reset` | possibly |

use crate::decision::Outcome;
use crate::protocol::http2::REJECTED;
use crate::protocol::wire_names;
use h2::Reason;
use http::{HeaderMap, StatusCode};

/// Returns the outcome for the first word of a RESP error reply; none if the word is unknown, so
/// that the reply counts as malformed.
pub fn of_resp_error(first_word: &[u8]) -> Option<Outcome> {
    match first_word {
        wire_names::REJECTED => Some(Outcome::Rejected),
        wire_names::ERROR => Some(Outcome::Error),
        _ => None,
    }
}

/// Returns the outcome for the head of an HTTP/2 answer. [`Outcome::Ok`] is valid only if the
/// complete body follows.
pub fn of_http2_head(status: StatusCode, headers: &HeaderMap) -> Outcome {
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE
            if headers.contains_key(REJECTED) =>
        {
            Outcome::Rejected
        }
        _ => Outcome::Error,
    }
}

/// Returns the outcome of a stream that ended with an error. h2 reports the peer's GOAWAY only on
/// streams above its last id. Streams at or below that id end with a connection error, and their
/// requests may have run.
pub fn of_http2_error(error: &h2::Error) -> Outcome {
    if !error.is_remote() {
        return Outcome::Reset;
    }
    if error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM) {
        return Outcome::Rejected;
    }
    if error.is_go_away() {
        return Outcome::ConnectFailed;
    }
    Outcome::Reset
}

#[cfg(test)]
mod tests;
