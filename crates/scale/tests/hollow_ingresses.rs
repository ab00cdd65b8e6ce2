//! The simulated fleet of decision modules: counts are reproducible, requests reach backends, and
//! the traffic of backends adds up.

use driftgap_scale::hollow::ingresses::{Fleet, FleetPlan};

fn plan() -> FleetPlan {
    FleetPlan {
        ingresses: 10,
        tenants: 20,
        spread: 10,
        quota: 10.0,
        requests_per_second: 100.0,
        backends: 5,
        first_is_down: false,
        seed: 1,
    }
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let run = |seed| {
        let mut fleet = Fleet::start(FleetPlan { seed, ..plan() }).unwrap();
        fleet.run(20.0);
        (fleet.counts(), fleet.stats())
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn requests_within_quota_are_served_through_all_ingresses() {
    let mut fleet = Fleet::start(plan()).unwrap();
    fleet.run(30.0);
    let (counts, stats) = (fleet.counts(), fleet.stats());
    assert!((2700..=3300).contains(&counts.requests), "{counts:?}");
    assert!(counts.refused * 20 < counts.requests, "{counts:?}");
    assert_eq!(
        counts.attempts,
        stats.iter().map(|backend| backend.attempts).sum::<u64>()
    );
    assert_eq!(fleet.busy_ingresses(), 10);
    assert!(
        stats
            .iter()
            .all(|backend| backend.ingresses == 10 && backend.connections >= 9),
        "{stats:?}"
    );
    assert_eq!(counts.probes, 0, "healthy backends are not probed");
}

#[test]
fn ingresses_probe_a_backend_that_refuses_connections() {
    let mut fleet = Fleet::start(FleetPlan {
        first_is_down: true,
        ..plan()
    })
    .unwrap();
    fleet.run(30.0);
    let stats = fleet.stats();
    assert!(
        stats[0].probing >= 8 && stats[0].probes > 20,
        "{:?}",
        stats[0]
    );
    assert!(stats[1..].iter().all(|backend| backend.probes == 0));
}
