//! Requests and answers in HTTP/2, from clients and to endpoints: header names (`headers`,
//! documented in the README), requests (`request`), answers (`answer`), bodies (`body`), and fair reading (`fair_stream`). This
//! module opens no connections and makes no decisions about requests.

mod answer;
mod body;
mod fair_stream;
mod headers;
mod request;

pub use answer::{answer_response, status_response, Body};
pub use body::{collect, next_chunk, send_body, send_complete_body, send_streaming_body, BodySent};
pub use fair_stream::FairStream;
pub use headers::{
    CLIENT_TIMEOUT_MS, IDEMPOTENCY_KEY, LOAD_REPORT, NOTE_PREFIX, PLAN, REJECTED, REQUEST_ID,
    REQUEST_PATH_PREFIX, RETRY, RETRY_AFTER_MS, TENANT, TERMS, USAGE,
};
pub use request::{request_terms, required_header, upstream_request, InvalidHeader};
