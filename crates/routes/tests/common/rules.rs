//! What tests of the rules' meaning share: files of one or a few rules, and requests to them.

use driftgap_routes::{
    Catalog, Effect, Headers, ReadOptions, Request, Route, Router, Rules, Verdict,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

/// Headers by name.
pub struct Map(pub BTreeMap<String, Vec<u8>>);

impl Headers for Map {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(Vec::as_slice)
    }

    fn count(&self) -> usize {
        self.0.len()
    }
}

/// A class of each effect.
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

/// Reads a file; the lines of its faults where it is wrong.
pub fn read(text: &str) -> Result<Rules, Vec<String>> {
    Rules::read(text, "rules.toml", &catalog())
        .map_err(|faults| faults.into_iter().map(|f| f.line).collect())
}

/// Reads a file that replaces the rules of a router.
pub fn read_again(text: &str, router: &Router) -> Rules {
    let options = ReadOptions {
        previous: Some(router.rules()),
        ..ReadOptions::default()
    };
    Rules::read_table(text, "rules.toml", None, &catalog(), &options).unwrap()
}

/// A router with the rules of a file.
pub fn router(text: &str) -> Router {
    Router::new(read(text).unwrap())
}

/// Headers of these names and values.
pub fn headers(pairs: &[(&str, &str)]) -> Map {
    Map(pairs
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect())
}

/// A request over HTTP/2 of a tenant.
pub fn request<'a>(method: &'a str, path: &'a str, headers: &'a Map) -> Request<'a> {
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

/// A rule that maps a request to a class, with these lines changed or added.
pub fn mapping(when: &str, class: &str, more: &str) -> String {
    format!(
        "[[rule]]\nname = 'r'\nwhen = '''{when}'''\nclass = '''{class}'''\nplan = '\"city\"'\n\
         partner = '\"0000000000000007\"'\n{more}\n"
    )
}

/// Keeps the units that a client names.
pub const UNITS: &str = "units = 'request.units.orValue(1.0)'";

/// The route of a request that is served.
pub fn go(verdict: Verdict) -> Route {
    match verdict {
        Verdict::Forward(route) => *route,
        other => panic!("{other:?}"),
    }
}
