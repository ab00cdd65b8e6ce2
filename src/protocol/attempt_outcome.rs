//! What an endpoint's answer, or the end of its connection, proves of an attempt. Only proof that nothing ran
//! allows a request with an effect to be sent again, so each case stands here with its reason.
//!
//! | what came | outcome | has it run? |
//! | --- | --- | --- |
//! | no connection, or the request was not written whole | `ConnectFailed` | no: the endpoint has no complete request |
//! | RESP `-BUSY` | `Rejected` | no: the protocol says that it was rejected unseen |
//! | RESP `-ERR` | `Error` | perhaps |
//! | another RESP error, a malformed reply, a lost connection | `Reset` | perhaps |
//! | HTTP/2 429 or 503 with `srv-declined` | `Rejected` | no: only the endpoint sets this header |
//! | HTTP/2 429 or 503 without it, any other status but 200 | `Error` | perhaps: any machine on the way may answer so |
//! | the endpoint's RST_STREAM with REFUSED_STREAM | `Rejected` | no: RFC 9113, 8.7 |
//! | the endpoint's GOAWAY, on a stream above its last id | `ConnectFailed` | no: RFC 9113, 6.8 |
//! | any other end of a stream | `Reset` | perhaps |

use crate::decision::Outcome;
use crate::protocol::http2::REJECTED;
use crate::protocol::wire_names;
use h2::Reason;
use http::{HeaderMap, StatusCode};

/// The outcome by the first word of a RESP error; none: the word is noise, and says nothing of the endpoint's
/// class or queue.
pub fn of_resp_error(first_word: &[u8]) -> Option<Outcome> {
    match first_word {
        wire_names::REJECTED => Some(Outcome::Rejected),
        wire_names::ERROR => Some(Outcome::Error),
        _ => None,
    }
}

/// The outcome by the head of an HTTP/2 answer; [`Outcome::Ok`] counts once the body is complete.
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

/// The outcome of a stream that ended with an error. h2 gives the peer's GOAWAY as the error of streams above
/// its last id alone; streams at or below that id end with an error of the connection, and may have run.
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
