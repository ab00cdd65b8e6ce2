//! Pools of endpoints: which endpoints they take, where their requests go without a ready one, and what a reload does
//! to them.

mod common;

use common::rules::{go, headers, read, request, router, Map};
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
fn pools_take_endpoints_by_their_attributes() {
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

/// No endpoint of a pool is ready. Its requests go to the pool that the file names, or are rejected with a time; they
/// never spill silently to endpoints that the operator did not name.
#[test]
fn a_pool_without_a_ready_endpoint_falls_back_as_stated() {
    let mut router = router(POOLS);
    let station = headers(&[("x-station", "dar")]);
    let none = headers(&[]);
    let mut pools = |ready: &[u64], headers: &Map, path: &str| {
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
        "falls back on the coast"
    );
    assert_eq!(
        pools(&[ALL], &station, "/"),
        Err((1000.0, "coast".into())),
        "no silent spill"
    );
    assert_eq!(
        pools(&[ALL], &none, "/big"),
        Ok(ALL),
        "any by the file's word"
    );
    assert_eq!(pools(&[], &none, "/"), Ok(ALL), "no rule, no pool");
}

/// Two pools fall back on each other. With no endpoint ready in either, a request would be passed between them without
/// end, so the file is refused.
#[test]
fn a_cycle_of_fallbacks_is_refused() {
    let ring =
        "[[pool]]\nname='a'\nwhen='true'\nfallback='b'\n[[pool]]\nname='b'\nwhen='true'\nfallback='a'\n";
    assert!(read(ring)
        .unwrap_err()
        .iter()
        .all(|f| f.contains("falls back on itself")));
}

/// A file with these pools, each of the zone of its name, and one rule that sends every request to the first.
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

/// Rules are replaced while requests are in flight that may still be retried within their pool. The bit of a pool that
/// is gone must not mean another pool until the longest deadline has passed, or a retry would reach endpoints that the
/// rule did not allow.
#[test]
fn commands_end_under_the_pools_that_they_began_with() {
    let none = headers(&[]);
    let mut router = Router::new(zone_pools(&names(&["dar", "tanga"])));
    let chosen = |router: &mut Router, zone: &'static str| {
        let bits = router.pools_of(&endpoint(zone));
        router.count_ready([bits].into_iter());
        (
            go(router.route(&request("GET", "/", &none), 0.0)).pools,
            bits,
        )
    };
    let (dar, of_dar) = chosen(&mut router, "dar");
    assert_eq!(dar & of_dar, dar);
    // Another order, and one pool less: the bits stay, those of the one that is gone as long as it may be needed.
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

/// A file with other pools comes within the longest deadline of the one before. There are not enough bits for the pools
/// of both, so it is put off and the old rules stay.
#[test]
fn rules_are_put_off_while_requests_in_flight_need_their_pools_bits() {
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
        "the old rules stay"
    );
}
