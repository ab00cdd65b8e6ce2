//! The operator's rules in the ingress: from their file to a router, from a request of either wire to what rules
//! see, from what they say to a request. It owns the turn between `driftgap_routes` and the core's terms. It
//! must never decide where a request belongs (the rules do), whom to serve (the module does), or let a rule
//! touch what the platform's protocol says of a request.

pub mod reload;

use crate::config::operator_file::OperatorFile;
use crate::config::settings::Platform;
use crate::decision::Idempotency;
use crate::request::{ClientRequest, InvalidRequest};
use driftgap_routes::{
    Catalog, Effect as RuleEffect, Fault, Headers, Mapped, ReadOptions, Request, Rules,
};
use http::HeaderMap;
use std::net::IpAddr;
use std::path::PathBuf;

/// The part of the memory that rules may take where there are any: the file's text, the rules in force and those that
/// a reload compiles anew, all together. Requests share what is left.
pub const MEMORY_SHARE: f64 = 0.25;

/// Where rules are read from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Source {
    path: PathBuf,
    /// The table of the file that holds them; none: the file holds nothing else.
    part: Option<&'static str>,
    /// Bytes that the file's text, the rules in force and those that are compiled anew may take together.
    max_bytes: usize,
}

impl Source {
    /// The operator's rules, if there are any, for an ingress with so much memory.
    pub fn of(operator: &OperatorFile, memory_mb: f64) -> Option<Source> {
        let routes = operator.routes.as_ref()?;
        let (path, part) = match &routes.file {
            Some(file) => (operator.folder.join(file), None),
            None => (operator.path.clone(), Some("routes")),
        };
        Some(Source {
            path,
            part,
            max_bytes: max_bytes(memory_mb),
        })
    }

    /// A file of rules by itself, for an ingress with so much memory.
    pub fn file(path: PathBuf, memory_mb: f64) -> Source {
        Source {
            path,
            part: None,
            max_bytes: max_bytes(memory_mb),
        }
    }

    /// Bytes that rules may take while they are read.
    pub fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Reads them.
    ///
    /// # Errors
    /// Every fault of theirs.
    pub fn read(&self, platform: &Platform) -> Result<Rules, Vec<Fault>> {
        self.judge(&self.text()?, &catalog(platform), None)
    }

    /// The file's text.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn text(&self) -> Result<String, Vec<Fault>> {
        std::fs::read_to_string(&self.path).map_err(|e| {
            let line = format!("{}: {e}", self.path.display());
            vec![Fault {
                shown: line.clone(),
                line,
            }]
        })
    }

    /// Rules by their text; those that are in force already are taken over.
    ///
    /// # Errors
    /// Every fault of theirs.
    pub fn judge(
        &self,
        text: &str,
        catalog: &Catalog,
        previous: Option<&Rules>,
    ) -> Result<Rules, Vec<Fault>> {
        let file = self.path.display().to_string();
        let options = ReadOptions {
            previous,
            max_bytes: self.max_bytes,
        };
        Rules::read_part(text, &file, self.part, catalog, &options)
    }
}

/// Bytes that rules may take, out of so much memory for the ingress.
fn max_bytes(memory_mb: f64) -> usize {
    (memory_mb * 1e6 * MEMORY_SHARE) as usize
}

/// What rules are judged by.
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

/// A request of the platform's wire as rules see it; `path` is [`path`]'s.
pub fn request_of<'a>(
    platform: &'a Platform,
    request: &'a ClientRequest,
    path: &'a str,
    headers: &'a dyn Headers,
    client: IpAddr,
) -> Request<'a> {
    let ask = &request.ask;
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
        retry: ask.repeat,
        length: request.body.as_ref().map(|body| body.len() as i64),
        client,
    }
}

/// The path that a request has on every wire.
pub fn path(platform: &Platform, request: &ClientRequest) -> String {
    format!(
        "{}{}",
        driftgap_routes::COMMANDS,
        platform.classes[request.ask.class]
    )
}

/// The headers of an HTTP/2 request.
pub struct HeaderView<'a>(pub &'a HeaderMap);

impl Headers for HeaderView<'_> {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(http::HeaderValue::as_bytes)
    }

    fn count(&self) -> usize {
        self.0.len()
    }
}

/// The request that a rule has made of a request. What neither names is taken so that it holds for every
/// ingress: all of them may be the tenant's, and the class's deadline is how long its client waits.
///
/// # Errors
/// The value that makes no sense.
pub fn request(
    platform: &Platform,
    mapped: Mapped,
    request: &Request<'_>,
    generate_request_id: impl FnOnce() -> String,
) -> Result<ClientRequest, InvalidRequest> {
    let set = &platform.decision;
    let said = |ours: Option<String>, theirs: Option<&str>, name| {
        ours.or_else(|| theirs.map(str::to_string))
            .ok_or(InvalidRequest::Term(name))
    };
    let plan = said(mapped.plan, request.plan, "plan")?;
    let tenant = said(mapped.partner, request.partner, "customer")?;
    let units = mapped
        .units
        .or(request.units)
        .ok_or(InvalidRequest::Term("units"))?;
    let id = mapped
        .id
        .or_else(|| request.id.map(str::to_string))
        .unwrap_or_else(generate_request_id);
    let longest = (1e3 * set.classes[mapped.class].deadline) as i64;
    let deadline = mapped
        .deadline_ms
        .or(request.deadline_ms)
        .unwrap_or(longest);
    // Guards the platform's wire, on which a comma would begin a further term.
    if plan.contains(',') {
        return Err(InvalidRequest::Term("plan"));
    }
    let spread = mapped.spread.unwrap_or(i64::from(set.ingresses));
    let first = mapped.first.unwrap_or(0);
    let class = &platform.classes[mapped.class];
    let mut terms =
        format!("c={class},t={plan},d={deadline},units={units},spread={spread},first={first}");
    if request.retry {
        terms.push_str(",r=1");
    }
    for (name, value) in &mapped.terms {
        terms.extend([",", name, "=", value]);
    }
    ClientRequest::new(platform, &tenant, &id, terms, None)
}

#[cfg(test)]
mod tests {
    use super::*;
    use driftgap_routes::NoHeaders;

    const SETTINGS: &str = include_str!("../../tests/stage/settings.json");

    fn platform() -> Platform {
        let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
        crate::config::settings::Config::parse(&config)
            .unwrap()
            .platform
    }

    #[test]
    fn what_a_rule_leaves_out_is_the_clients_or_holds_everywhere() {
        let platform = platform();
        let list = "c=fetch-episode,t=city,d=900,units=2,spread=1,first=0".to_string();
        let own = ClientRequest::new(&platform, "0000000000000007", "k1", list, None).unwrap();
        let path = path(&platform, &own);
        let seen = request_of(
            &platform,
            &own,
            &path,
            &NoHeaders,
            IpAddr::from([127, 0, 0, 1]),
        );
        assert_eq!(
            (seen.path, seen.method, seen.units),
            ("/commands/fetch-episode", "GET", Some(2.0))
        );
        let class = own.ask.class;
        let mapped = Mapped {
            class,
            units: Some(1.5),
            terms: vec![("episode".into(), "7".into())],
            ..Mapped::default()
        };
        let made = request(&platform, mapped.clone(), &seen, || "fresh".into()).unwrap();
        assert_eq!(
            (made.ask.units, &*made.id, made.client_timeout_ms),
            (1.5, "k1", 900.0)
        );
        assert!(made.terms.ends_with(",episode=7"), "{}", made.terms);
        let anonymous = Request {
            id: None,
            deadline_ms: None,
            partner: None,
            ..seen
        };
        let made = |mapped| request(&platform, mapped, &anonymous, || "fresh".into());
        assert_eq!(made(mapped.clone()), Err(InvalidRequest::Term("customer")));
        let tenant = Some("0000000000000009".to_string());
        let made = made(Mapped {
            partner: tenant,
            ..mapped
        })
        .unwrap();
        let deadline = 1e3 * platform.decision.classes[class].deadline;
        assert_eq!(
            (&*made.id, made.client_timeout_ms, made.ask.tenant),
            ("fresh", deadline, 9)
        );
    }
}
