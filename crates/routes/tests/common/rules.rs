//! Helpers for tests of what rules do: files of one or a few rules, and requests for them.

use driftgap_routes::{
    Catalog, Effect, Headers, ReadOptions, Request, Route, Router, Rules, Verdict,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Headers by name.
pub struct HeaderMap(pub BTreeMap<String, Vec<u8>>);

impl Headers for HeaderMap {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(Vec::as_slice)
    }

    fn count(&self) -> usize {
        self.0.len()
    }
}

/// Returns a catalog with a class of each effect.
pub fn catalog() -> Catalog {
    let classes = [
        ("fetch-episode", Effect::Pure),
        ("rate-episode", Effect::Token),
        ("book-rebroadcast", Effect::SideEffect),
    ];
    Catalog {
        classes: classes
            .map(|(name, effect)| (name.to_string(), effect))
            .into(),
        plans: vec!["district".into(), "city".into()],
        max_units: 4.0,
    }
}

/// Reads a file. Returns the lines of its faults if it is faulty.
pub fn read(text: &str) -> Result<Rules, Vec<String>> {
    Rules::read(text, "rules.toml", &catalog())
        .map_err(|faults| faults.into_iter().map(|f| f.line).collect())
}

/// Reads a file that will replace the rules of a router.
pub fn read_again(text: &str, router: &Router) -> Rules {
    let options = ReadOptions {
        previous: Some(router.rules()),
        ..ReadOptions::default()
    };
    Rules::read_table(text, "rules.toml", None, &catalog(), &options).unwrap()
}

/// Creates a router with the rules of a file.
pub fn router(text: &str) -> Router {
    Router::new(read(text).unwrap())
}

/// Creates headers with these names and values.
pub fn headers(pairs: &[(&str, &str)]) -> HeaderMap {
    HeaderMap(
        pairs
            .iter()
            .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
            .collect(),
    )
}

/// Creates a request of a tenant over HTTP/2.
pub fn request<'a>(method: &'a str, path: &'a str, headers: &'a HeaderMap) -> Request<'a> {
    Request {
        protocol: "http2",
        method,
        path,
        query: None,
        host: None,
        headers,
        class: None,
        plan: None,
        partner: Some("0000000000000007"),
        id: None,
        units: None,
        deadline_ms: None,
        retry: false,
        length: None,
        client: IpAddr::from([127, 0, 0, 1]),
    }
}

/// Returns a rule that maps a request to a class, with further lines `more`.
pub fn mapping(when: &str, class: &str, more: &str) -> String {
    format!(
        "[[rule]]\nname = 'r'\nwhen = '''{when}'''\nclass = '''{class}'''\nplan = '\"city\"'\n\
         partner = '\"0000000000000007\"'\n{more}\n"
    )
}

/// A line that keeps the units that the client names.
pub const UNITS: &str = "units = 'request.units.orValue(1.0)'";

/// Returns the route of a request that is forwarded.
pub fn forwarded_route(verdict: Verdict) -> Route {
    match verdict {
        Verdict::Forward(route) => *route,
        other => panic!("{other:?}"),
    }
}
