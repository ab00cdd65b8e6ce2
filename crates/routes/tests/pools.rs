//! Pools of endpoints: their members, where their requests go without a ready endpoint, and the
//! effect of a reload.

mod common;

use common::rules::{forwarded_route, headers, read, request, router, HeaderMap};
use driftgap_routes::{Endpoint, PoolBitsExhausted, Router, Rules, Verdict, ALL};
use std::net::IpAddr;

const POOLS: &str = r#"
[[pool]]
name = "dar"
when = 'instance.zone == "dar" && instance.labels["disk"].orValue("") != "slow"'
fallback = "coast"
[[pool]]
name = "coast"
when = 'instance.zone in ["dar", "tanga"]'
[[pool]]
name = "big"
when = 'instance.weight >= 2.0 || instance.ip.inCidr("10.9.0.0/16")'
fallback = "any"
after = "3s"
[[rule]]
name = "to-dar"
when = 'request.headers["x-station"].orValue("") == "dar"'
pool = '"dar"'
[[rule]]
name = "to-big"
when = 'request.path == "/big"'
pool = '"big"'
"#;

#[test]
fn endpoints_belong_to_pools_by_attributes() {
    let mut router = router(POOLS);
    let slow = [("disk".to_string(), "slow".to_string())];
    let mut bits = |zone: &str, weight: f64, labels: &[(String, String)]| {
        let ip = IpAddr::from([10, 0, 0, 1]);
        router.pools_of(&Endpoint {
            name: "n",
            zone,
            cell: 1,
            weight,
            protocol: "resp",
            ip,
            labels,
        })
    };
    assert_eq!(bits("dar", 1.0, &[]), ALL | 0b011);
    assert_eq!(bits("dar", 1.0, &slow), ALL | 0b010);
    assert_eq!(bits("tanga", 2.0, &[]), ALL | 0b110);
    assert_eq!(bits("mbeya", 1.0, &[]), ALL);
}

/// No endpoint of a pool is ready. Its requests must go to the configured fallback or be rejected
/// with a Retry-After, and never to endpoints that the operator did not configure.
#[test]
fn pool_without_ready_endpoint_uses_its_fallback() {
    let mut router = router(POOLS);
    let station = headers(&[("x-station", "dar")]);
    let none = headers(&[]);
    let mut pools = |ready: &[u64], headers: &HeaderMap, path: &str| {
        router.count_ready(ready.iter().copied());
        match router.route(&request("GET", path, headers), 0.0) {
            Verdict::Forward(route) => Ok(route.pools),
            Verdict::Reject { retry_after_ms, by } => Err((retry_after_ms, by)),
            bad => panic!("{bad:?}"),
        }
    };
    assert_eq!(pools(&[ALL | 0b011, ALL], &station, "/"), Ok(0b001));
    assert_eq!(
        pools(&[ALL | 0b010, ALL], &station, "/"),
        Ok(0b010),
        "uses the fallback pool"
    );
    assert_eq!(
        pools(&[ALL], &station, "/"),
        Err((1000.0, "coast".into())),
        "rejected instead of using other endpoints"
    );
    assert_eq!(
        pools(&[ALL], &none, "/big"),
        Ok(ALL),
        "the fallback is any endpoint"
    );
    assert_eq!(
        pools(&[], &none, "/"),
        Ok(ALL),
        "without a matching rule any endpoint may serve"
    );
}

/// Two pools fall back on each other. Without a ready endpoint in either, a request would be passed
/// between them without end, so the file must be refused.
#[test]
fn fallback_cycle_is_refused() {
    let cycle =
        "[[pool]]\nname='a'\nwhen='true'\nfallback='b'\n[[pool]]\nname='b'\nwhen='true'\nfallback='a'\n";
    assert!(read(cycle)
        .unwrap_err()
        .iter()
        .all(|f| f.contains("falls back on itself")));
}

/// Creates rules with these pools, each with the endpoints of the zone of its name, and one rule
/// that sends every request to the first pool.
fn zone_pools(names: &[String]) -> Rules {
    let pool = |name: &String| {
        format!("[[pool]]\nname = '{name}'\nwhen = 'instance.zone == \"{name}\"'\n")
    };
    let first = &names[0];
    let rule = format!("[[rule]]\nname = 'r'\npool = '\"{first}\"'\n");
    read(&(names.iter().map(pool).collect::<String>() + &rule)).unwrap()
}

/// Names of pools.
fn names(names: &[&str]) -> Vec<String> {
    names.iter().map(ToString::to_string).collect()
}

/// An endpoint in a zone.
fn endpoint(zone: &str) -> Endpoint<'_> {
    Endpoint {
        name: "n",
        zone,
        cell: 1,
        weight: 1.0,
        protocol: "resp",
        ip: IpAddr::from([10, 0, 0, 1]),
        labels: &[],
    }
}

/// Rules are replaced while requests are in flight that may be retried within their pool. The bit
/// of a removed pool must not be reassigned until the longest deadline has passed, or a retry would
/// reach endpoints that the rule did not allow.
#[test]
fn removed_pool_keeps_its_bit_until_requests_end() {
    let none = headers(&[]);
    let mut router = Router::new(zone_pools(&names(&["dar", "tanga"])));
    let chosen = |router: &mut Router, zone: &'static str| {
        let bits = router.pools_of(&endpoint(zone));
        router.count_ready([bits].into_iter());
        (
            forwarded_route(router.route(&request("GET", "/", &none), 0.0)).pools,
            bits,
        )
    };
    let (dar, of_dar) = chosen(&mut router, "dar");
    assert_eq!(dar & of_dar, dar);
    // Another order and one pool less: remaining pools keep their bits, and the removed pool keeps
    // its bit while it may be needed.
    drop(
        router
            .replace(zone_pools(&names(&["mbeya", "dar"])), 1000.0, 3000.0)
            .unwrap(),
    );
    assert_eq!(router.pools_of(&endpoint("dar")) & dar, dar);
    let tanga = router.pools_of(&endpoint("tanga")) & !ALL;
    let (mbeya, _) = chosen(&mut router, "mbeya");
    assert!(tanga != 0 && mbeya & (dar | tanga) == 0);
    drop(
        router
            .replace(zone_pools(&names(&["mbeya", "dar"])), 4001.0, 3000.0)
            .unwrap(),
    );
    assert_eq!(router.pools_of(&endpoint("tanga")), ALL);
}

/// A file with other pools is loaded within the longest deadline after the previous file. There are
/// not enough bits for the pools of both, so the new rules must be refused and the old ones stay in
/// force.
#[test]
fn rules_are_refused_while_too_many_pool_bits_are_reserved() {
    let numbered =
        |prefix: &str| -> Vec<String> { (0..40).map(|i| format!("{prefix}{i}")).collect() };
    let mut router = Router::new(zone_pools(&names(&["dar", "tanga"])));
    for now in [1000.0, 4001.0] {
        let rules = zone_pools(&names(&["mbeya", "dar"]));
        drop(router.replace(rules, now, 3000.0).unwrap());
    }
    let first = zone_pools(&numbered("z"));
    drop(router.replace(first, 5000.0, 3000.0).unwrap());
    let second = zone_pools(&numbered("y"));
    assert_eq!(
        router.replace(second, 5001.0, 3000.0).err(),
        Some(PoolBitsExhausted)
    );
    assert_eq!(
        router.pools_of(&endpoint("z7")).count_ones(),
        2,
        "the old rules stay in force"
    );
}
