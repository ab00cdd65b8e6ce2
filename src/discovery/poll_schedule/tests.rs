mod fleet;

use super::{Failures, FirstPoll, PollSchedule, RetrySchedule, ASSUMED_CALL_MS, NOTIFIED_AFTER_MS};
use fleet::{after_given_up, given_up, Configured, Fleet, Outage, Recovery};

/// What an ingress of such a fleet goes by; a place in the round changes none of its bounds.
fn schedule_of(on_request: bool, ingresses: u32) -> PollSchedule {
    PollSchedule::new(on_request, ingresses, ingresses / 2)
}

/// Ingresses that all start at once, and a discovery that takes so long for a call, ms, one after the other. A
/// call that is given up is worked on all the same. The time by which nine in ten have their list, s.
fn time_until_fleet_has_list(ingresses: u32, each_ms: f64) -> f64 {
    let mut dice = oorandom::Rand32::new(7);
    let mut random = || f64::from(dice.rand_float());
    let schedules: Vec<PollSchedule> = (0..ingresses)
        .map(|position| PollSchedule::new(true, ingresses, position))
        .collect();
    let mut due: Vec<(f64, Failures)> = schedules
        .iter()
        .map(|schedule| (schedule.first_poll_at(0.0, random()), Failures::default()))
        .collect();
    let (mut free, mut informed) = (0.0_f64, 0);
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
        let given_up = given_up(&schedules[i], now);
        if free <= given_up {
            due[i].0 = f64::INFINITY;
            informed += 1;
            if informed * 10 >= ingresses * 9 {
                return free / 1e3;
            }
        } else {
            due[i].1.add(None);
            due[i].0 = after_given_up(&schedules[i], given_up, due[i].1, random());
        }
    }
}

/// All ingresses of a fleet start at once, and discovery serves one call after the other, also those that were given
/// up. If they poll again too fast, it works on nothing but calls that nobody waits for. Nine in ten must have their
/// list soon after the work for it would be done.
#[test]
fn a_fleet_of_any_size_does_not_keep_discovery_overloaded() {
    for (ingresses, each_ms) in [
        (2, 20.0),
        (10, 100.0),
        (30, 200.0),
        (48, 200.0),
        (100, 100.0),
        (300, 40.0),
    ] {
        let by = time_until_fleet_has_list(ingresses, each_ms);
        let min = 0.9 * f64::from(ingresses) * each_ms / 1e3;
        assert!(
            by < 3.0 * min + 2.0,
            "{ingresses} ingresses have their list after {by} s, not {min}"
        );
    }
    let backoff = schedule_of(true, 2).retry_at(
        0.0,
        Failures {
            count: 1,
            late_rejections: 0,
        },
        1.0,
    );
    assert!(
        schedule_of(true, 10).first_poll == FirstPoll::Within(0.0) && backoff < 50.0,
        "a small fleet asks at once"
    );
    assert!(longest_pause(&schedule_of(true, 1_000_000)) <= 15_000.0);
}

/// The longest from a watch's fall into silence to the call that is made in its place.
fn silent(schedule: &PollSchedule) -> f64 {
    schedule.watch_ms + schedule.watch_grace_ms + schedule.connect_timeout_ms
}

/// The longest from a failure to the call that is made anew.
fn longest_pause(schedule: &PollSchedule) -> f64 {
    match schedule.retry {
        RetrySchedule::Backoff { .. } => schedule.retry_at(
            0.0,
            Failures {
                count: u32::MAX,
                late_rejections: 0,
            },
            1.0,
        ),
        RetrySchedule::TimeSlots(slots) => slots.round_ms,
    }
}

/// The longest from the moment in which discovery can be reached again to the call that reaches it: a try just before
/// that moment has to end, then comes the longest pause, then a connection.
fn reached(schedule: &PollSchedule) -> f64 {
    schedule.answer_timeout_ms.max(schedule.connect_timeout_ms)
        + longest_pause(schedule)
        + schedule.connect_timeout_ms
}

/// The longest from the start of a process that holds a list to its first call.
fn first_call(schedule: &PollSchedule) -> f64 {
    match schedule.first_poll {
        FirstPoll::Within(span) => span,
        FirstPoll::InTimeSlot => longest_pause(schedule),
    }
}

const FLEETS: [u32; 5] = [1, 10, 30, 100, 300];

/// The agent on this machine dies and comes back. Its watch falls silent; the ingress must have polled anew before a
/// change counts as notified.
#[test]
fn a_pushed_list_is_in_force_long_before_it_counts_as_notified() {
    for ingresses in FLEETS {
        let schedule = schedule_of(false, ingresses);
        // Notified 6 s after the fall; at once where discovery comes back, and then there is the least grace, 1 s.
        assert!(
            silent(&schedule) + schedule.answer_timeout_ms <= 6000.0,
            "{ingresses}: {} ms",
            silent(&schedule)
        );
        assert!(
            reached(&schedule) <= 1000.0,
            "{ingresses}: {} ms",
            reached(&schedule)
        );
        assert!(first_call(&schedule) <= 0.0);
    }
}

/// A connection to discovery dies without a sign, under a watch. The watch must be opened anew before what it would
/// have brought counts as notified.
#[test]
fn on_request_a_silent_watch_is_opened_anew_before_it_counts_as_notified() {
    for ingresses in FLEETS {
        let schedule = schedule_of(true, ingresses);
        let notified = f64::max(6000.0, schedule.watch_ms + 2000.0);
        assert!(
            silent(&schedule) <= notified,
            "{ingresses}: {} ms, notified after {notified}",
            silent(&schedule)
        );
        assert!(first_call(&schedule) + schedule.connect_timeout_ms <= 6000.0);
    }
}

/// Discovery is away and comes back. Each ingress of a small fleet must call it within the 6 s in which a change counts
/// as notified.
#[test]
fn on_request_discovery_is_called_within_6_s_of_when_it_can_be_reached_by_a_small_fleet() {
    for ingresses in 1..=10 {
        let by = reached(&schedule_of(true, ingresses));
        assert!(by <= 6000.0, "{ingresses}: {by} ms");
    }
}

/// One call of each ingress of such a fleet takes a discovery of the assumed capacity this long, ms.
fn work(ingresses: u32) -> f64 {
    f64::from(ingresses) * ASSUMED_CALL_MS
}

/// The same for fleets that poll in time slots, as long as one call of each fits into 6 s.
#[test]
fn on_request_discovery_is_called_within_6_s_of_when_it_can_be_reached_by_a_fleet_whose_calls_fit_into_them(
) {
    for ingresses in 11..=30 {
        assert!(work(ingresses) <= NOTIFIED_AFTER_MS);
        let by = reached(&schedule_of(true, ingresses));
        assert!(by <= 6000.0, "{ingresses}: {by} ms");
    }
}

/// The same for larger fleets: their calls cannot all be served within 6 s, so a round takes as long as the calls do,
/// and 15 s at most.
#[test]
fn on_request_the_round_of_a_larger_fleet_is_its_ingresses_times_the_price_of_a_call() {
    for ingresses in [31, 48, 75, 100, 300, 1_000_000] {
        let schedule = schedule_of(true, ingresses);
        let slots = schedule.time_slots().expect("time slots");
        // In no order can each have an answer within 6 s.
        assert!(work(ingresses) > NOTIFIED_AFTER_MS, "{ingresses}");
        assert!(
            (slots.round_ms - work(ingresses).min(15_000.0)).abs() < 1e-6,
            "{ingresses}: {}",
            slots.round_ms
        );
        // With back-off by chance it was 17.5 s for 30 and more.
        let by = reached(&schedule);
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
    let round = schedule_of(true, ingresses)
        .time_slots()
        .expect("time slots")
        .round_ms;
    round.max(f64::from(ingresses) * call_ms)
}

/// Discovery was away, refusing or silent, and comes back. Each ingress must have its answer by its first call, in its
/// slot: a second one would take discovery's time from another.
#[test]
fn time_slots_bring_each_ingress_its_answer_by_one_call() {
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

/// The same for fleets that cannot all be served within 6 s.
#[test]
fn time_slots_of_a_larger_fleet_bring_each_ingress_its_answer_by_one_call_within_a_round() {
    for (ingresses, call_ms) in [(48, 200.0), (75, 200.0), (100, 100.0), (300, 40.0)] {
        for (which, recovery) in recoveries(&Fleet::sound(ingresses, call_ms, Outage::Refused)) {
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{which}: {recovery:?}");
            assert_eq!(recovery.calls, ingresses as usize, "{which}: {recovery:?}");
        }
    }
}

/// The clocks of the ingresses differ, so that their slots overlap when discovery comes back.
#[test]
fn time_slots_bear_clocks_that_are_off() {
    for clock_error_ms in [50.0, 100.0, 300.0] {
        let fleet = Fleet {
            clock_error_ms,
            ..Fleet::sound(30, ASSUMED_CALL_MS, Outage::Refused)
        };
        for (which, recovery) in recoveries(&fleet) {
            assert!(
                recovery.last_reached() <= 6000.0,
                "{which}, {clock_error_ms}: {recovery:?}"
            );
            let bound =
                one_call_of_each(30, ASSUMED_CALL_MS) + ASSUMED_CALL_MS + 2.0 * clock_error_ms;
            assert!(
                recovery.last_answered() <= bound,
                "{which}, {clock_error_ms}: {recovery:?}"
            );
        }
    }
}

/// Some ingresses of the fleet are down when discovery comes back: their slots stay empty.
#[test]
fn time_slots_bear_ingresses_that_are_down() {
    let mut fleet = Fleet::sound(30, ASSUMED_CALL_MS, Outage::Refused);
    fleet
        .ingresses
        .retain(|ingress| ingress.position % 3 == 0 || ingress.position > 20);
    for (which, recovery) in recoveries(&fleet) {
        assert!(recovery.last_reached() <= 6000.0, "{which}: {recovery:?}");
        let bound = one_call_of_each(30, ASSUMED_CALL_MS) + ASSUMED_CALL_MS;
        assert!(recovery.last_answered() <= bound, "{which}: {recovery:?}");
        assert_eq!(
            recovery.calls,
            fleet.ingresses.len(),
            "{which}: {recovery:?}"
        );
    }
}

/// As for a fleet that starts: its list takes less than three times what the work takes, and 2 s.
fn is_not_overloaded(which: &str, work: f64, recovery: &Recovery) {
    assert!(
        recovery.last_answered() < 3.0 * work + 2000.0,
        "{which}: {recovery:?}"
    );
}

/// The fleet's size or the positions in it are wrong in the settings, so that slots collide when discovery comes back.
/// It must not stay overloaded.
#[test]
fn time_slots_bear_wrong_settings() {
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
            ..Fleet::sound(30, ASSUMED_CALL_MS, Outage::Refused)
        };
        for (which, recovery) in recoveries(&fleet) {
            assert!(
                recovery.last_reached() <= reached,
                "{kind}, {which}: {recovery:?}"
            );
            is_not_overloaded(&format!("{kind}, {which}"), work(30), &recovery);
        }
    }
}

/// Discovery comes back slower than assumed, so that calls queue there from slot to slot. It must not stay overloaded.
#[test]
fn time_slots_bear_calls_that_take_twice_as_long() {
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
            is_not_overloaded(&which, f64::from(ingresses) * call_ms, &recovery);
        }
    }
}

/// Discovery comes back and rejects calls that have stood in its queue for 2 s, after it has worked on them. With calls
/// slower than assumed it must still not stay overloaded.
#[test]
fn time_slots_bear_a_discovery_that_rejects_what_has_waited_for_2_s() {
    // At the assumed price none waits so long.
    let fleet = |ingresses, call_ms| Fleet {
        rejects_after_ms: 2000.0,
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
            is_not_overloaded(&which, f64::from(ingresses) * call_ms, &recovery);
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

/// Discovery rejects call after call late. It must be left a round in which its queue empties, and the ingress must not
/// be without a list for longer than 15 s a pause.
#[test]
fn an_overloaded_discovery_is_left_a_round_first_and_never_more_than_15_s() {
    for ingresses in [11, 30, 48, 100, 300] {
        for position in [0, ingresses / 3, ingresses - 1] {
            let schedule = PollSchedule::new(true, ingresses, position);
            let slots = schedule.time_slots().expect("time slots");
            let mut failures = Failures::default();
            for _ in 0..20 {
                failures.add(Some(2000.0));
                for now in (0..150).map(|i| 1e12 + 777.0 * f64::from(i)) {
                    let pause = schedule.retry_at(now, failures, 0.5) - now;
                    assert!(pause <= 15_000.0, "{ingresses}, {failures:?}: {pause} ms");
                    // A round, and the two in which half of the fleet has its turns each.
                    if failures.late_rejections == 1 && 3.0 * slots.round_ms <= 15_000.0 {
                        assert!(
                            pause >= slots.round_ms,
                            "{ingresses}, {failures:?}: {pause} ms"
                        );
                    }
                }
            }
        }
    }
    let schedule = schedule_of(true, 30);
    for refused_after in [None, Some(5.0)] {
        let mut failures = Failures::default();
        failures.add(Some(2000.0));
        failures.add(refused_after);
        let pause = schedule.retry_at(1e12, failures, 0.5) - 1e12;
        assert!(
            pause <= longest_pause(&schedule),
            "what is away at once is called in the next turn: {pause} ms"
        );
    }
}

/// Discovery comes back, and each answer is followed by a watch that costs it as much as a call.
#[test]
fn time_slots_bear_watches_that_cost_a_call_behind_each_answer() {
    for ingresses in [11, 30, 48] {
        let fleet = Fleet {
            watches_cost: true,
            ..Fleet::sound(ingresses, ASSUMED_CALL_MS, Outage::Refused)
        };
        for (which, recovery) in recoveries(&fleet) {
            is_not_overloaded(&which, 2.0 * work(ingresses), &recovery);
        }
    }
}

#[test]
fn time_slots_are_a_round_apart_and_have_their_places_in_it() {
    let next = |position, now| {
        PollSchedule::new(true, 30, position)
            .time_slots()
            .expect("time slots")
            .next_slot_at(now)
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

/// Watches end without a change and are opened anew by all ingresses: discovery must have time left for those that have
/// no list.
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
        let part = f64::from(ingresses) * each_ms / schedule_of(true, ingresses).watch_ms;
        assert!(
            part <= 0.65,
            "{ingresses} ingresses take {part} of its time"
        );
    }
}
