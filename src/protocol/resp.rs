//! RESP, the platform's protocol: its grammar (`grammar`) and its requests (`request`). This module
//! does no I/O, and its parsers panic on no input.
//!
//! Also re-exports the HTTP/1 answers of [`crate::protocol::http1`].

mod grammar;
mod request;

pub use crate::protocol::http1::{http_answer, http_answer_at_end, HttpAnswer};
pub use crate::protocol::parse::{Malformed, Parsed};
pub use grammar::{
    endpoint_reply, push_words, request_words, streamed_reply, streamed_reply_rest, Reply,
    StreamedReply, MAX_COMPLETE_BODY_BYTES, MAX_STREAMED_BODY_BYTES,
};
pub use request::{parse_request, push_request};

#[cfg(test)]
mod tests;
