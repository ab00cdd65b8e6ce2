//! A client's request, independent of the protocol: its fields, their bounds, and the validation of
//! its values.

use crate::config::settings::Platform;
use crate::decision::driver::RequestAttributes;
use crate::decision::{Idempotency, ALL_ENDPOINTS};
use crate::protocol::wire_names;
use crate::request::terms::Terms;

/// Longest request id, in bytes. The id is stored and forwarded with every attempt.
const MAX_ID_BYTES: usize = 128;
/// Longest list of terms, in bytes.
const MAX_TERMS_BYTES: usize = 1024;
/// Longest idempotency key, in bytes. Endpoints store the key for the whole idempotency window.
const MAX_KEY_BYTES: usize = 64;
/// Digits of a tenant id, which is written in hexadecimal.
const TENANT_ID_DIGITS: usize = 16;
/// Tenant ids are numbers below this.
const TENANT_ID_LIMIT: u64 = 1 << 33;
/// Longest timeout that a client may request, ms (one hour).
pub(crate) const MAX_CLIENT_TIMEOUT_MS: f64 = 3.6e6;
/// Estimated memory of a request apart from its body, in bytes: terms, attempts and table entries.
const REQUEST_OVERHEAD_BYTES: usize = 512;

/// Terms that may occur only once.
const UNIQUE_TERMS: [&str; 8] = [
    wire_names::CLASS,
    wire_names::PLAN,
    wire_names::CLIENT_TIMEOUT_MS,
    wire_names::RETRY,
    wire_names::IDEMPOTENCY_KEY,
    wire_names::UNITS,
    wire_names::SPREAD,
    wire_names::FIRST_INGRESS,
];

/// A client's request, independent of the protocol that carried it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The inputs of decisions: class, plan, tenant, units and others.
    pub attributes: RequestAttributes,
    /// The tenant id as the client wrote it.
    pub tenant: String,
    /// The request id as the client wrote it.
    pub id: String,
    /// The terms in the client's order, class, plan and timeout included: `c=...,t=...` (see
    /// [`wire_names`]).
    pub terms: String,
    /// The client's timeout, ms, counted from the time when it sent the request.
    pub client_timeout_ms: f64,
    /// The body, if there is one.
    pub body: Option<Vec<u8>>,
    /// Names and values added by the operator's plug-in and rules, forwarded to the endpoint.
    pub notes: Vec<(String, String)>,
}

/// The reason why a request is invalid. The client gets a failed answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A missing or invalid value, identified by its name on the wire.
    #[error("bad {0}")]
    Term(&'static str),
    /// A class that the settings do not define.
    #[error("unknown class")]
    Class,
    /// A plan that the settings do not define.
    #[error("unknown plan")]
    Plan,
}

impl ClientRequest {
    /// Builds a request from the fields that every protocol carries in its own form.
    ///
    /// # Errors
    /// Returns the first invalid value.
    pub fn new(
        platform: &Platform,
        tenant: &str,
        id: &str,
        terms: String,
        body: Option<Vec<u8>>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let list = parse_terms(id, &terms)?;
        let attributes = attributes(platform, tenant, &list)?;
        let client_timeout_ms =
            list.number(wire_names::CLIENT_TIMEOUT_MS, MAX_CLIENT_TIMEOUT_MS)?;
        check_idempotency_key(
            platform.decision.classes[attributes.class].idempotency,
            list.value(wire_names::IDEMPOTENCY_KEY),
        )?;
        check_unique_terms(&list)?;
        let mut request = ClientRequest {
            attributes,
            tenant: tenant.into(),
            id: id.into(),
            terms,
            client_timeout_ms,
            body: None,
            notes: Vec::new(),
        };
        request.set_body(platform, body)?;
        Ok(request)
    }

    /// Sets the body, for protocols in which it arrives after the head.
    ///
    /// # Errors
    /// The class of the request does not permit this body.
    pub fn set_body(
        &mut self,
        platform: &Platform,
        body: Option<Vec<u8>>,
    ) -> Result<(), InvalidRequest> {
        // An endpoint closes its connection on a malformed request: a safe request must not have a
        // body, and any other request must have one, even if it is empty.
        let safe =
            platform.decision.classes[self.attributes.class].idempotency == Idempotency::Safe;
        self.body = match (safe, body) {
            (true, Some(body)) if !body.is_empty() => {
                return Err(InvalidRequest::Term(wire_names::BODY))
            }
            (true, _) => None,
            (false, body) => Some(body.unwrap_or_default()),
        };
        Ok(())
    }

    /// Approximate memory that the request takes, in bytes.
    pub(super) fn memory_bytes(&self) -> usize {
        REQUEST_OVERHEAD_BYTES + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Checks that the id and the terms are printable ASCII within their bounds, and splits the terms.
/// An endpoint closes its connection on a request that it cannot parse, which would also fail other
/// requests waiting on that connection.
fn parse_terms<'a>(id: &str, terms: &'a str) -> Result<Terms<'a>, InvalidRequest> {
    let is_printable = |text: &str, max_bytes| {
        text.len() <= max_bytes && text.bytes().all(|b| b.is_ascii_graphic())
    };
    if !is_printable(terms, MAX_TERMS_BYTES) {
        return Err(InvalidRequest::Term(wire_names::TERMS));
    }
    let list = Terms::parse(terms).ok_or(InvalidRequest::Term(wire_names::TERMS))?;
    if id.is_empty() || !is_printable(id, MAX_ID_BYTES) {
        return Err(InvalidRequest::Term(wire_names::REQUEST_ID));
    }
    Ok(list)
}

/// Builds the inputs of decisions from the tenant id and the terms.
fn attributes(
    platform: &Platform,
    tenant: &str,
    terms: &Terms<'_>,
) -> Result<RequestAttributes, InvalidRequest> {
    let ingresses = f64::from(platform.decision.ingresses);
    let class = terms
        .value(wire_names::CLASS)
        .and_then(|name| platform.classes.iter().position(|class| class == name));
    let plan = terms
        .value(wire_names::PLAN)
        .and_then(|name| platform.plans.iter().position(|plan| plan == name));
    Ok(RequestAttributes {
        class: class.ok_or(InvalidRequest::Class)?,
        plan: plan.ok_or(InvalidRequest::Plan)?,
        tenant: tenant_id(tenant).ok_or(InvalidRequest::Term(wire_names::TENANT))?,
        units: units(terms, platform.decision.max_units)?,
        ingress_count: terms.integer(wire_names::SPREAD, 1.0, ingresses)?,
        first_ingress: terms.integer(wire_names::FIRST_INGRESS, 0.0, ingresses - 1.0)?,
        is_retry: is_retry(terms)?,
        pools: ALL_ENDPOINTS,
    })
}

fn tenant_id(text: &str) -> Option<u64> {
    // `from_str_radix` accepts a sign, which endpoints do not.
    let is_hexadecimal =
        text.len() == TENANT_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|id| is_hexadecimal && *id < TENANT_ID_LIMIT)
}

/// Bounds the units of one request: a single request with a million units would exhaust its
/// tenant's quota.
fn units(terms: &Terms<'_>, max_units: f64) -> Result<f64, InvalidRequest> {
    let units = terms.number(wire_names::UNITS, max_units)?;
    if units > 0.0 {
        Ok(units)
    } else {
        Err(InvalidRequest::Term(wire_names::UNITS))
    }
}

fn is_retry(terms: &Terms<'_>) -> Result<bool, InvalidRequest> {
    match terms.value(wire_names::RETRY) {
        None | Some(wire_names::RETRY_NO) => Ok(false),
        Some(wire_names::RETRY_YES) => Ok(true),
        Some(_) => Err(InvalidRequest::Term(wire_names::RETRY)),
    }
}

/// Rejects a request of a keyed class without a usable key. Endpoints recognize repeats only by the
/// key, so a retry of such a request could run twice.
fn check_idempotency_key(
    idempotency: Idempotency,
    key: Option<&str>,
) -> Result<(), InvalidRequest> {
    let usable = key.is_some_and(|key| (1..=MAX_KEY_BYTES).contains(&key.len()));
    if idempotency == Idempotency::Keyed && !usable {
        return Err(InvalidRequest::Term(wire_names::IDEMPOTENCY_KEY));
    }
    Ok(())
}

/// Rejects repeated terms: given two values, an endpoint could use other units or another class
/// than this ingress did.
fn check_unique_terms(terms: &Terms<'_>) -> Result<(), InvalidRequest> {
    if UNIQUE_TERMS.iter().any(|name| terms.count(name) > 1) {
        return Err(InvalidRequest::Term(wire_names::TERMS));
    }
    Ok(())
}
