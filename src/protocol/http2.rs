//! Requests and answers as HTTP/2 carries them, from clients and to endpoints: the names of the headers (`headers`,
//! documented in the README), requests (`request`), answers (`answer`) and bodies (`body`). Nothing here opens a
//! connection or decides about a request.

mod answer;
mod body;
mod headers;
mod request;

pub use answer::{plain, wording, Body};
pub use body::{collect, push_body, push_coming};
pub use headers::{
    DEADLINE, ID, IDEMPOTENCY_KEY, LOAD_REPORT, NOTE_PREFIX, PLAN, REJECTED, REQUEST_PATH_PREFIX,
    RETRY, RETRY_AFTER_MS, TENANT, TERMS, USAGE,
};
pub use request::{terms, text, upstream_request, InvalidHeader};
