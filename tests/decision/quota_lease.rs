//! Quota leases: the units that are requested, the requests that wait, and the units that remain.

use super::*;

#[test]
fn one_counter_call_in_flight_and_none_beyond_quota() {
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    for _ in 0..20 {
        ingress.request(0, 1, 5, 1.0);
        assert!(
            ingress.counter_calls().is_empty(),
            "second counter call in flight"
        );
    }
    // The window is exhausted: the excess is trimmed once, then requests are rejected without
    // calls.
    ingress.answer_counter(name, Outcome::Ok, 60.0);
    assert_eq!(
        ingress.counter_calls(),
        vec![(name, -amount)],
        "excess not subtracted by one call"
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
fn counter_answer_admits_or_rejects_waiting_request() {
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(0, 1, 5, 1.0);
    assert!(
        ingress.requests_sent().is_empty() && !ingress.is_rejected(id),
        "not waiting for the counter"
    );
    let (name, amount) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, amount);
    assert_eq!(ingress.requests_sent(), vec![id]);
    let id = ingress.request(0, 1, 6, 1.0);
    let (name, _) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, 60.0);
    assert!(
        ingress.is_rejected(id),
        "admitted although other ingresses have exhausted the window"
    );
}

#[test]
fn settled_units_are_taken_from_the_lease() {
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
        "next refill does not include the settled units: {asked}"
    );
}

#[test]
fn lease_of_infrequent_tenant_is_not_refilled_in_advance() {
    // A small bucket holds few requests. If each of a few ingresses leased one more in advance,
    // most of the bucket would be held by ingresses that do not use it, and the tenant would be
    // rejected within its quota.
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let (name, amount) = ingress.counter_calls()[0];
    ingress.answer_counter(name, Outcome::Ok, amount);
    assert_eq!((ingress.requests_sent().len(), amount), (1, 2.0));
    ingress.now += 0.5;
    assert_eq!(
        (ingress.request_unit(5).len(), ingress.counter_calls()),
        (1, vec![]),
        "second half of the lease not used, or a counter call made"
    );
    // A tenant whose demand during a lease exceeds one request has its lease refilled before it is
    // exhausted.
    let (mut ahead, mut total) = (0, 0.0);
    for _ in 0..12 {
        let sent = ingress.request_unit(6).len();
        if let Some(&(name, amount)) = ingress.counter_calls().first() {
            (ahead, total) = (ahead + sent, total + amount);
            ingress.answer_counter(name, Outcome::Ok, total);
        }
    }
    assert!(ahead > 0, "lease never refilled in advance");
}

#[test]
fn units_of_disconnected_client_remain_for_other_requests() {
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(0, 1, 5, 2.0);
    let [(name, amount)] = ingress.counter_calls()[..] else {
        panic!("expected exactly one counter call")
    };
    assert!(
        ingress.endpoints_sent_to(id).is_empty(),
        "sent before the counter answered"
    );
    ingress.handle(Event::ClientGone { id });
    ingress.now += 0.01;
    ingress.answer_counter(name, Outcome::Ok, amount);
    assert!(
        ingress.endpoints_sent_to(id).is_empty(),
        "attempt sent for a disconnected client"
    );
    // The whole lease remains.
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
