//! Requests, answers and replies as HTTP/2 carries them, for the front and for endpoints alike. It owns the
//! names of the headers (README documents them), the bounds on bodies, and the word on which failures prove
//! that a request never ran. It must never open a connection or decide about a request.

use crate::buffer::body_stream::BodyReceiver;
use crate::config::settings::Platform;
use crate::decision::{Idempotency, Outcome};
use crate::frontend::advice;
use crate::protocol::resp::MAX_VALUE;
use crate::request::{pairs, ClientRequest, FinalAnswer, ResponseBody};
use bytes::Bytes;
use h2::{Reason, RecvStream};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

/// Where requests go, followed by the class.
pub const REQUEST_PATH_PREFIX: &str = "/commands/";
/// The tenant, 16 hexadecimal digits.
pub const TENANT: &str = "api-customer";
/// The request's id.
pub const ID: &str = "req-id";
/// The tenant's plan.
pub const PLAN: &str = "api-plan";
/// How long the sender will wait, ms, counted from its send.
pub const DEADLINE: &str = "req-deadline-ms";
/// `1` marks a client's retry.
pub const RETRY: &str = "req-retry";
/// The other names and values: `units=2,spread=3,first=1`.
pub const TERMS: &str = "api-terms";
/// Terms of the platform's wire that have a header of their own.
const OWN: [&str; 5] = ["c", "t", "d", "r", "k"];
/// Beside `retry-after`, which counts whole seconds: the advice in milliseconds.
pub const RETRY_MS: &str = "retry-after-ms";
/// To an endpoint: what the operator's hook noted, by name.
pub const NOTE: &str = "api-note-";
/// From an endpoint: the request was rejected unseen and never ran.
pub const DECLINED: &str = "srv-declined";
/// From an endpoint: its load report.
pub const LOAD: &str = "srv-load";
/// From an endpoint: the figures on use, as on the platform's wire: `used=37,cost=4`.
pub const USE: &str = "srv-use";
/// The key by which endpoints know a repeat, for classes that carry one.
pub const KEY: &str = "idempotency-key";

/// A request that is no request; the text names the header.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct BadRequest(pub String);

/// A header that must be there.
///
/// # Errors
/// It is not, or is no text.
pub fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, BadRequest> {
    let value = headers
        .get(name)
        .ok_or_else(|| BadRequest(format!("{name} is missing")))?;
    value
        .to_str()
        .map_err(|_| BadRequest(format!("{name} is not text")))
}

/// The terms of a request from its headers, and how long the sender waits, ms.
///
/// # Errors
/// The header that makes no sense.
pub fn terms(headers: &HeaderMap, class: &str) -> Result<(String, f64), BadRequest> {
    let (deadline, plan) = (text(headers, DEADLINE)?, text(headers, PLAN)?);
    let ms: f64 = deadline
        .parse()
        .map_err(|_| BadRequest(format!("{DEADLINE} is not a number")))?;
    if !(0.0..=3.6e6).contains(&ms) {
        return Err(BadRequest(format!("{DEADLINE} is out of range")));
    }
    // A value with a comma would become a further term on the platform's wire.
    if [class, plan, deadline]
        .iter()
        .any(|value| value.contains(','))
    {
        return Err(BadRequest("a value holds a comma".into()));
    }
    let mut terms = format!("c={class},t={plan},d={deadline}");
    // A key may stand among the terms too; one in both places is one too many, and judged as that.
    let taken = |name: &str| name == "k" || !OWN.contains(&name);
    for (name, value) in pairs(text(headers, TERMS)?).filter(|(name, _)| taken(name)) {
        terms.extend([",", name, "=", value]);
    }
    for key in headers
        .get_all(KEY)
        .iter()
        .map(|key| key.to_str().unwrap_or(""))
    {
        if key.contains(',') {
            return Err(BadRequest(format!("{KEY} holds a comma")));
        }
        terms.extend([",k=", key]);
    }
    if headers.get(RETRY).is_some_and(|r| r == "1") {
        terms.push_str(",r=1");
    }
    Ok((terms, ms))
}

/// A request as a request to an endpoint, which is told how long this ingress will wait.
///
/// # Errors
/// A value that no header can hold.
pub fn upstream_request(
    platform: &Platform,
    request: &ClientRequest,
    wait_ms: f64,
) -> Result<Request<()>, http::Error> {
    let class = request.ask.class;
    let safe = platform.decision.classes[class].idempotency == Idempotency::Safe;
    let method = if safe && request.body.is_none() {
        Method::GET
    } else {
        Method::POST
    };
    let mut terms = String::with_capacity(request.terms.len());
    for (name, value) in pairs(&request.terms).filter(|(name, _)| !OWN.contains(name)) {
        let comma = if terms.is_empty() { "" } else { "," };
        terms.extend([comma, name, "=", value]);
    }
    let mut builder = Request::builder()
        .method(method)
        .uri(format!(
            "http://instance{REQUEST_PATH_PREFIX}{}",
            platform.classes[class]
        ))
        .header(TENANT, &request.tenant)
        .header(ID, &request.id)
        .header(PLAN, &platform.plans[request.ask.plan])
        .header(DEADLINE, wait_ms.max(1.0) as u64)
        .header(TERMS, terms);
    if let Some((_, key)) = pairs(&request.terms).find(|(name, _)| *name == "k") {
        builder = builder.header(KEY, key);
    }
    if request.ask.repeat {
        builder = builder.header(RETRY, "1");
    }
    for (name, value) in &request.notes {
        builder = builder.header(format!("{NOTE}{name}"), value);
    }
    builder.body(())
}

/// What an endpoint's status means; 200 is served once its body is whole.
pub fn outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let turned_away =
        status == StatusCode::TOO_MANY_REQUESTS || status == StatusCode::SERVICE_UNAVAILABLE;
    match status {
        StatusCode::OK => Outcome::Ok,
        // A bare 503 may come from anything on the way; only the header says that nothing ran.
        _ if turned_away && headers.contains_key(DECLINED) => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// What a broken stream proves. h2 gives the peer's GOAWAY as a stream's error to streams above its last id
/// alone; those at or below it end with an error of the connection, and may have run.
pub fn broken(error: &h2::Error) -> Outcome {
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    match error.is_remote() {
        true if refused => Outcome::Rejected,
        true if error.is_go_away() => Outcome::ConnectFailed,
        _ => Outcome::Reset,
    }
}

/// A whole body; none: the stream ended before, gave nothing more for `stalled`, or the body is longer than any
/// value that is taken whole.
pub async fn collect(stream: &mut RecvStream, stalled: Duration) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(part) = timeout(stalled, stream.data()).await.ok()? {
        let part = part.ok()?;
        if body.len() + part.len() > MAX_VALUE {
            return None;
        }
        body.extend_from_slice(&part);
        stream.flow_control().release_capacity(part.len()).ok()?;
    }
    Some(body)
}

/// An answer with a status alone.
pub fn plain(status: StatusCode) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    response
}

/// A body of an answer.
pub enum Body {
    /// All of it; empty: there is none.
    Complete(Bytes),
    /// It goes out while it comes.
    Streaming(Rc<BodyReceiver>),
}

/// An answer as a status, headers and a body.
pub fn wording(answer: FinalAnswer) -> (Response<()>, Body) {
    let bare = |response| (response, Body::Complete(Bytes::new()));
    match answer {
        FinalAnswer::Served(ResponseBody::Complete(value)) => {
            (plain(StatusCode::OK), Body::Complete(value.into()))
        }
        FinalAnswer::Served(ResponseBody::Streaming(value)) => {
            let mut response = plain(StatusCode::OK);
            response
                .headers_mut()
                .insert(http::header::CONTENT_LENGTH, value.size().into());
            (response, Body::Streaming(value))
        }
        FinalAnswer::Rejected { retry_after_ms } => {
            let mut response = plain(StatusCode::TOO_MANY_REQUESTS);
            let ms = advice(retry_after_ms).unwrap_or(0);
            response
                .headers_mut()
                .insert("retry-after", ms.div_ceil(1000).max(1).into());
            if ms > 0 {
                response.headers_mut().insert(RETRY_MS, ms.into());
            }
            bare(response)
        }
        FinalAnswer::Failed { late: true } => bare(plain(StatusCode::GATEWAY_TIMEOUT)),
        FinalAnswer::Failed { late: false } => bare(plain(StatusCode::BAD_GATEWAY)),
    }
}

/// Sends a value while it comes, as the window opens; false: one side has ended.
pub async fn push_coming(
    stream: &mut h2::SendStream<Bytes>,
    value: &BodyReceiver,
    patience: Duration,
) -> bool {
    while !value.over() {
        if value.broken() {
            return false;
        }
        if value.dry() {
            value.more().await;
            continue;
        }
        let part = Bytes::copy_from_slice(value.bytes().front());
        let n = part.len();
        if !timeout(patience, push_body(stream, part, false))
            .await
            .unwrap_or(false)
        {
            return false;
        }
        value.took(n);
    }
    stream.send_data(Bytes::new(), true).is_ok()
}

/// Sends a body, or a part of one that is not the last, in pieces as the window opens; false: the stream has ended.
pub async fn push_body(stream: &mut h2::SendStream<Bytes>, mut body: Bytes, last: bool) -> bool {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let Some(Ok(room)) = poll_fn(|cx| stream.poll_capacity(cx)).await else {
            return false;
        };
        let part = body.split_to(room.min(body.len()));
        if !part.is_empty() && stream.send_data(part, last && body.is_empty()).is_err() {
            return false;
        }
    }
    true
}
