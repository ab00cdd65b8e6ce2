//! Connects the operator's rules (`driftgap_routes`) with the ingress: the rules' view of a
//! request, and the request that results when a rule maps one.
//!
//! Rules select the endpoints that a request may use; the decision module selects the requests to
//! serve. This module does neither. No rule can override the terms that the platform's protocol
//! defines.

pub mod reload;
mod source;

pub use source::{RuleSource, RULE_MEMORY_SHARE};

use crate::config::settings::Platform;
use crate::decision::Idempotency;
use crate::request::{ClientRequest, InvalidRequest};
use driftgap_routes::{Catalog, Effect as RuleEffect, Headers, Mapped, Request};
use http::HeaderMap;
use std::net::IpAddr;

/// The names that rules may use: classes with their idempotency, and plans; also the upper bound of
/// a request's units.
pub fn catalog(platform: &Platform) -> Catalog {
    let effect = |effect| match effect {
        Idempotency::Safe => RuleEffect::Pure,
        Idempotency::Keyed => RuleEffect::Token,
        Idempotency::Unsafe => RuleEffect::SideEffect,
    };
    let effects = platform
        .decision
        .classes
        .iter()
        .map(|class| effect(class.idempotency));
    Catalog {
        classes: platform.classes.iter().cloned().zip(effects).collect(),
        plans: platform.plans.clone(),
        max_units: platform.decision.max_units,
    }
}

/// The rules' view of a request of the platform's protocol; `path` is the result of
/// [`request_path`].
pub fn rule_request<'a>(
    platform: &'a Platform,
    request: &'a ClientRequest,
    path: &'a str,
    headers: &'a dyn Headers,
    client: IpAddr,
) -> Request<'a> {
    let attributes = &request.attributes;
    let safe = platform.decision.classes[attributes.class].idempotency == Idempotency::Safe;
    Request {
        protocol: "resp",
        method: if safe { "GET" } else { "POST" },
        path,
        query: None,
        host: None,
        headers,
        class: Some(&platform.classes[attributes.class]),
        plan: Some(&platform.plans[attributes.plan]),
        partner: Some(&request.tenant),
        id: Some(&request.id),
        units: Some(attributes.units),
        deadline_ms: Some(request.client_timeout_ms as i64),
        retry: attributes.is_retry,
        length: request.body.as_ref().map(|body| body.len() as i64),
        client,
    }
}

/// The path of a request over HTTP/2. Rules see this path whichever protocol the request came by.
pub fn request_path(platform: &Platform, request: &ClientRequest) -> String {
    format!(
        "{}{}",
        driftgap_routes::COMMANDS,
        platform.classes[request.attributes.class]
    )
}

/// The rules' view of the headers of an HTTP/2 request.
pub struct HeaderView<'a>(pub &'a HeaderMap);

impl Headers for HeaderView<'_> {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(http::HeaderValue::as_bytes)
    }

    fn count(&self) -> usize {
        self.0.len()
    }
}

/// Builds the client request to which a rule maps `rule_view`. Values that neither the rule nor the
/// client sets have defaults that are valid at every ingress: the tenant's quota may be spent at
/// all ingresses, and the client waits for the deadline of the class.
///
/// # Errors
/// A value that is missing or invalid.
pub fn mapped_request(
    platform: &Platform,
    mapped: Mapped,
    rule_view: &Request<'_>,
    generate_request_id: impl FnOnce() -> String,
) -> Result<ClientRequest, InvalidRequest> {
    let plan = required(mapped.plan, rule_view.plan, "plan")?;
    let tenant = required(mapped.partner, rule_view.partner, "customer")?;
    let units = mapped
        .units
        .or(rule_view.units)
        .ok_or(InvalidRequest::Term("units"))?;
    let id = mapped
        .id
        .or_else(|| rule_view.id.map(str::to_string))
        .unwrap_or_else(generate_request_id);
    let decision = &platform.decision;
    let class_deadline_ms = (1e3 * decision.classes[mapped.class].deadline) as i64;
    let deadline_ms = mapped
        .deadline_ms
        .or(rule_view.deadline_ms)
        .unwrap_or(class_deadline_ms);
    // A comma would start another term of the platform's protocol.
    if plan.contains(',') {
        return Err(InvalidRequest::Term("plan"));
    }
    let class = &platform.classes[mapped.class];
    let spread = mapped.spread.unwrap_or(i64::from(decision.ingresses));
    let first = mapped.first.unwrap_or(0);
    let mut terms =
        format!("c={class},t={plan},d={deadline_ms},units={units},spread={spread},first={first}");
    if rule_view.retry {
        terms.push_str(",r=1");
    }
    for (name, value) in &mapped.terms {
        terms.extend([",", name, "=", value]);
    }
    ClientRequest::new(platform, &tenant, &id, terms, None)
}

/// The value that the rule sets, or else the client's.
fn required(
    rule_value: Option<String>,
    client_value: Option<&str>,
    name: &'static str,
) -> Result<String, InvalidRequest> {
    rule_value
        .or_else(|| client_value.map(str::to_string))
        .ok_or(InvalidRequest::Term(name))
}

#[cfg(test)]
mod tests;
