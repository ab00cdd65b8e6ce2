//! Leases: what is asked for, what waits for it, and what is left over.

use super::*;

#[test]
fn one_counter_call_is_in_flight_and_a_flood_costs_none() {
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    for _ in 0..20 {
        ingress.request(0, 1, 5, 1.0);
        assert!(ingress.counter_calls().is_empty(), "a second add in flight");
    }
    // The window is used up: the excess is trimmed once, then the flood is rejected without calls.
    ingress.answer_counter(name, Outcome::Ok, 60.0);
    assert_eq!(
        ingress.counter_calls(),
        vec![(name, -amount)],
        "trimmed by a negative add"
    );
    ingress.answer_counter(name, Outcome::Ok, 60.0 - amount);
    let mut calls = 0;
    for _ in 0..200 {
        let id = ingress.request(0, 1, 5, 1.0);
        assert!(ingress.is_rejected(id));
        calls += ingress.counter_calls().len();
    }
    assert_eq!(calls, 0);
}

#[test]
fn a_request_waits_for_the_counter_and_is_admitted_or_rejected_by_its_answer() {
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(0, 1, 5, 1.0);
    assert!(
        ingress.requests_sent().is_empty() && !ingress.is_rejected(id),
        "held"
    );
    let (name, amount) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, amount);
    assert_eq!(ingress.requests_sent(), vec![id]);
    let id = ingress.request(0, 1, 6, 1.0);
    let (name, _) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, 60.0);
    assert!(ingress.is_rejected(id), "the others used the window up");
}

#[test]
fn units_settled_later_are_taken_from_the_lease() {
    let mut settings = settings();
    settings.settles_units_later = true;
    let mut ingress = TestIngress::new(settings, 4);
    let id = ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, amount);
    let end = AttemptEnd {
        id,
        attempt: 0,
        outcome: Outcome::Ok,
        request_finished: true,
        settled_units: Some(15.0),
        report: vec![],
    };
    ingress.handle(Event::AttemptEnded(end));
    ingress.request(0, 1, 5, 1.0);
    let asked: f64 = ingress.counter_calls().iter().map(|c| c.1).sum();
    assert!(
        asked >= 13.0,
        "the next refill settles the guess, not {asked}"
    );
}

#[test]
fn a_tenant_that_comes_now_and_then_has_no_lease_refilled_ahead() {
    // A small bucket holds few requests. When each of a few ingresses leased one more ahead, most of the bucket was held
    // where nobody asked for it, and the tenant was rejected within its quota.
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, amount);
    assert_eq!((ingress.requests_sent().len(), amount), (1, 2.0));
    ingress.now += 0.5;
    assert_eq!(
        (ingress.request_unit(5).len(), ingress.counter_calls()),
        (1, vec![]),
        "the lease's second half, and no call"
    );
    // One that asks more in a lease's time than one request has its lease refilled before it is used up.
    let (mut ahead, mut total) = (0, 0.0);
    for _ in 0..12 {
        let sent = ingress.request_unit(6).len();
        if let Some(&(name, amount)) = ingress.counter_calls().first() {
            (ahead, total) = (ahead + sent, total + amount);
            ingress.answer_counter(name, Outcome::Ok, total);
        }
    }
    assert!(ahead > 0, "never refilled ahead");
}

#[test]
fn units_of_a_client_that_left_while_the_counter_was_asked_are_there_for_others() {
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(0, 1, 5, 2.0);
    let [(name, amount)] = ingress.counter_calls()[..] else {
        panic!("the counter is asked once")
    };
    assert!(ingress.endpoints_sent_to(id).is_empty(), "it waits");
    ingress.handle(Event::ClientGone { id });
    ingress.now += 0.01;
    ingress.answer_counter(name, Outcome::Ok, amount);
    assert!(
        ingress.endpoints_sent_to(id).is_empty(),
        "nothing is begun for a client that has gone"
    );
    // All of the lease is left.
    let mut sent = 0.0;
    loop {
        let id = ingress.request(0, 1, 5, 2.0);
        if ingress.endpoints_sent_to(id).is_empty() {
            break;
        }
        sent += 2.0;
    }
    assert!(sent > amount - 2.0, "{sent} of {amount} units");
}
