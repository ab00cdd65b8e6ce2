//! Requests and answers as HTTP/2 carries them, from clients and to endpoints: the names of the headers (`headers`,
//! documented in the README), requests (`request`), answers (`answer`) and bodies (`body`). Nothing here opens a
//! connection or decides about a request.

mod answer;
mod body;
mod headers;
mod request;

pub use answer::{answer_response, status_response, Body};
pub use body::{collect, send_body, send_streaming_body};
pub use headers::{
    CLIENT_TIMEOUT_MS, IDEMPOTENCY_KEY, LOAD_REPORT, NOTE_PREFIX, PLAN, REJECTED, REQUEST_ID,
    REQUEST_PATH_PREFIX, RETRY, RETRY_AFTER_MS, TENANT, TERMS, USAGE,
};
pub use request::{request_terms, required_header, upstream_request, InvalidHeader};
