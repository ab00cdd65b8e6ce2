//! Load shedding by level, late requests first, and an answer for every request.

use super::*;

/// Of so many requests whose clients have waited so long, s, how many an ingress at level 1 refuses. Those that it
/// sends are answered at once, so that the level stays.
fn rejected_at_level_1(ingress: &mut TestIngress, count: usize, waited: f64) -> usize {
    let mut rejected = 0;
    for _ in 0..count {
        let id = ingress.request_after_waiting(0, waited);
        assert_eq!(ingress.engine.level(), 1);
        if ingress.is_rejected(id) {
            rejected += 1;
        } else {
            ingress.end_attempt(id, 0, Outcome::Cancelled);
        }
    }
    rejected
}

#[test]
fn under_load_requests_that_can_only_be_answered_late_are_rejected_first() {
    for (late_share, rejected_late) in [(0.0, 100..=100), (0.3, 60..=80), (1.0, 40..=60)] {
        let mut settings = settings();
        settings.classes[0].late_weight_share = late_share;
        let mut ingress = ingress_with_threshold(settings);
        let waited = 0.6;
        let id = ingress.request_after_waiting(0, waited);
        assert!(
            !ingress.is_rejected(id),
            "without load a late answer is worth its work"
        );
        let mut in_flight = vec![id];
        while ingress.engine.level() == 0 {
            in_flight.push(ingress.request(0, 0, 1, 1.0));
        }
        // Between the thresholds of levels 1 and 2 the level stays.
        while in_flight.len() as f64 > 1.1 * ingress.engine.threshold() {
            ingress.end_attempt(in_flight.pop().expect("attempts in flight"), 0, Outcome::Ok);
        }
        let rejected = rejected_at_level_1(&mut ingress, 100, waited);
        assert!(
            rejected_late.contains(&rejected),
            "late share {late_share}: {rejected} of 100"
        );
        let rejected = rejected_at_level_1(&mut ingress, 100, 0.0);
        assert!(
            (40..=60).contains(&rejected),
            "in time, late share {late_share}: {rejected} of 100"
        );
    }
}

#[test]
fn level_2_admits_nothing() {
    let mut ingress = ingress_with_threshold(settings());
    let mut last = 0;
    for _ in 0..400 {
        last = ingress.request(0, 0, 1, 1.0);
    }
    assert_eq!(ingress.engine.level(), 2);
    assert!(ingress.is_rejected(last));
    for _ in 0..50 {
        let id = ingress.request(0, 0, 1, 1.0);
        assert!(ingress.is_rejected(id) && ingress.endpoints_sent_to(id).is_empty());
    }
}

#[test]
fn the_answer_timer_answers_a_request_that_nothing_answers() {
    let mut ingress = TestIngress::new(settings(), 2);
    let id = ingress.request(2, 0, 1, 1.0);
    let due = ingress.actions.iter().find_map(|a| match a {
        Action::Timer { after, token } if *token != 0 => Some((*after, *token)),
        _ => None,
    });
    let (after, token) = due.expect("an answer timer");
    assert!(after < 2.0);
    ingress.now += after;
    ingress.handle(Event::Timer { token });
    assert!(ingress.is_failed(id));
    ingress.handle(Event::Timer { token });
    assert!(ingress.actions.is_empty(), "answered once");
}

#[test]
fn malformed_events_are_answered_or_ignored() {
    let mut ingress = TestIngress::new(settings(), 0);
    let id = ingress.request(0, 0, 1, 1.0);
    assert!(ingress.is_rejected(id), "no endpoint at all");
    for (class, plan, units) in [(9, 0, 1.0), (0, 9, 1.0), (0, 0, f64::NAN), (0, 0, -1.0)] {
        let id = ingress.request(class, plan, 1, units);
        assert!(ingress.is_rejected(id));
    }
    ingress.end_attempt(77, 0, Outcome::Ok);
    ingress.handle(Event::CounterAnswered {
        name: 1,
        outcome: Outcome::Ok,
        total: f64::NAN,
    });
    ingress.handle(Event::ProbeEnded {
        endpoint: 9,
        outcome: Outcome::Ok,
        report: vec![f64::NAN],
    });
    ingress.handle(Event::ClientGone { id: 99 });
    ingress.handle(Event::Timer { token: 5 });
    assert!(ingress.actions.is_empty());
}
