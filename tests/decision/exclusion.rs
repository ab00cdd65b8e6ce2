//! Exclusion of an endpoint for one class or one plan.

use super::*;

#[test]
fn endpoint_failing_one_class_serves_other_classes() {
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
        "endpoint 0 got {} attempts of the failing class",
        to[0][0]
    );
    assert!(
        to[1][0] >= 5,
        "endpoint 0 got {} attempts of the other class",
        to[1][0]
    );
}

#[test]
fn endpoint_rejecting_one_plan_serves_other_plans() {
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
    // Two attempts at each endpoint, and one more after four seconds, since load might have been
    // the cause.
    assert!(to[0][0] + to[0][1] <= 6, "rejected plan: {:?}", to[0]);
    assert!(to[1][0] + to[1][1] >= 10, "other plans: {:?}", to[1]);
}

#[test]
fn late_endpoint_that_answers_others_is_not_excluded() {
    // Under overload, one late attempt used to exclude an endpoint for 20 s. The other endpoints
    // then got its requests and became late in turn, until few endpoints were left.
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
    let sent = ingress.request_all(0, 8);
    assert!(
        late.iter()
            .all(|(_, endpoint)| sent.iter().any(|m| m.1 == *endpoint)),
        "late {late:?}, sent {sent:?}"
    );
}

#[test]
fn timeouts_at_most_endpoints_exclude_none() {
    // Under overload most endpoints time out. If all of them were excluded, the few others would
    // get all requests and become late in turn.
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
    let sent = ingress.request_all(2, 8);
    assert!(
        (0..4).all(|endpoint| sent.iter().any(|m| m.1 == endpoint)),
        "{sent:?}"
    );
}
