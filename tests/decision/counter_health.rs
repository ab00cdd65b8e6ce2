//! A counter that is unavailable, or answers without a number.

use super::*;

#[test]
fn an_unavailable_counter_leaves_an_even_share_of_the_rate() {
    let mut ingress = TestIngress::new(settings(), 4);
    let (mut admitted, mut calls) = (0, 0);
    for _ in 0..1000 {
        ingress.now += 0.02;
        ingress.request(0, 1, 5, 1.0);
        let mut sent = ingress.requests_sent();
        if let Some(&(name, _)) = ingress.counter_calls().first() {
            calls += 1;
            ingress.now += 0.05;
            ingress.handle(Event::CounterAnswered {
                name,
                outcome: Outcome::Timeout,
                total: 0.0,
            });
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
    let mut ingress = TestIngress::new(settings(), 4);
    ingress.request(0, 1, 5, 1.0);
    let mut calls = 0;
    while let Some(&(name, _)) = ingress.counter_calls().first() {
        calls += 1;
        assert!(calls < 10, "call after call");
        ingress.handle(Event::CounterAnswered {
            name,
            outcome: Outcome::Error,
            total: 0.0,
        });
    }
}
