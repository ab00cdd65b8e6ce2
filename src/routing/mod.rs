//! Between the operator's rules (`driftgap_routes`) and the ingress: what rules see of a request, and what becomes of
//! a request that a rule maps.
//!
//! The rules decide where a request belongs, and the decision module whom to serve; nothing here does. No rule can
//! change what the platform's protocol says of a request.

pub mod reload;
mod source;

pub use source::{RuleSource, RULE_MEMORY_SHARE};

use crate::config::settings::Platform;
use crate::decision::Idempotency;
use crate::request::{ClientRequest, InvalidRequest};
use driftgap_routes::{Catalog, Effect as RuleEffect, Headers, Mapped, Request};
use http::HeaderMap;
use std::net::IpAddr;

/// What rules may name: the classes with their idempotency, the plans, and the most units of a request.
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

/// A request of the platform's protocol as rules see it; `path` is [`request_path`]'s.
pub fn rule_request<'a>(
    platform: &'a Platform,
    request: &'a ClientRequest,
    path: &'a str,
    headers: &'a dyn Headers,
    client: IpAddr,
) -> Request<'a> {
    let ask = &request.attributes;
    let safe = platform.decision.classes[ask.class].idempotency == Idempotency::Safe;
    Request {
        protocol: "resp",
        method: if safe { "GET" } else { "POST" },
        path,
        query: None,
        host: None,
        headers,
        class: Some(&platform.classes[ask.class]),
        plan: Some(&platform.plans[ask.plan]),
        partner: Some(&request.tenant),
        id: Some(&request.id),
        units: Some(ask.units),
        deadline_ms: Some(request.client_timeout_ms as i64),
        retry: ask.is_retry,
        length: request.body.as_ref().map(|body| body.len() as i64),
        client,
    }
}

/// The path that a request has over HTTP/2, and that rules see whatever protocol it came by.
pub fn request_path(platform: &Platform, request: &ClientRequest) -> String {
    format!(
        "{}{}",
        driftgap_routes::COMMANDS,
        platform.classes[request.attributes.class]
    )
}

/// The headers of an HTTP/2 request, as rules see them.
pub struct HeaderView<'a>(pub &'a HeaderMap);

impl Headers for HeaderView<'_> {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(http::HeaderValue::as_bytes)
    }

    fn count(&self) -> usize {
        self.0.len()
    }
}

/// The request that a rule has made of `seen`. What neither the rule nor the client names is taken so that it holds at
/// every ingress: the tenant's quota may be spent at all of them, and the client waits for the class's deadline.
///
/// # Errors
/// The value that is missing or makes no sense.
pub fn mapped_request(
    platform: &Platform,
    mapped: Mapped,
    seen: &Request<'_>,
    generate_request_id: impl FnOnce() -> String,
) -> Result<ClientRequest, InvalidRequest> {
    let plan = required(mapped.plan, seen.plan, "plan")?;
    let tenant = required(mapped.partner, seen.partner, "customer")?;
    let units = mapped
        .units
        .or(seen.units)
        .ok_or(InvalidRequest::Term("units"))?;
    let id = mapped
        .id
        .or_else(|| seen.id.map(str::to_string))
        .unwrap_or_else(generate_request_id);
    let decision = &platform.decision;
    let class_deadline_ms = (1e3 * decision.classes[mapped.class].deadline) as i64;
    let deadline_ms = mapped
        .deadline_ms
        .or(seen.deadline_ms)
        .unwrap_or(class_deadline_ms);
    // Guards the platform's protocol: behind a comma would be a further term.
    if plan.contains(',') {
        return Err(InvalidRequest::Term("plan"));
    }
    let class = &platform.classes[mapped.class];
    let spread = mapped.spread.unwrap_or(i64::from(decision.ingresses));
    let first = mapped.first.unwrap_or(0);
    let mut terms =
        format!("c={class},t={plan},d={deadline_ms},units={units},spread={spread},first={first}");
    if seen.retry {
        terms.push_str(",r=1");
    }
    for (name, value) in &mapped.terms {
        terms.extend([",", name, "=", value]);
    }
    ClientRequest::new(platform, &tenant, &id, terms, None)
}

/// A text that the rule sets, or else the client names.
fn required(
    mapped: Option<String>,
    named: Option<&str>,
    name: &'static str,
) -> Result<String, InvalidRequest> {
    mapped
        .or_else(|| named.map(str::to_string))
        .ok_or(InvalidRequest::Term(name))
}

#[cfg(test)]
mod tests;
