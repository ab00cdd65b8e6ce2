//! Exclusion of an endpoint for one class or one plan.

use super::*;

#[test]
fn an_endpoint_that_fails_one_class_keeps_the_others() {
    let mut ingress = TestIngress::new(settings(), 4);
    let mut to = [[0; 4]; 2];
    for i in 0..80 {
        ingress.now += 0.05;
        let class = i % 2;
        let id = ingress.request(if class == 0 { 0 } else { 3 }, 0, 1, 1.0);
        let (mut attempt, mut sent) = (0, ingress.endpoints_sent_to(id));
        while let Some(endpoint) = sent.pop() {
            to[class][endpoint as usize] += 1;
            ingress.now += 0.125;
            let fails = class == 0 && endpoint == 0;
            ingress.end_attempt(
                id,
                attempt,
                if fails { Outcome::Error } else { Outcome::Ok },
            );
            attempt += 1;
            sent = ingress.endpoints_sent_to(id);
        }
    }
    assert!(
        to[0][0] <= 1,
        "the failing class went there {} times",
        to[0][0]
    );
    assert!(
        to[1][0] >= 5,
        "the other class went there {} times",
        to[1][0]
    );
}

#[test]
fn rejecting_one_plan_neither_ejects_nor_keeps_other_plans_away() {
    let mut settings = settings();
    settings.plans.push(settings.plans[0].clone());
    let mut ingress = TestIngress::new(settings, 4);
    let mut to = [[0; 4]; 2];
    for i in 0..80 {
        ingress.now += 0.05;
        let throttled = i % 2;
        let id = ingress.request(0, if throttled == 0 { 2 } else { 0 }, 1, 1.0);
        let (mut attempt, mut sent) = (0, ingress.endpoints_sent_to(id));
        while let Some(endpoint) = sent.pop() {
            to[throttled][endpoint as usize] += 1;
            ingress.now += 0.125;
            let full = throttled == 0 && endpoint < 2;
            ingress.end_attempt(
                id,
                attempt,
                if full { Outcome::Rejected } else { Outcome::Ok },
            );
            attempt += 1;
            sent = ingress.endpoints_sent_to(id);
        }
    }
    // Twice to each, and four seconds later once more: it might have been load.
    assert!(to[0][0] + to[0][1] <= 6, "throttled, and sent {:?}", to[0]);
    assert!(to[1][0] + to[1][1] >= 10, "other plans: {:?}", to[1]);
}

#[test]
fn an_endpoint_that_is_late_while_it_answers_others_is_not_excluded() {
    // In an overload, one late attempt once excluded an endpoint for 20 s. The others got its requests and were late
    // next, until few endpoints were left.
    let mut settings = settings();
    (settings.hedging, settings.ingresses) = (false, 1);
    let mut ingress = TestIngress::new(settings, 4);
    let late = ingress.request_all(0, 2);
    let quick = ingress.request_all(3, 4);
    ingress.now += 0.1;
    quick
        .iter()
        .for_each(|(id, _)| ingress.end_attempt(*id, 0, Outcome::Ok));
    ingress.tick(0.3);
    let met = ingress.request_all(0, 8);
    assert!(
        late.iter()
            .all(|(_, endpoint)| met.iter().any(|m| m.1 == *endpoint)),
        "late {late:?}, met {met:?}"
    );
}

#[test]
fn timeouts_at_most_endpoints_exclude_nobody() {
    // Under overload most endpoints time out. If all of them were excluded, the few others would get everything and be
    // late next.
    let mut settings = settings();
    (settings.hedging, settings.ingresses) = (false, 1);
    let mut ingress = TestIngress::new(settings, 4);
    let overloaded = ingress.request_all(2, 6);
    ingress.now += 0.1;
    for (id, endpoint) in overloaded {
        ingress.end_attempt(
            id,
            0,
            if endpoint == 3 {
                Outcome::Ok
            } else {
                Outcome::Timeout
            },
        );
    }
    let met = ingress.request_all(2, 8);
    assert!(
        (0..4).all(|endpoint| met.iter().any(|m| m.1 == endpoint)),
        "{met:?}"
    );
}
