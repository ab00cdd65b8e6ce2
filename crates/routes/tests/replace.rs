//! Replacing the rules in force: when endpoints must be assigned to pools again, and how long it
//! takes.

use driftgap_routes::{Catalog, Effect, Endpoint, ReadOptions, Router, Rules};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Number of rules of the largest supported file.
const LARGE: usize = 63_000;
/// Memory limit for reading that file, in bytes.
const MAX_BYTES: usize = 256 * 1024 * 1024;

fn catalog() -> Catalog {
    let classes = vec![("fetch".to_string(), Effect::Pure)];
    Catalog {
        classes,
        plans: vec!["city".into()],
        max_units: 3.0,
    }
}

fn read(text: &str, previous: Option<&Rules>) -> Rules {
    let options = ReadOptions {
        previous,
        max_bytes: MAX_BYTES,
    };
    Rules::read_table(text, "rules.toml", None, &catalog(), &options).unwrap()
}

/// Returns a pool with the endpoints of one zone.
fn pool(name: &str, zone: &str, fallback: &str) -> String {
    format!("[[pool]]\nname = '{name}'\nwhen = 'instance.zone == \"{zone}\"'\nfallback = '{fallback}'\n")
}

/// Assigns one endpoint in each zone to the pools, and counts it as ready.
fn assign_endpoints(router: &mut Router, zones: &[&str]) {
    let pools: Vec<u64> = zones
        .iter()
        .map(|zone| {
            let ip = IpAddr::from([127, 0, 0, 1]);
            let (name, cell, weight, protocol) = ("i", 0, 1.0, "resp");
            router.pools_of(&Endpoint {
                name,
                zone,
                cell,
                weight,
                protocol,
                ip,
                labels: &[],
            })
        })
        .collect();
    router.count_ready(pools.into_iter());
}

fn ready(router: &Router) -> Vec<(String, usize)> {
    router
        .ready_endpoints()
        .map(|(pool, ready)| (pool.to_string(), ready))
        .collect()
}

fn named(counts: &[(&str, usize)]) -> Vec<(String, usize)> {
    counts
        .iter()
        .map(|(pool, ready)| (pool.to_string(), *ready))
        .collect()
}

/// A reload changes rules but no pools. Testing every endpoint against all pools again would delay
/// requests needlessly.
#[test]
fn endpoints_are_reassigned_only_for_new_pools() {
    let first = [pool("x", "north", "refuse"), pool("y", "south", "x")].concat();
    let mut router = Router::new(read(&first, None));
    assign_endpoints(&mut router, &["north", "south", "south"]);
    assert_eq!(ready(&router), named(&[("x", 1), ("y", 2)]));
    // The file has the same pools in another order, one of them with another fallback.
    let reordered = [pool("y", "south", "any"), pool("x", "north", "refuse")].concat();
    let replaced = router.replace(read(&reordered, None), 0.0, 1000.0).unwrap();
    assert!(!replaced.has_new_pools());
    assert_eq!(ready(&router), named(&[("y", 2), ("x", 1)]));
    // One pool is removed.
    let replaced = router
        .replace(read(&pool("x", "north", "refuse"), None), 1.0, 1000.0)
        .unwrap();
    assert!(!replaced.has_new_pools());
    assert_eq!(ready(&router), named(&[("x", 1)]));
    // A pool of the same name has other endpoints.
    let other = [pool("x", "south", "refuse"), pool("z", "north", "any")].concat();
    let replaced = router.replace(read(&other, None), 2.0, 1000.0).unwrap();
    assert!(replaced.has_new_pools());
    assert_eq!(ready(&router), named(&[("x", 0), ("z", 0)]));
    assign_endpoints(&mut router, &["north", "south", "south"]);
    assert_eq!(ready(&router), named(&[("x", 2), ("z", 1)]));
}

/// Returns a file with many rules and some pools, in which the rule `changed` has a different
/// action.
fn large(changed: usize) -> String {
    let pools: String = (0..8)
        .map(|zone| pool(&format!("p{zone}"), &format!("zone-{zone}"), "any"))
        .collect();
    let rule = |number: usize| {
        let retry_after_ms = if number == changed { 200 } else { 100 };
        format!(
            "[[rule]]\nname = 'r{number}'\nwhen = 'request.partner.orValue(\"\") == \"{number:016x}\"'\n\
             nack = 'duration(\"{retry_after_ms}ms\")'\n"
        )
    };
    pools + &(0..LARGE).map(rule).collect::<String>()
}

/// The largest file is replaced while requests wait on the same thread. The slow parts, reading and
/// dropping rules, must not be included.
#[test]
fn largest_file_is_replaced_within_a_millisecond() {
    const REPLACEMENTS: usize = 21;
    const MAX: Duration = Duration::from_millis(1);
    let begun = Instant::now();
    let first = read(&large(usize::MAX), None);
    let read_took = begun.elapsed();
    let begun = Instant::now();
    let second = read(&large(7), Some(&first));
    println!(
        "{LARGE} rules, {} bytes: read in {read_took:?}, one changed: {:?}",
        first.heap_bytes(),
        begun.elapsed()
    );
    let mut router = Router::new(first.clone());
    let mut took: Vec<Duration> = (0..REPLACEMENTS)
        .map(|turn| {
            let next = if turn % 2 == 0 {
                second.clone()
            } else {
                first.clone()
            };
            let begun = Instant::now();
            let replaced = router.replace(next, turn as f64, 1000.0).unwrap();
            let took = begun.elapsed();
            assert!(!replaced.has_new_pools());
            took
        })
        .collect();
    took.sort();
    println!(
        "put in force: median {:?}, longest {:?}",
        took[REPLACEMENTS / 2],
        took[REPLACEMENTS - 1]
    );
    // The median is checked rather than the maximum, because other processes may delay single
    // measurements.
    assert!(took[REPLACEMENTS / 2] < MAX, "{took:?}");
}
