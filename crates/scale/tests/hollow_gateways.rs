//! The hollow fleet of decision modules: counts repeat, requests reach backends, and what a backend sees adds up.

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
        (fleet.counts(), fleet.seen())
    };
    assert_eq!(run(1), run(1));
    assert_ne!(run(1), run(2));
}

#[test]
fn requests_under_their_quota_are_served_and_backends_see_all_ingresses() {
    let mut fleet = Fleet::start(plan()).unwrap();
    fleet.run(30.0);
    let (counts, seen) = (fleet.counts(), fleet.seen());
    assert!((2700..=3300).contains(&counts.requests), "{counts:?}");
    assert!(counts.refused * 20 < counts.requests, "{counts:?}");
    assert_eq!(
        counts.attempts,
        seen.iter().map(|backend| backend.attempts).sum::<u64>()
    );
    assert_eq!(fleet.busy_ingresses(), 10);
    assert!(
        seen.iter()
            .all(|backend| backend.ingresses == 10 && backend.connections >= 9),
        "{seen:?}"
    );
    assert_eq!(counts.probes, 0, "nothing is wrong with any backend");
}

#[test]
fn every_ingress_probes_a_backend_that_turns_connections_away() {
    let mut fleet = Fleet::start(FleetPlan {
        first_is_down: true,
        ..plan()
    })
    .unwrap();
    fleet.run(30.0);
    let seen = fleet.seen();
    assert!(seen[0].probing >= 8 && seen[0].probes > 20, "{:?}", seen[0]);
    assert!(seen[1..].iter().all(|backend| backend.probes == 0));
}
