//! Rules put in force in place of others: what endpoints must be told anew, and how long it takes.

use driftgap_routes::{Catalog, Effect, Endpoint, ReadOptions, Router, Rules};
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Rules of the largest file that there has to be room for.
const LARGE: usize = 63_000;
/// Bytes that reading it may take here.
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

/// A pool of the endpoints in one zone.
fn pool(name: &str, zone: &str, fallback: &str) -> String {
    format!("[[pool]]\nname = '{name}'\nwhen = 'instance.zone == \"{zone}\"'\nfallback = '{fallback}'\n")
}

/// Tells the router of an endpoint in each zone.
fn tell(router: &mut Router, zones: &[&str]) {
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

/// A reload changes rules and no pools. Testing every endpoint against all pools would hold requests up for nothing.
#[test]
fn endpoints_are_assigned_anew_only_where_there_is_a_new_pool() {
    let first = [pool("x", "north", "refuse"), pool("y", "south", "x")].concat();
    let mut router = Router::new(read(&first, None));
    tell(&mut router, &["north", "south", "south"]);
    assert_eq!(ready(&router), named(&[("x", 1), ("y", 2)]));
    // In another order, with another fallback.
    let turned = [pool("y", "south", "any"), pool("x", "north", "refuse")].concat();
    let replaced = router.replace(read(&turned, None), 0.0, 1000.0).unwrap();
    assert!(!replaced.has_new_pools());
    assert_eq!(ready(&router), named(&[("y", 2), ("x", 1)]));
    // One is gone.
    let replaced = router
        .replace(read(&pool("x", "north", "refuse"), None), 1.0, 1000.0)
        .unwrap();
    assert!(!replaced.has_new_pools());
    assert_eq!(ready(&router), named(&[("x", 1)]));
    // One of the same name takes other endpoints.
    let other = [pool("x", "south", "refuse"), pool("z", "north", "any")].concat();
    let replaced = router.replace(read(&other, None), 2.0, 1000.0).unwrap();
    assert!(replaced.has_new_pools());
    assert_eq!(ready(&router), named(&[("x", 0), ("z", 0)]));
    tell(&mut router, &["north", "south", "south"]);
    assert_eq!(ready(&router), named(&[("x", 2), ("z", 1)]));
}

/// A file of many rules and some pools, whose rule `changed` is like no other's.
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

/// The largest file is replaced while requests wait on the same thread. What takes long, reading and dropping rules, must
/// not be part of it.
#[test]
fn the_largest_file_is_put_in_force_within_a_millisecond() {
    const PUTS: usize = 21;
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
    let mut took: Vec<Duration> = (0..PUTS)
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
        took[PUTS / 2],
        took[PUTS - 1]
    );
    // Not the longest: the machine may run others meanwhile. Half of the puts had no more than this.
    assert!(took[PUTS / 2] < MAX, "{took:?}");
}
