//! Converts final answers to a status, headers and a body.

use crate::buffer::body_stream::BodyReceiver;
use crate::protocol::http2::headers::RETRY_AFTER_MS;
use crate::protocol::retry_after::retry_after_whole_ms;
use crate::request::{FinalAnswer, ResponseBody};
use bytes::Bytes;
use http::header::{CONTENT_LENGTH, RETRY_AFTER};
use http::{Response, StatusCode};
use std::rc::Rc;

/// Milliseconds in a second.
const MS_PER_S: u64 = 1000;

/// The body of an HTTP/2 answer.
pub enum Body {
    /// The complete body; empty if there is none.
    Complete(Bytes),
    /// A body that is sent while it arrives.
    Streaming(Rc<BodyReceiver>),
}

/// Returns an answer that has a status only.
pub fn status_response(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}

/// Returns the status and headers of a final answer, and its body.
pub fn answer_response(answer: FinalAnswer) -> (Response<()>, Body) {
    match answer {
        FinalAnswer::Served(ResponseBody::Complete(value)) => (
            status_response(StatusCode::OK),
            Body::Complete(value.into()),
        ),
        FinalAnswer::Served(ResponseBody::Streaming(value)) => {
            let mut response = status_response(StatusCode::OK);
            response
                .headers_mut()
                .insert(CONTENT_LENGTH, value.size().into());
            (response, Body::Streaming(value))
        }
        FinalAnswer::Rejected { retry_after_ms } => without_body(rejection(retry_after_ms)),
        FinalAnswer::Failed { late: true } => {
            without_body(status_response(StatusCode::GATEWAY_TIMEOUT))
        }
        FinalAnswer::Failed { late: false } => {
            without_body(status_response(StatusCode::BAD_GATEWAY))
        }
    }
}

fn without_body(response: Response<()>) -> (Response<()>, Body) {
    (response, Body::Complete(Bytes::new()))
}

/// Returns a 429. Its `retry-after` is in whole seconds, rounded up, and at least one.
fn rejection(retry_after_ms: f64) -> Response<()> {
    let mut response = status_response(StatusCode::TOO_MANY_REQUESTS);
    let whole_ms = retry_after_whole_ms(retry_after_ms).unwrap_or(0);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, whole_ms.div_ceil(MS_PER_S).max(1).into());
    if whole_ms > 0 {
        headers.insert(RETRY_AFTER_MS, whole_ms.into());
    }
    response
}
