//! Builds requests from the headers and body of a stream, and applies the operator's rules to them.

use crate::protocol::http2::{
    request_terms, required_header, CLIENT_TIMEOUT_MS, PLAN, REQUEST_ID, REQUEST_PATH_PREFIX,
    RETRY, TENANT, TERMS,
};
use crate::protocol::resp::MAX_COMPLETE_BODY_BYTES;
use crate::request::{term_pairs, ClientRequest, InvalidRequest, MAX_CLIENT_TIMEOUT_MS};
use crate::routing::{self, HeaderView};
use crate::runtime::dispatcher::{ByteBudget, Dispatcher};
use driftgap_routes::{Headers, LimitPermit, Mapped, Request as RuleRequest, Route, Verdict};
use h2::{Reason, RecvStream};
use http::request::Parts;
use http::{Method, Request, StatusCode};
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Path of the readiness check, by which load balancers decide whether to route clients here.
const READY_PATH: &str = "/-/ready";
/// Path of the liveness check.
const HEALTHY_PATH: &str = "/-/healthy";

/// Memory of a stream whose body is incomplete, apart from the body, bytes.
const OPEN_STREAM_BYTES: usize = 4 * 1024;
/// Retry-After of a request that is rejected because incomplete requests take too much memory, ms: by
/// then, some of them have ended.
const NO_MEMORY_RETRY_AFTER_MS: f64 = 500.0;

/// A stream, classified by its headers.
pub(super) enum Received {
    /// A request, with the permits that it holds under the operator's limits.
    Request(Box<ClientRequest>, Vec<LimitPermit>),
    /// A request that a rule rejects. The client may retry after `retry_after_ms`.
    Rejected { retry_after_ms: f64 },
    /// A stream that the frontend answers itself.
    Answer(StatusCode, &'static str),
}

/// Why a stream is not a valid request.
pub(super) enum RequestError {
    /// The stream is answered with this status and text.
    Status(StatusCode, String),
    /// The body has not arrived completely: the stream is reset.
    Reset(Reason),
}

fn bad_request(why: impl ToString) -> RequestError {
    RequestError::Status(StatusCode::BAD_REQUEST, why.to_string())
}

/// Maps a validation error to a status. As on every wire, a request with an unknown class or plan,
/// or with invalid units, has failed; any other error means that it is malformed.
fn validation_error(problem: InvalidRequest) -> RequestError {
    match problem {
        InvalidRequest::Class | InvalidRequest::Plan | InvalidRequest::Term("units") => {
            RequestError::Status(StatusCode::BAD_GATEWAY, problem.to_string())
        }
        problem => bad_request(problem),
    }
}

/// Reads and classifies the headers and body of a stream.
pub(super) async fn read_request(
    dispatcher: &Dispatcher,
    peer: IpAddr,
    incoming: Request<RecvStream>,
) -> Result<Received, RequestError> {
    let (head, mut stream) = incoming.into_parts();
    let (mut request, permits, body_timeout) = match read_head(dispatcher, peer, &head)? {
        HeadVerdict::Request {
            request,
            permits,
            body_timeout,
        } => (request, permits, body_timeout),
        HeadVerdict::Done(received) => return Ok(received),
    };
    // The headers of a request may take far more memory than what is kept of them.
    drop(head);
    let Some(body) = read_body(dispatcher, &mut stream, body_timeout).await? else {
        return Ok(Received::Rejected {
            retry_after_ms: NO_MEMORY_RETRY_AFTER_MS,
        });
    };
    request
        .set_body(dispatcher.platform(), body.bytes)
        .map_err(validation_error)?;
    Ok(Received::Request(request, permits))
}

/// What the headers of a stream lead to.
enum HeadVerdict {
    /// A request, whose body is to be read.
    Request {
        request: Box<ClientRequest>,
        permits: Vec<LimitPermit>,
        body_timeout: Duration,
    },
    /// The stream is classified without its body.
    Done(Received),
}

/// Builds a request from the headers of a stream, without its body.
fn read_head(
    dispatcher: &Dispatcher,
    peer: IpAddr,
    head: &Parts,
) -> Result<HeadVerdict, RequestError> {
    if let Some((status, text)) = health_check(dispatcher, head.uri.path()) {
        return Ok(HeadVerdict::Done(Received::Answer(status, text)));
    }
    let request_head = RequestHead { peer, head };
    let route = match apply_rules(dispatcher, &request_head)? {
        RuleVerdict::Route(route) => *route,
        RuleVerdict::Reject { retry_after_ms } => {
            return Ok(HeadVerdict::Done(Received::Rejected { retry_after_ms }));
        }
    };
    let (mut request, body_timeout_ms) = match (route.command, request_head.class()) {
        (Some(mapped), _) => mapped_request(dispatcher, mapped, &request_head)?,
        (None, Some(class)) => named_request(dispatcher, class, head)?,
        (None, None) => {
            let not_found = Received::Answer(StatusCode::NOT_FOUND, "no such path");
            return Ok(HeadVerdict::Done(not_found));
        }
    };
    request.attributes.pools = route.pools;
    request.notes = route.notes;
    Ok(HeadVerdict::Request {
        request: Box::new(request),
        permits: route.permits,
        body_timeout: Duration::from_secs_f64(body_timeout_ms / 1e3),
    })
}

/// Returns the answer to a health check, or `None` if the path is not one.
fn health_check(dispatcher: &Dispatcher, path: &str) -> Option<(StatusCode, &'static str)> {
    match path {
        READY_PATH if dispatcher.ready() => Some((StatusCode::OK, "ready")),
        READY_PATH => Some((StatusCode::SERVICE_UNAVAILABLE, "not ready")),
        HEALTHY_PATH => Some((StatusCode::OK, "healthy")),
        _ => None,
    }
}

/// The result of the operator's rules for a request.
enum RuleVerdict {
    Route(Box<Route>),
    Reject { retry_after_ms: f64 },
}

/// Applies the operator's rules to a request. Without rules the request passes unchanged.
fn apply_rules(
    dispatcher: &Dispatcher,
    request_head: &RequestHead<'_>,
) -> Result<RuleVerdict, RequestError> {
    if !dispatcher.has_rules() {
        return Ok(RuleVerdict::Route(Box::default()));
    }
    let view = HeaderView(&request_head.head.headers);
    match dispatcher.route(&request_head.for_rules(&view)) {
        Verdict::Forward(route) => Ok(RuleVerdict::Route(route)),
        Verdict::Reject { retry_after_ms, by } => {
            tracing::debug!(by, retry_after_ms, "request rejected by a rule");
            Ok(RuleVerdict::Reject { retry_after_ms })
        }
        Verdict::Invalid { rule, why } => {
            tracing::debug!(rule, why, "request is invalid for a rule");
            Err(bad_request(why))
        }
    }
}

/// Builds the request to which a rule maps a stream. Also returns the time limit for its body, ms.
fn mapped_request(
    dispatcher: &Dispatcher,
    mapped: Mapped,
    request_head: &RequestHead<'_>,
) -> Result<(ClientRequest, f64), RequestError> {
    let view = HeaderView(&request_head.head.headers);
    let rule_request = request_head.for_rules(&view);
    let generate_id = || dispatcher.generate_request_id();
    let request =
        routing::mapped_request(dispatcher.platform(), mapped, &rule_request, generate_id);
    let request = request.map_err(validation_error)?;
    let timeout_ms = request.client_timeout_ms;
    Ok((request, timeout_ms))
}

/// Builds the request that the client's headers name. Also returns the time limit for its body, ms.
fn named_request(
    dispatcher: &Dispatcher,
    class: &str,
    head: &Parts,
) -> Result<(ClientRequest, f64), RequestError> {
    if head.method != Method::POST && head.method != Method::GET {
        let why = "POST or GET".to_string();
        return Err(RequestError::Status(StatusCode::METHOD_NOT_ALLOWED, why));
    }
    let (terms, timeout_ms) = request_terms(&head.headers, class).map_err(bad_request)?;
    let tenant = required_header(&head.headers, TENANT).map_err(bad_request)?;
    let id = required_header(&head.headers, REQUEST_ID).map_err(bad_request)?;
    let request = ClientRequest::new(dispatcher.platform(), tenant, id, terms, None);
    Ok((request.map_err(validation_error)?, timeout_ms))
}

/// The head of a request, and the address of its client.
struct RequestHead<'a> {
    peer: IpAddr,
    head: &'a Parts,
}

impl RequestHead<'_> {
    /// Returns the class that the path names.
    fn class(&self) -> Option<&str> {
        self.head.uri.path().strip_prefix(REQUEST_PATH_PREFIX)
    }

    /// Returns the request as the operator's rules see it. Invalid headers are absent there; the
    /// client gets the error when the request itself is built.
    fn for_rules<'a>(&'a self, headers: &'a dyn Headers) -> RuleRequest<'a> {
        let head = self.head;
        let header = |name| required_header(&head.headers, name).ok();
        let units =
            header(TERMS).and_then(|list| term_pairs(list).find(|(name, _)| *name == "units"));
        let deadline_ms = header(CLIENT_TIMEOUT_MS).and_then(|ms| ms.parse::<f64>().ok());
        RuleRequest {
            protocol: "http2",
            method: head.method.as_str(),
            path: head.uri.path(),
            query: head.uri.query(),
            host: head.uri.authority().map(|authority| authority.as_str()),
            headers,
            class: self.class(),
            plan: header(PLAN),
            partner: header(TENANT),
            id: header(REQUEST_ID),
            units: units
                .and_then(|(_, units)| units.parse().ok())
                .filter(|units: &f64| units.is_finite()),
            deadline_ms: deadline_ms
                .filter(|ms| (0.0..=MAX_CLIENT_TIMEOUT_MS).contains(ms))
                .map(|ms| ms as i64),
            retry: head.headers.get(RETRY).is_some_and(|r| r == "1"),
            length: header("content-length").and_then(|length| length.parse().ok()),
            client: self.peer,
        }
    }
}

/// A complete body.
struct RequestBody {
    /// The bytes; none if the stream has no body.
    bytes: Option<Vec<u8>>,
}

/// Reads a body that arrives completely within `time_limit`. Returns none if the incomplete requests
/// of all clients take too much memory. The window is opened again only once the body is complete. A
/// connection with many incomplete bodies therefore never holds more memory than one connection
/// window.
async fn read_body(
    dispatcher: &Dispatcher,
    stream: &mut RecvStream,
    time_limit: Duration,
) -> Result<Option<RequestBody>, RequestError> {
    if stream.is_end_stream() {
        return Ok(Some(RequestBody { bytes: None }));
    }
    let budget = dispatcher.incoming_budget();
    if !budget.add(OPEN_STREAM_BYTES) {
        return Ok(None);
    }
    let mut body = Vec::new();
    let read = timeout(time_limit, read_chunks(stream, &mut body, &budget)).await;
    let read = read.unwrap_or(Err(RequestError::Reset(Reason::CANCEL)));
    // On a stream that has ended there is no window to open, so the error is ignored.
    let _ = stream.flow_control().release_capacity(body.len());
    Ok(read?.then_some(RequestBody { bytes: Some(body) }))
}

/// Reads chunks up to the end of the stream. Returns false if the incomplete requests of all clients
/// take too much memory.
async fn read_chunks(
    stream: &mut RecvStream,
    body: &mut Vec<u8>,
    budget: &ByteBudget,
) -> Result<bool, RequestError> {
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|_| RequestError::Reset(Reason::CANCEL))?;
        body.extend_from_slice(&chunk);
        if !budget.add(chunk.len()) && !stream.is_end_stream() {
            return Ok(false);
        }
        if body.len() > MAX_COMPLETE_BODY_BYTES {
            let why = "the body is too long".to_string();
            return Err(RequestError::Status(StatusCode::PAYLOAD_TOO_LARGE, why));
        }
    }
    Ok(true)
}
