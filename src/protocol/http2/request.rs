//! Converts a client's headers to the terms of the platform's protocol, and terms to headers for an
//! endpoint.

use crate::config::settings::Platform;
use crate::decision::Idempotency;
use crate::protocol::http2::headers::{
    CLIENT_TIMEOUT_MS, IDEMPOTENCY_KEY, NOTE_PREFIX, PLAN, REQUEST_ID, REQUEST_PATH_PREFIX, RETRY,
    TENANT, TERMS,
};
use crate::protocol::wire_names;
use crate::request::{term_pairs, ClientRequest, MAX_CLIENT_TIMEOUT_MS};
use http::{HeaderMap, Method, Request};

/// Terms that have a header of their own.
const TERMS_WITH_HEADER: [&str; 5] = [
    wire_names::CLASS,
    wire_names::PLAN,
    wire_names::CLIENT_TIMEOUT_MS,
    wire_names::RETRY,
    wire_names::IDEMPOTENCY_KEY,
];

/// A missing or invalid header, by its name. The client receives the error text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidHeader {
    /// A required header is missing.
    #[error("{0} is missing")]
    Missing(&'static str),
    /// The value is not visible ASCII.
    #[error("{0} is not text")]
    NotText(&'static str),
    /// The value is not a number.
    #[error("{0} is not a number")]
    NotANumber(&'static str),
    /// The number is negative or too large.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
    /// The value contains a comma, which would start a further term in the platform's protocol.
    #[error("{0} holds a comma")]
    Comma(&'static str),
}

/// Name in the error for a comma in the class, the plan or the timeout, which are checked together.
const ANY_VALUE: &str = "a value";

/// Returns the text of a required header.
///
/// # Errors
/// The header is missing or not text.
pub fn required_header<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<&'a str, InvalidHeader> {
    let value = headers.get(name).ok_or(InvalidHeader::Missing(name))?;
    value.to_str().map_err(|_| InvalidHeader::NotText(name))
}

/// Builds the terms of a request from its headers. Also returns the client's timeout, ms.
///
/// # Errors
/// Returns the first invalid header.
pub fn request_terms(headers: &HeaderMap, class: &str) -> Result<(String, f64), InvalidHeader> {
    let deadline = required_header(headers, CLIENT_TIMEOUT_MS)?;
    let plan = required_header(headers, PLAN)?;
    let client_timeout_ms = client_timeout_ms(deadline)?;
    if [class, plan, deadline].iter().any(|v| v.contains(',')) {
        return Err(InvalidHeader::Comma(ANY_VALUE));
    }
    let mut request_terms = String::new();
    push_term(&mut request_terms, wire_names::CLASS, class);
    push_term(&mut request_terms, wire_names::PLAN, plan);
    push_term(&mut request_terms, wire_names::CLIENT_TIMEOUT_MS, deadline);
    // The key may also be given among the terms. A key in both places is kept twice, so that
    // validation rejects it.
    let is_copied =
        |name: &str| name == wire_names::IDEMPOTENCY_KEY || !TERMS_WITH_HEADER.contains(&name);
    for (name, value) in
        term_pairs(required_header(headers, TERMS)?).filter(|(name, _)| is_copied(name))
    {
        push_term(&mut request_terms, name, value);
    }
    for key in headers.get_all(IDEMPOTENCY_KEY) {
        let key = key.to_str().unwrap_or("");
        if key.contains(',') {
            return Err(InvalidHeader::Comma(IDEMPOTENCY_KEY));
        }
        push_term(&mut request_terms, wire_names::IDEMPOTENCY_KEY, key);
    }
    if headers
        .get(RETRY)
        .is_some_and(|r| r == wire_names::RETRY_YES)
    {
        push_term(&mut request_terms, wire_names::RETRY, wire_names::RETRY_YES);
    }
    Ok((request_terms, client_timeout_ms))
}

/// Builds the request to an endpoint; `wait_ms` is how long this ingress will wait for the answer.
///
/// # Errors
/// A value is not valid in a header.
pub fn upstream_request(
    platform: &Platform,
    request: &ClientRequest,
    wait_ms: f64,
) -> Result<Request<()>, http::Error> {
    let class = &platform.classes[request.attributes.class];
    let mut builder = Request::builder()
        .method(method(platform, request))
        .uri(format!("http://instance{REQUEST_PATH_PREFIX}{class}"))
        .header(TENANT, &request.tenant)
        .header(REQUEST_ID, &request.id)
        .header(PLAN, &platform.plans[request.attributes.plan])
        .header(CLIENT_TIMEOUT_MS, wait_ms.max(1.0) as u64)
        .header(TERMS, terms_without_header(&request.terms));
    let key = term_pairs(&request.terms).find(|(name, _)| *name == wire_names::IDEMPOTENCY_KEY);
    if let Some((_, key)) = key {
        builder = builder.header(IDEMPOTENCY_KEY, key);
    }
    if request.attributes.is_retry {
        builder = builder.header(RETRY, wire_names::RETRY_YES);
    }
    for (name, value) in &request.notes {
        builder = builder.header(format!("{NOTE_PREFIX}{name}"), value);
    }
    builder.body(())
}

fn client_timeout_ms(deadline: &str) -> Result<f64, InvalidHeader> {
    let timeout_ms: f64 = deadline
        .parse()
        .map_err(|_| InvalidHeader::NotANumber(CLIENT_TIMEOUT_MS))?;
    if !(0.0..=MAX_CLIENT_TIMEOUT_MS).contains(&timeout_ms) {
        return Err(InvalidHeader::OutOfRange(CLIENT_TIMEOUT_MS));
    }
    Ok(timeout_ms)
}

fn push_term(request_terms: &mut String, name: &str, value: &str) {
    let comma = if request_terms.is_empty() { "" } else { "," };
    request_terms.extend([comma, name, "=", value]);
}

fn method(platform: &Platform, request: &ClientRequest) -> Method {
    let class = &platform.decision.classes[request.attributes.class];
    if class.idempotency == Idempotency::Safe && request.body.is_none() {
        Method::GET
    } else {
        Method::POST
    }
}

fn terms_without_header(client_terms: &str) -> String {
    let mut request_terms = String::with_capacity(client_terms.len());
    for (name, value) in
        term_pairs(client_terms).filter(|(name, _)| !TERMS_WITH_HEADER.contains(name))
    {
        push_term(&mut request_terms, name, value);
    }
    request_terms
}
