mod fleet;

use super::{Failures, FirstPoll, PollSchedule, RetrySchedule, ASSUMED_CALL_MS, NOTIFIED_AFTER_MS};
use fleet::{abandoned_at, retry_of_abandoned_at, Fleet, IngressSettings, Outage, Recovery};

/// The schedule of an ingress in the middle of such a fleet; its position affects none of the
/// bounds.
fn schedule_of(on_request: bool, ingresses: u32) -> PollSchedule {
    PollSchedule::new(on_request, ingresses, ingresses / 2)
}

/// Simulates ingresses that all start at once, and a discovery that serves one call at a time, for
/// `call_ms` each, and also works on abandoned calls. Returns the time by which nine in ten
/// ingresses have their list, s.
fn time_until_fleet_has_list(ingresses: u32, call_ms: f64) -> f64 {
    let mut generator = oorandom::Rand32::new(7);
    let mut random = || f64::from(generator.rand_float());
    let schedules: Vec<PollSchedule> = (0..ingresses)
        .map(|position| PollSchedule::new(true, ingresses, position))
        .collect();
    let mut due: Vec<(f64, Failures)> = schedules
        .iter()
        .map(|schedule| (schedule.first_poll_at(0.0, random()), Failures::default()))
        .collect();
    let (mut free_at, mut answered) = (0.0_f64, 0);
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
        free_at = free_at.max(now) + call_ms;
        let abandoned_at = abandoned_at(&schedules[i], now);
        if free_at <= abandoned_at {
            due[i].0 = f64::INFINITY;
            answered += 1;
            if answered * 10 >= ingresses * 9 {
                return free_at / 1e3;
            }
        } else {
            due[i].1.add(None);
            due[i].0 = retry_of_abandoned_at(&schedules[i], abandoned_at, due[i].1, random());
        }
    }
}

/// All ingresses of a fleet start at once, and discovery serves one call after the other, including
/// abandoned ones. If they retry too fast, discovery works only on abandoned calls. Nine in ten
/// ingresses must have their list soon after the minimum time for that work.
#[test]
fn starting_fleet_of_any_size_does_not_keep_discovery_overloaded() {
    for (ingresses, call_ms) in [
        (2, 20.0),
        (10, 100.0),
        (30, 200.0),
        (48, 200.0),
        (100, 100.0),
        (300, 40.0),
    ] {
        let latest = time_until_fleet_has_list(ingresses, call_ms);
        let min = 0.9 * f64::from(ingresses) * call_ms / 1e3;
        assert!(
            latest < 3.0 * min + 2.0,
            "{ingresses} ingresses have their list after {latest} s; the minimum is {min} s"
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
        "a small fleet polls at once"
    );
    assert!(longest_pause(&schedule_of(true, 1_000_000)) <= 15_000.0);
}

/// The longest time from the moment a watch's connection dies until the call that replaces it.
fn longest_watch_outage(schedule: &PollSchedule) -> f64 {
    schedule.watch_ms + schedule.watch_grace_ms + schedule.connect_timeout_ms
}

/// The longest time from a failure to the retry.
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

/// The longest time from the moment discovery is reachable again until a call reaches it: an
/// attempt begun just before has to fail, then come the longest pause and a connect.
fn longest_until_reached(schedule: &PollSchedule) -> f64 {
    schedule.answer_timeout_ms.max(schedule.connect_timeout_ms)
        + longest_pause(schedule)
        + schedule.connect_timeout_ms
}

/// The longest time from the start of a process that holds a list to its first call.
fn longest_until_first_call(schedule: &PollSchedule) -> f64 {
    match schedule.first_poll {
        FirstPoll::Within(span) => span,
        FirstPoll::InTimeSlot => longest_pause(schedule),
    }
}

const FLEETS: [u32; 5] = [1, 10, 30, 100, 300];

/// The agent on this machine dies and comes back while a watch is open. The ingress must have
/// polled again before a change counts as notified.
#[test]
fn pushed_list_is_applied_long_before_it_counts_as_notified() {
    for ingresses in FLEETS {
        let schedule = schedule_of(false, ingresses);
        // A change counts as notified 6 s after the agent died, or as soon as it is back; the grace
        // then is at least 1 s.
        assert!(
            longest_watch_outage(&schedule) + schedule.answer_timeout_ms <= 6000.0,
            "{ingresses}: {} ms",
            longest_watch_outage(&schedule)
        );
        assert!(
            longest_until_reached(&schedule) <= 1000.0,
            "{ingresses}: {} ms",
            longest_until_reached(&schedule)
        );
        assert!(longest_until_first_call(&schedule) <= 0.0);
    }
}

/// The connection to discovery dies unnoticed during a watch. The watch must be reopened before the
/// changes it missed count as notified.
#[test]
fn on_request_dead_watch_is_reopened_before_changes_count_as_notified() {
    for ingresses in FLEETS {
        let schedule = schedule_of(true, ingresses);
        let notified = f64::max(6000.0, schedule.watch_ms + 2000.0);
        assert!(
            longest_watch_outage(&schedule) <= notified,
            "{ingresses}: {} ms, notified after {notified}",
            longest_watch_outage(&schedule)
        );
        assert!(longest_until_first_call(&schedule) + schedule.connect_timeout_ms <= 6000.0);
    }
}

/// Discovery becomes reachable again after an outage. Each ingress of a small fleet must call it
/// within the 6 s after which a change counts as notified.
#[test]
fn on_request_small_fleet_reaches_recovered_discovery_within_6_s() {
    for ingresses in 1..=10 {
        let latest = longest_until_reached(&schedule_of(true, ingresses));
        assert!(latest <= 6000.0, "{ingresses}: {latest} ms");
    }
}

/// Time that a discovery of the assumed capacity needs for one call of each ingress, ms.
fn work_ms(ingresses: u32) -> f64 {
    f64::from(ingresses) * ASSUMED_CALL_MS
}

/// Discovery becomes reachable again after an outage. Each ingress of a fleet that polls in time
/// slots must call it within 6 s, if one call of each ingress fits into 6 s.
#[test]
fn on_request_fleet_with_prompt_time_slots_reaches_recovered_discovery_within_6_s() {
    for ingresses in 11..=30 {
        assert!(work_ms(ingresses) <= NOTIFIED_AFTER_MS);
        let latest = longest_until_reached(&schedule_of(true, ingresses));
        assert!(latest <= 6000.0, "{ingresses}: {latest} ms");
    }
}

/// Discovery cannot serve all calls of a larger fleet within 6 s, so a round lasts as long as the
/// calls take, and 15 s at most.
#[test]
fn on_request_round_of_a_larger_fleet_lasts_as_long_as_its_calls() {
    for ingresses in [31, 48, 75, 100, 300, 1_000_000] {
        let schedule = schedule_of(true, ingresses);
        let slots = schedule.time_slots().expect("time slots");
        // In any order, discovery cannot answer every ingress within 6 s.
        assert!(work_ms(ingresses) > NOTIFIED_AFTER_MS, "{ingresses}");
        assert!(
            (slots.round_ms - work_ms(ingresses).min(15_000.0)).abs() < 1e-6,
            "{ingresses}: {}",
            slots.round_ms
        );
        // With random backoff it was 17.5 s for 30 ingresses and more.
        let latest = longest_until_reached(&schedule);
        assert!(
            latest <= (work_ms(ingresses) + 2500.0).min(17_500.0),
            "{ingresses}: {latest} ms"
        );
    }
}

const SEEDS: std::ops::Range<u64> = 0..40;

/// Simulated recoveries of this fleet, with every seed and kind of outage.
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

/// Returns the round of a fleet with time slots, or the time for one call of each ingress if that
/// is longer, ms.
fn one_call_of_each(ingresses: u32, call_ms: f64) -> f64 {
    let round = schedule_of(true, ingresses)
        .time_slots()
        .expect("time slots")
        .round_ms;
    round.max(f64::from(ingresses) * call_ms)
}

/// Discovery recovers after it refused or ignored calls. Each ingress must be answered on its first
/// call, in its slot: a second call would take discovery's time from another ingress.
#[test]
fn time_slots_answer_each_ingress_with_one_call() {
    for (ingresses, call_ms) in [
        (11, 200.0),
        (12, 200.0),
        (20, 200.0),
        (30, 20.0),
        (30, 200.0),
    ] {
        for (case, recovery) in recoveries(&Fleet::with_correct_settings(
            ingresses,
            call_ms,
            Outage::Refused,
        )) {
            assert!(recovery.last_reached() <= 6000.0, "{case}: {recovery:?}");
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{case}: {recovery:?}");
            assert_eq!(recovery.calls, ingresses as usize, "{case}: {recovery:?}");
        }
    }
}

/// Discovery, which cannot serve all calls of a larger fleet within 6 s, recovers after it refused
/// or ignored calls. Each ingress must be answered on its first call, within a round and the time
/// of one call.
#[test]
fn time_slots_answer_each_ingress_of_a_larger_fleet_within_a_round() {
    for (ingresses, call_ms) in [(48, 200.0), (75, 200.0), (100, 100.0), (300, 40.0)] {
        for (case, recovery) in recoveries(&Fleet::with_correct_settings(
            ingresses,
            call_ms,
            Outage::Refused,
        )) {
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{case}: {recovery:?}");
            assert_eq!(recovery.calls, ingresses as usize, "{case}: {recovery:?}");
        }
    }
}

/// The clocks of the ingresses differ, so that their slots overlap when discovery recovers.
#[test]
fn time_slots_tolerate_clock_errors() {
    for clock_error_ms in [50.0, 100.0, 300.0] {
        let fleet = Fleet {
            clock_error_ms,
            ..Fleet::with_correct_settings(30, ASSUMED_CALL_MS, Outage::Refused)
        };
        for (case, recovery) in recoveries(&fleet) {
            assert!(
                recovery.last_reached() <= 6000.0,
                "{case}, {clock_error_ms}: {recovery:?}"
            );
            let bound =
                one_call_of_each(30, ASSUMED_CALL_MS) + ASSUMED_CALL_MS + 2.0 * clock_error_ms;
            assert!(
                recovery.last_answered() <= bound,
                "{case}, {clock_error_ms}: {recovery:?}"
            );
        }
    }
}

/// Some ingresses of the fleet are down when discovery recovers; their slots stay unused.
#[test]
fn time_slots_tolerate_ingresses_that_are_down() {
    let mut fleet = Fleet::with_correct_settings(30, ASSUMED_CALL_MS, Outage::Refused);
    fleet
        .ingresses
        .retain(|ingress| ingress.position % 3 == 0 || ingress.position > 20);
    for (case, recovery) in recoveries(&fleet) {
        assert!(recovery.last_reached() <= 6000.0, "{case}: {recovery:?}");
        let bound = one_call_of_each(30, ASSUMED_CALL_MS) + ASSUMED_CALL_MS;
        assert!(recovery.last_answered() <= bound, "{case}: {recovery:?}");
        assert_eq!(
            recovery.calls,
            fleet.ingresses.len(),
            "{case}: {recovery:?}"
        );
    }
}

/// Asserts the bound of a starting fleet: all ingresses have their list in less than three times
/// the work, plus 2 s.
fn is_not_overloaded(case: &str, work_ms: f64, recovery: &Recovery) {
    assert!(
        recovery.last_answered() < 3.0 * work_ms + 2000.0,
        "{case}: {recovery:?}"
    );
}

/// The fleet size or the positions in the settings are wrong, so that slots collide when discovery
/// recovers. Discovery must not stay overloaded.
#[test]
fn time_slots_tolerate_wrong_settings() {
    let all = |configured: fn(u32) -> IngressSettings| (0..30).map(configured).collect::<Vec<_>>();
    let wrong: [(&str, f64, Vec<IngressSettings>); 5] = [
        (
            "too few",
            6000.0,
            all(|position| IngressSettings {
                ingresses: 20,
                position,
            }),
        ),
        (
            "too many",
            17_500.0,
            all(|position| IngressSettings {
                ingresses: 45,
                position,
            }),
        ),
        (
            "one position for all",
            6000.0,
            all(|_| IngressSettings {
                ingresses: 30,
                position: 0,
            }),
        ),
        (
            "positions beyond the fleet",
            6000.0,
            all(|i| IngressSettings {
                ingresses: 30,
                position: 1000 + 7 * i,
            }),
        ),
        (
            "changed for half",
            6000.0,
            all(|i| IngressSettings {
                ingresses: if i % 2 == 0 { 30 } else { 24 },
                position: i,
            }),
        ),
    ];
    for (kind, reached, ingresses) in wrong {
        let fleet = Fleet {
            ingresses,
            ..Fleet::with_correct_settings(30, ASSUMED_CALL_MS, Outage::Refused)
        };
        for (case, recovery) in recoveries(&fleet) {
            assert!(
                recovery.last_reached() <= reached,
                "{kind}, {case}: {recovery:?}"
            );
            is_not_overloaded(&format!("{kind}, {case}"), work_ms(30), &recovery);
        }
    }
}

/// Discovery recovers but is slower than assumed, so that calls of consecutive slots queue. It must
/// not stay overloaded.
#[test]
fn time_slots_tolerate_calls_that_take_twice_as_long() {
    for (ingresses, call_ms) in [
        (11, 400.0),
        (30, 300.0),
        (30, 400.0),
        (48, 400.0),
        (100, 200.0),
    ] {
        let reached = if ingresses <= 30 { 6000.0 } else { 17_500.0 };
        for (case, recovery) in recoveries(&Fleet::with_correct_settings(
            ingresses,
            call_ms,
            Outage::Refused,
        )) {
            assert!(recovery.last_reached() <= reached, "{case}: {recovery:?}");
            is_not_overloaded(&case, f64::from(ingresses) * call_ms, &recovery);
        }
    }
}

/// Discovery recovers and rejects calls that have waited in its queue for 2 s, after it has worked
/// on them. Even with calls slower than assumed it must not stay overloaded.
#[test]
fn time_slots_tolerate_a_discovery_that_rejects_after_2_s() {
    // With calls of the assumed duration, no call waits that long.
    let fleet = |ingresses, call_ms| Fleet {
        rejects_after_ms: 2000.0,
        ..Fleet::with_correct_settings(ingresses, call_ms, Outage::Refused)
    };
    for (ingresses, call_ms) in [
        (11, 200.0),
        (20, 200.0),
        (30, 200.0),
        (48, 200.0),
        (75, 200.0),
        (300, 40.0),
    ] {
        for (case, recovery) in recoveries(&fleet(ingresses, call_ms)) {
            let bound = one_call_of_each(ingresses, call_ms) + call_ms;
            assert!(recovery.last_answered() <= bound, "{case}: {recovery:?}");
        }
    }
    for (ingresses, call_ms) in [(11, 300.0), (20, 300.0), (30, 250.0), (30, 300.0)] {
        for (case, recovery) in recoveries(&fleet(ingresses, call_ms)) {
            is_not_overloaded(&case, f64::from(ingresses) * call_ms, &recovery);
        }
    }
    for (ingresses, call_ms) in [(11, 400.0), (30, 400.0), (48, 300.0)] {
        for (case, recovery) in recoveries(&fleet(ingresses, call_ms)) {
            let work_ms = f64::from(ingresses) * call_ms;
            assert!(
                recovery.last_answered() < 4.0 * work_ms + 2000.0,
                "{case}: {recovery:?}"
            );
        }
    }
}

/// Discovery rejects call after call late. Each ingress must skip a round in which the queue
/// drains, and no pause may exceed 15 s without a list.
#[test]
fn overloaded_discovery_gets_a_free_round_and_pauses_stay_within_15_s() {
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
                    // One skipped round, and two rounds in each of which half of the fleet polls.
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
    for rejected_after in [None, Some(5.0)] {
        let mut failures = Failures::default();
        failures.add(Some(2000.0));
        failures.add(rejected_after);
        let pause = schedule.retry_at(1e12, failures, 0.5) - 1e12;
        assert!(
            pause <= longest_pause(&schedule),
            "after an immediate failure, the retry is in the next slot: {pause} ms"
        );
    }
}

/// Discovery recovers, and each answer is followed by a watch that costs discovery as much as a
/// call.
#[test]
fn time_slots_tolerate_watches_that_cost_as_much_as_calls() {
    for ingresses in [11, 30, 48] {
        let fleet = Fleet {
            watches_cost: true,
            ..Fleet::with_correct_settings(ingresses, ASSUMED_CALL_MS, Outage::Refused)
        };
        for (case, recovery) in recoveries(&fleet) {
            is_not_overloaded(&case, 2.0 * work_ms(ingresses), &recovery);
        }
    }
}

#[test]
fn time_slots_are_a_round_apart_and_evenly_spaced() {
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
        "the slot at the current time is not the next one"
    );
    for position in 0..30 {
        let first = next(position, round - 0.5);
        let offset = f64::from(position) * round / 30.0;
        assert!((first - round - offset).abs() < 1e-6, "{position}: {first}");
    }
}

/// Watches of all ingresses end without a change and are reopened. Discovery must have time left
/// for ingresses that have no list.
#[test]
fn reopened_watches_leave_discovery_time_for_other_ingresses() {
    for (ingresses, call_ms) in [
        (2, 20.0),
        (10, 100.0),
        (30, 200.0),
        (48, 200.0),
        (100, 100.0),
        (300, 40.0),
    ] {
        let share = f64::from(ingresses) * call_ms / schedule_of(true, ingresses).watch_ms;
        assert!(
            share <= 0.65,
            "{ingresses} ingresses take {share} of its time"
        );
    }
}
