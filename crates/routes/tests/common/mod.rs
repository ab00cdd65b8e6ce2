//! Helpers for tests of large and changing files.
#![allow(dead_code)] // Each test file uses a part of it.

pub mod rules;

use driftgap_routes::{Catalog, Effect, NoHeaders, ReadOptions, Request, Rules};
use std::net::IpAddr;

pub fn catalog() -> Catalog {
    Catalog {
        classes: vec![
            ("fetch-episode".into(), Effect::Pure),
            ("book-rebroadcast".into(), Effect::SideEffect),
        ],
        plans: vec!["district".into(), "city".into()],
        max_units: 4.0,
    }
}

/// Two pools, which form the head of a file.
pub const POOLS: &str = "[[pool]]\nname = 'dar'\nwhen = 'instance.zone == \"dar\"'\n\
                         [[pool]]\nname = 'tanga'\nwhen = 'instance.zone == \"tanga\"'\nfallback = 'dar'\n";

/// Returns a rule that sends requests below one path to a pool.
pub fn route(number: usize) -> String {
    let pool = if number.is_multiple_of(2) {
        "dar"
    } else {
        "tanga"
    };
    format!(
        "[[rule]]\nname = 'route-{number}'\n\
         when = 'request.method == \"GET\" && request.path.startsWith(\"/programmes/{number}/\")'\n\
         pool = '\"{pool}\"'\n\n"
    )
}

/// Returns a rule that maps requests for one path to a class.
pub fn mapping(number: usize) -> String {
    format!(
        "[[rule]]\nname = 'map-{number}'\n\
         when = 'request.method == \"GET\" && request.path == \"/episodes/{number}/audio\"'\n\
         class = '\"fetch-episode\"'\nplan = '\"city\"'\npartner = 'request.partner.orValue(\"p\")'\n\
         units = 'request.units.orValue(1.0)'\nid = '\"e{number}\"'\n\n"
    )
}

/// Returns a file with `count` routes.
pub fn routes(count: usize) -> String {
    let rules = (0..count).map(route);
    [POOLS.to_string()].into_iter().chain(rules).collect()
}

pub fn request(path: &str) -> Request<'_> {
    Request {
        protocol: "http2",
        method: "GET",
        path,
        query: None,
        host: None,
        headers: &NoHeaders,
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

/// Reads a file with the rules in force as the previous ones. Returns the lines of its faults if it
/// is faulty.
pub fn read_with_previous(text: &str, previous: Option<&Rules>) -> Result<Rules, Vec<String>> {
    let options = ReadOptions {
        previous,
        ..ReadOptions::default()
    };
    read_with_options(text, &options)
}

/// Reads a file with these options. Returns the lines of its faults if it is faulty.
pub fn read_with_options(text: &str, options: &ReadOptions<'_>) -> Result<Rules, Vec<String>> {
    let read = Rules::read_table(text, "rules.toml", None, &catalog(), options);
    read.map_err(|faults| faults.into_iter().map(|fault| fault.line).collect())
}
