//! A counter that is unavailable, or answers without a number.

use super::*;

#[test]
fn an_unavailable_counter_leaves_an_even_share_of_the_rate() {
    // The counter answers no call for 20 s. Each of the two ingresses gives half of the quota by itself, and does not
    // try the counter with every request.
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
    // 5 units a second over about 22 s, and the burst's share.
    assert!((60..=140).contains(&admitted), "{admitted}");
    assert!(calls < 120, "{calls} calls to a dead counter");
}

#[test]
fn a_counter_that_answers_only_with_errors_is_not_called_without_end() {
    // An answer without a number is followed by a call at once. Where every answer is one, that would never end.
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let mut calls = 0;
    while let Some(&(name, _)) = ingress.counter_calls().first() {
        calls += 1;
        assert!(calls < 10, "call after call");
        ingress.answer_counter(name, Outcome::Error, 0.0);
    }
}
