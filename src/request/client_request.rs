//! A client's request, free of any wire: its parts, the bounds on them, and which values are refused and why.

use crate::config::settings::Platform;
use crate::decision::driver::RequestAttributes;
use crate::decision::{Idempotency, ALL_ENDPOINTS};
use crate::protocol::wire_names;
use crate::request::terms::Terms;

/// Longest id, in bytes: it is kept and forwarded with every attempt.
const MAX_ID_BYTES: usize = 128;
/// Longest list of names and values, in bytes.
const MAX_TERMS_BYTES: usize = 1024;
/// Longest idempotency key, in bytes: endpoints keep it for as long as they know repeats.
const MAX_KEY_BYTES: usize = 64;
/// Digits of a tenant's id, which is written in hexadecimal.
const TENANT_ID_DIGITS: usize = 16;
/// Tenants' ids are numbers below this.
const TENANT_IDS: u64 = 1 << 33;
/// Longest timeout that a client may name, ms: one hour.
pub(crate) const MAX_CLIENT_TIMEOUT_MS: f64 = 3.6e6;
/// Memory that a request takes beside its body, in bytes: its terms, its attempts and the places that refer to it.
const REQUEST_OVERHEAD_BYTES: usize = 512;

/// Terms that may be given once only.
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

/// What a client asks for, free of any wire.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// What decisions rest on: class, plan, tenant, units.
    pub attributes: RequestAttributes,
    /// The tenant as the client wrote it.
    pub tenant: String,
    /// The request's id as the client wrote it.
    pub id: String,
    /// Names and values in the client's order, class, plan and timeout among them: `c=...,t=...`
    /// (see [`wire_names`]).
    pub terms: String,
    /// How long the client waits, ms, counted from its send.
    pub client_timeout_ms: f64,
    /// The body, if there is one.
    pub body: Option<Vec<u8>>,
    /// Notes of the operator's plug-in and rules, forwarded to the endpoint: names and values.
    pub notes: Vec<(String, String)>,
}

/// Why a request cannot be taken. It gets a failed answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidRequest {
    /// A value that is missing or invalid, by its name on the wire.
    #[error("bad {0}")]
    Term(&'static str),
    /// A class that the settings do not name.
    #[error("unknown class")]
    Class,
    /// A plan that the settings do not name.
    #[error("unknown plan")]
    Plan,
}

impl ClientRequest {
    /// Builds a request from the names and values that every wire carries in one form or another.
    ///
    /// # Errors
    /// The first invalid value.
    pub fn new(
        platform: &Platform,
        tenant: &str,
        id: &str,
        terms: String,
        body: Option<Vec<u8>>,
    ) -> Result<ClientRequest, InvalidRequest> {
        let list = readable_terms(id, &terms)?;
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
        request.take_body(platform, body)?;
        Ok(request)
    }

    /// Gives it its body, where that comes later than its head.
    ///
    /// # Errors
    /// A body that its class does not have.
    pub fn take_body(
        &mut self,
        platform: &Platform,
        body: Option<Vec<u8>>,
    ) -> Result<(), InvalidRequest> {
        // Guards the endpoints' grammar, which closes the connection otherwise: a safe request never has a body, any
        // other one never lacks it.
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

    /// Memory that it takes, in bytes, roughly.
    pub(super) fn memory_bytes(&self) -> usize {
        REQUEST_OVERHEAD_BYTES + self.body.as_ref().map_or(0, Vec::len)
    }
}

/// Guards the connections to endpoints: an endpoint closes its connection on what it cannot read, whatever other
/// requests wait there. Only requests that are readable throughout are forwarded.
fn readable_terms<'a>(id: &str, terms: &'a str) -> Result<Terms<'a>, InvalidRequest> {
    let readable = |text: &str, max_bytes| {
        text.len() <= max_bytes && text.bytes().all(|b| b.is_ascii_graphic())
    };
    if !readable(terms, MAX_TERMS_BYTES) {
        return Err(InvalidRequest::Term(wire_names::TERMS));
    }
    let list = Terms::parse(terms).ok_or(InvalidRequest::Term(wire_names::TERMS))?;
    if id.is_empty() || !readable(id, MAX_ID_BYTES) {
        return Err(InvalidRequest::Term(wire_names::REQUEST_ID));
    }
    Ok(list)
}

/// What decisions rest on, from the tenant's id and the terms.
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
    // The parser takes a sign, which no endpoint does.
    let digits = text.len() == TENANT_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16)
        .ok()
        .filter(|id| digits && *id < TENANT_IDS)
}

/// Guards quotas: one request with a million units in a tenant's name would use up all that the tenant has.
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

/// Guards against duplicate execution: what endpoints cannot know again by its key must not be repeated, so a
/// request of a keyed class without a key is not taken at all.
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

/// Guards the quota: where a term stands twice, an endpoint could read other units or another class than this
/// ingress did.
fn check_unique_terms(terms: &Terms<'_>) -> Result<(), InvalidRequest> {
    if UNIQUE_TERMS.iter().any(|name| terms.count(name) > 1) {
        return Err(InvalidRequest::Term(wire_names::TERMS));
    }
    Ok(())
}
