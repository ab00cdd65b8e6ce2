mod fleet;

use super::poll_schedule::{Failures, First, Pace, Retry, CALL_MS, NOTIFIED_MS};
use fleet::{after_given_up, given_up, Configured, Fleet, Outage, Recovery};

/// What an ingress of such a fleet goes by; a place in the round changes none of its bounds.
fn pace_of(on_request: bool, ingresses: u32) -> Pace {
    Pace::of(on_request, ingresses, ingresses / 2)
}

/// Ingresses that all start at once, and a discovery that takes so long for a call, ms, one after the other. A
/// call that is given up is worked on all the same. The time by which nine in ten have their list, s.
fn notified(ingresses: u32, each_ms: f64) -> f64 {
    let mut dice = oorandom::Rand32::new(7);
    let mut random = || f64::from(dice.rand_float());
    let paces: Vec<Pace> = (0..ingresses)
        .map(|position| Pace::of(true, ingresses, position))
        .collect();
    let mut due: Vec<(f64, Failures)> = paces
        .iter()
        .map(|pace| (pace.first_call(0.0, random()), Failures::default()))
        .collect();
    let (mut free, mut notified) = (0.0_f64, 0);
    loop {
        let (i, now) = due
            .iter()
            .enumerate()
            .map(|(i, d)| (i, d.0))
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .unwrap();
        if now > 60_000.0 {
            return f64::INFINITY;
        }
        free = free.max(now) + each_ms;
        let given_up = given_up(&paces[i], now);
        if free <= given_up {
            due[i].0 = f64::INFINITY;
            notified += 1;
            if notified * 10 >= ingresses * 9 {
                return free / 1e3;
            }
        } else {
            due[i].1.add(None);
            due[i].0 = after_given_up(&paces[i], given_up, due[i].1, random());
        }
    }
}

#[test]
fn a_fleet_of_any_size_does_not_keep_discovery_overbooked() {
    for (ingresses, each_ms) in [
        (2, 20.0),
        (10, 100.0),
        (30, 200.0),
        (48, 200.0),
        (100, 100.0),
        (300, 40.0),
    ] {
        let by = notified(ingresses, each_ms);
        let min = 0.9 * f64::from(ingresses) * each_ms / 1e3;
        assert!(
            by < 3.0 * min + 2.0,
            "{ingresses} ingresses have their list after {by} s, not {min}"
        );
    }
    let back_off = pace_of(true, 2).again(
        0.0,
        Failures {
            count: 1,
            turned_away: 0,
        },
        1.0,
    );
    assert!(
        pace_of(true, 10).first == First::Within(0.0) && back_off < 50.0,
        "a small fleet asks at once"
    );
    assert!(longest_pause(&pace_of(true, 1_000_000)) <= 15_000.0);
}

/// The longest from a watch's fall into silence to the call that is made in its place.
fn silent(pace: &Pace) -> f64 {
    pace.watch + pace.grace + pace.dial
}

/// The longest from a failure to the call that is made anew.
fn longest_pause(pace: &Pace) -> f64 {
    match pace.retry {
        Retry::BackOff { .. } => pace.again(
            0.0,
            Failures {
                count: u32::MAX,
                turned_away: 0,
            },
            1.0,
        ),
        Retry::Turns(turns) => turns.round,
    }
}

/// The longest from the moment in which discovery can be reached again to the call that reaches it: a try just before
/// that moment has to end, then comes the longest pause, then a connection.
fn reached(pace: &Pace) -> f64 {
    pace.answer.max(pace.dial) + longest_pause(pace) + pace.dial
}

/// The longest from the start of a process that holds a list to its first call.
fn first_call(pace: &Pace) -> f64 {
    match pace.first {
        First::Within(span) => span,
        First::Turn => longest_pause(pace),
    }
}

const FLEETS: [u32; 5] = [1, 10, 30, 100, 300];

#[test]
fn a_pushed_list_is_in_force_long_before_it_counts_as_notified() {
    for ingresses in FLEETS {
        let pace = pace_of(false, ingresses);
        // Told 6 s after the fall; at once where discovery comes back, and then there is the least grace, 1 s.
        assert!(
            silent(&pace) + pace.answer <= 6000.0,
            "{ingresses}: {} ms",
            silent(&pace)
        );
        assert!(
            reached(&pace) <= 1000.0,
            "{ingresses}: {} ms",
            reached(&pace)
        );
        assert!(first_call(&pace) <= 0.0);
    }
}

#[test]
fn on_request_a_silent_watch_is_opened_anew_before_it_counts_as_notified() {
    for ingresses in FLEETS {
        let pace = pace_of(true, ingresses);
        let notified = f64::max(6000.0, pace.watch + 2000.0);
        assert!(
            silent(&pace) <= notified,
            "{ingresses}: {} ms, told after {notified}",
            silent(&pace)
        );
        assert!(first_call(&pace) + pace.dial <= 6000.0);
    }
}

#[test]
fn on_request_discovery_is_called_within_6_s_of_when_it_can_be_reached_by_a_small_fleet() {
    for ingresses in 1..=10 {
        let by = reached(&pace_of(true, ingresses));
        assert!(by <= 6000.0, "{ingresses}: {by} ms");
    }
}

/// One call of each ingress of such a fleet takes a discovery of the assumed capacity this long, ms.
fn work(ingresses: u32) -> f64 {
    f64::from(ingresses) * CALL_MS
}

#[test]
fn on_request_discovery_is_called_within_6_s_of_when_it_can_be_reached_by_a_fleet_whose_calls_fit_into_them(
) {
    for ingresses in 11..=30 {
        assert!(work(ingresses) <= NOTIFIED_MS);
        let by = reached(&pace_of(true, ingresses));
        assert!(by <= 6000.0, "{ingresses}: {by} ms");
    }
}

#[test]
fn on_request_the_round_of_a_larger_fleet_is_its_ingresses_times_the_price_of_a_call() {
    for ingresses in [31, 48, 75, 100, 300, 1_000_000] {
        let pace = pace_of(true, ingresses);
        let turns = pace.turns().expect("turns");
        // In no order can each have an answer within 6 s.
        assert!(work(ingresses) > NOTIFIED_MS, "{ingresses}");
        assert!(
            (turns.round - work(ingresses).min(15_000.0)).abs() < 1e-6,
            "{ingresses}: {}",
            turns.round
        );
        // With back-off by chance it was 17.5 s for 30 and more.
        let by = reached(&pace);
        assert!(
            by <= (work(ingresses) + 2500.0).min(17_500.0),
            "{ingresses}: {by} ms"
        );
    }
}

const SEEDS: std::ops::Range<u64> = 0..40;

/// Discovery's return to this fleet, with every seed and kind of outage.
fn recoveries(fleet: &Fleet) -> impl Iterator<Item = (String, Recovery)> + '_ {
    SEEDS.flat_map(move |seed| {
        [Outage::Refused, Outage::Silent].map(|outage| {
            let recovery = Fleet {
                outage,
                ..fleet.clone()
            }
            .recover(seed);
            let ingresses = fleet.ingresses.len();
            (
                format!(
                    "seed {seed}, {outage:?}, {ingresses} ingresses, {} ms",
                    fleet.call_ms
                ),
                recovery,
            )
        })
    })
}

/// The round of such a fleet, or one call of each where that takes longer, ms.
fn one_call_of_each(ingresses: u32, call_ms: f64) -> f64 {
    let round = pace_of(true, ingresses).turns().expect("turns").round;
    round.max(f64::from(ingresses) * call_ms)
}

#[test]
fn turns_bring_each_ingress_its_answer_by_one_call() {
    for (ingresses, call_ms) in [
        (11, 200.0),
        (12, 200.0),
        (20, 200.0),
        (30, 20.0),
        (30, 200.0),
    ] {
        for (which, recovery) in recoveries(&Fleet::sound(ingresses, call_ms, Outage::Refused)) {
            assert!(recovery.last_reached() <= 6000.0, "{which}: {recovery:?}");
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{which}: {recovery:?}");
            assert_eq!(recovery.calls, ingresses as usize, "{which}: {recovery:?}");
        }
    }
}

#[test]
fn turns_of_a_larger_fleet_bring_each_ingress_its_answer_by_one_call_within_a_round() {
    for (ingresses, call_ms) in [(48, 200.0), (75, 200.0), (100, 100.0), (300, 40.0)] {
        for (which, recovery) in recoveries(&Fleet::sound(ingresses, call_ms, Outage::Refused)) {
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{which}: {recovery:?}");
            assert_eq!(recovery.calls, ingresses as usize, "{which}: {recovery:?}");
        }
    }
}

#[test]
fn turns_bear_clocks_that_are_off() {
    for clock_error_ms in [50.0, 100.0, 300.0] {
        let fleet = Fleet {
            clock_error_ms,
            ..Fleet::sound(30, CALL_MS, Outage::Refused)
        };
        for (which, recovery) in recoveries(&fleet) {
            assert!(
                recovery.last_reached() <= 6000.0,
                "{which}, {clock_error_ms}: {recovery:?}"
            );
            let bound = one_call_of_each(30, CALL_MS) + CALL_MS + 2.0 * clock_error_ms;
            assert!(
                recovery.last_answered() <= bound,
                "{which}, {clock_error_ms}: {recovery:?}"
            );
        }
    }
}

#[test]
fn turns_bear_ingresses_that_are_down() {
    let mut fleet = Fleet::sound(30, CALL_MS, Outage::Refused);
    fleet
        .ingresses
        .retain(|ingress| ingress.position % 3 == 0 || ingress.position > 20);
    for (which, recovery) in recoveries(&fleet) {
        assert!(recovery.last_reached() <= 6000.0, "{which}: {recovery:?}");
        let bound = one_call_of_each(30, CALL_MS) + CALL_MS;
        assert!(recovery.last_answered() <= bound, "{which}: {recovery:?}");
        assert_eq!(
            recovery.calls,
            fleet.ingresses.len(),
            "{which}: {recovery:?}"
        );
    }
}

/// As for a fleet that starts: its list takes less than three times what the work takes, and 2 s.
fn is_not_overbooked(which: &str, work: f64, recovery: &Recovery) {
    assert!(
        recovery.last_answered() < 3.0 * work + 2000.0,
        "{which}: {recovery:?}"
    );
}

#[test]
fn turns_bear_wrong_settings() {
    let all = |configured: fn(u32) -> Configured| (0..30).map(configured).collect::<Vec<_>>();
    let wrong: [(&str, f64, Vec<Configured>); 5] = [
        (
            "too few",
            6000.0,
            all(|position| Configured {
                ingresses: 20,
                position,
            }),
        ),
        (
            "too many",
            17_500.0,
            all(|position| Configured {
                ingresses: 45,
                position,
            }),
        ),
        (
            "one place for all",
            6000.0,
            all(|_| Configured {
                ingresses: 30,
                position: 0,
            }),
        ),
        (
            "places beyond the fleet",
            6000.0,
            all(|i| Configured {
                ingresses: 30,
                position: 1000 + 7 * i,
            }),
        ),
        (
            "changed for half",
            6000.0,
            all(|i| Configured {
                ingresses: if i % 2 == 0 { 30 } else { 24 },
                position: i,
            }),
        ),
    ];
    for (kind, reached, ingresses) in wrong {
        let fleet = Fleet {
            ingresses,
            ..Fleet::sound(30, CALL_MS, Outage::Refused)
        };
        for (which, recovery) in recoveries(&fleet) {
            assert!(
                recovery.last_reached() <= reached,
                "{kind}, {which}: {recovery:?}"
            );
            is_not_overbooked(&format!("{kind}, {which}"), work(30), &recovery);
        }
    }
}

#[test]
fn turns_bear_calls_that_take_twice_as_long() {
    for (ingresses, call_ms) in [
        (11, 400.0),
        (30, 300.0),
        (30, 400.0),
        (48, 400.0),
        (100, 200.0),
    ] {
        let reached = if ingresses <= 30 { 6000.0 } else { 17_500.0 };
        for (which, recovery) in recoveries(&Fleet::sound(ingresses, call_ms, Outage::Refused)) {
            assert!(recovery.last_reached() <= reached, "{which}: {recovery:?}");
            is_not_overbooked(&which, f64::from(ingresses) * call_ms, &recovery);
        }
    }
}

#[test]
fn turns_bear_a_discovery_that_turns_away_what_has_waited_for_2_s() {
    // At the assumed price none waits so long.
    let fleet = |ingresses, call_ms| Fleet {
        turns_away_after_ms: 2000.0,
        ..Fleet::sound(ingresses, call_ms, Outage::Refused)
    };
    for (ingresses, call_ms) in [
        (11, 200.0),
        (20, 200.0),
        (30, 200.0),
        (48, 200.0),
        (75, 200.0),
        (300, 40.0),
    ] {
        for (which, recovery) in recoveries(&fleet(ingresses, call_ms)) {
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{which}: {recovery:?}");
        }
    }
    for (ingresses, call_ms) in [(11, 300.0), (20, 300.0), (30, 250.0), (30, 300.0)] {
        for (which, recovery) in recoveries(&fleet(ingresses, call_ms)) {
            is_not_overbooked(&which, f64::from(ingresses) * call_ms, &recovery);
        }
    }
    for (ingresses, call_ms) in [(11, 400.0), (30, 400.0), (48, 300.0)] {
        for (which, recovery) in recoveries(&fleet(ingresses, call_ms)) {
            let work = f64::from(ingresses) * call_ms;
            assert!(
                recovery.last_answered() < 4.0 * work + 2000.0,
                "{which}: {recovery:?}"
            );
        }
    }
}

#[test]
fn an_overbooked_discovery_is_left_a_round_first_and_never_more_than_15_s() {
    for ingresses in [11, 30, 48, 100, 300] {
        for position in [0, ingresses / 3, ingresses - 1] {
            let pace = Pace::of(true, ingresses, position);
            let turns = pace.turns().expect("turns");
            let mut failures = Failures::default();
            for _ in 0..20 {
                failures.add(Some(2000.0));
                for now in (0..150).map(|i| 1e12 + 777.0 * f64::from(i)) {
                    let pause = pace.again(now, failures, 0.5) - now;
                    assert!(pause <= 15_000.0, "{ingresses}, {failures:?}: {pause} ms");
                    // A round, and the two in which half of the fleet has its turns each.
                    if failures.turned_away == 1 && 3.0 * turns.round <= 15_000.0 {
                        assert!(
                            pause >= turns.round,
                            "{ingresses}, {failures:?}: {pause} ms"
                        );
                    }
                }
            }
        }
    }
    let pace = pace_of(true, 30);
    for refused_after in [None, Some(5.0)] {
        let mut failures = Failures::default();
        failures.add(Some(2000.0));
        failures.add(refused_after);
        let pause = pace.again(1e12, failures, 0.5) - 1e12;
        assert!(
            pause <= longest_pause(&pace),
            "what is away at once is called in the next turn: {pause} ms"
        );
    }
}

#[test]
fn turns_bear_watches_that_cost_a_call_behind_each_answer() {
    for ingresses in [11, 30, 48] {
        let fleet = Fleet {
            watches_cost: true,
            ..Fleet::sound(ingresses, CALL_MS, Outage::Refused)
        };
        for (which, recovery) in recoveries(&fleet) {
            is_not_overbooked(&which, 2.0 * work(ingresses), &recovery);
        }
    }
}

#[test]
fn turns_are_a_round_apart_and_have_their_places_in_it() {
    let next = |position, now| {
        Pace::of(true, 30, position)
            .turns()
            .expect("turns")
            .next(now)
    };
    let round = next(0, 0.0);
    assert_eq!(
        next(0, round),
        2.0 * round,
        "a turn is over once it has come"
    );
    for position in 0..30 {
        let first = next(position, round - 0.5);
        let place = f64::from(position) * round / 30.0;
        assert!((first - round - place).abs() < 1e-6, "{position}: {first}");
    }
}

#[test]
fn watches_opened_anew_leave_discovery_time_for_others() {
    for (ingresses, each_ms) in [
        (2, 20.0),
        (10, 100.0),
        (30, 200.0),
        (48, 200.0),
        (100, 100.0),
        (300, 40.0),
    ] {
        let part = f64::from(ingresses) * each_ms / pace_of(true, ingresses).watch;
        assert!(
            part <= 0.65,
            "{ingresses} ingresses take {part} of its time"
        );
    }
}
