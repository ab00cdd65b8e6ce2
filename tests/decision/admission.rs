//! Load shedding by level, rejection of late requests, and the final answer of every request.

use super::*;

/// Sends `count` requests whose clients have already waited `waited` seconds and returns how many
/// an ingress at level 1 rejects. Each admitted attempt ends immediately, so the level does not
/// change.
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
fn late_requests_are_rejected_first_under_load() {
    for (late_share, rejected_late) in [(0.0, 100..=100), (0.3, 60..=80), (1.0, 40..=60)] {
        let mut settings = settings();
        settings.classes[0].late_weight_share = late_share;
        let mut ingress = ingress_with_threshold(settings);
        let waited = 0.6;
        let id = ingress.request_after_waiting(0, waited);
        assert!(!ingress.is_rejected(id), "late request rejected at level 0");
        let mut in_flight = vec![id];
        while ingress.engine.level() == 0 {
            in_flight.push(ingress.request(0, 0, 1, 1.0));
        }
        // Attempts end until the count is between the thresholds of levels 1 and 2, where the level
        // does not change.
        while in_flight.len() as f64 > 1.1 * ingress.engine.threshold() {
            ingress.end_attempt(in_flight.pop().expect("attempts in flight"), 0, Outcome::Ok);
        }
        let rejected = rejected_at_level_1(&mut ingress, 100, waited);
        assert!(
            rejected_late.contains(&rejected),
            "late_weight_share {late_share}: {rejected} of 100 late requests rejected"
        );
        let rejected = rejected_at_level_1(&mut ingress, 100, 0.0);
        assert!(
            (40..=60).contains(&rejected),
            "late_weight_share {late_share}: {rejected} of 100 punctual requests rejected"
        );
    }
}

#[test]
fn level_2_rejects_every_request() {
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
fn answer_timer_fails_a_request_without_an_answer() {
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
    assert!(ingress.actions.is_empty(), "answered twice");
}

#[test]
fn malformed_events_are_answered_or_ignored() {
    let mut ingress = TestIngress::new(settings(), 0);
    let id = ingress.request(0, 0, 1, 1.0);
    assert!(ingress.is_rejected(id), "admitted without an endpoint");
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
