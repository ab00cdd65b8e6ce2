//! Behaviour while the counter is unavailable or answers without a total.

use super::*;

#[test]
fn unavailable_counter_grants_even_share_of_the_rate() {
    // The counter answers no call for 20 s. Each of the two ingresses must grant half of the quota
    // locally, and must not call the counter with every request.
    let mut ingress = TestIngress::new(settings(), 4);
    let (mut admitted, mut calls) = (0, 0);
    for _ in 0..1000 {
        ingress.now += 0.02;
        ingress.request(0, 1, 5, 1.0);
        let mut sent = ingress.requests_sent();
        if let Some(&(name, _)) = ingress.counter_calls().first() {
            calls += 1;
            ingress.now += 0.05;
            ingress.answer_counter(name, Outcome::Timeout, 0.0);
            sent.extend(ingress.requests_sent());
        }
        admitted += sent.len();
        for id in sent {
            ingress.end_attempt(id, 0, Outcome::Ok);
        }
    }
    // 5 units a second over about 22 s, plus this ingress's share of the burst.
    assert!((60..=140).contains(&admitted), "{admitted}");
    assert!(calls < 120, "{calls} calls to an unavailable counter");
}

#[test]
fn counter_calls_stop_if_every_answer_is_an_error() {
    // An answer without a total triggers another call immediately. If every answer lacks a total,
    // the calls must stop.
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let mut calls = 0;
    while let Some(&(name, _)) = ingress.counter_calls().first() {
        calls += 1;
        assert!(calls < 10, "calls repeat without limit");
        ingress.answer_counter(name, Outcome::Error, 0.0);
    }
}
