//! Ejection of failing endpoints, and the limit on ejected endpoints.

use super::*;

#[test]
fn consecutive_errors_eject_endpoint_until_health_check() {
    let mut ingress = TestIngress::new(settings(), 4);
    for i in 0..40 {
        let id = ingress.request([0, 1, 3][i % 3], 0, 1, 1.0);
        let mut attempt = 0;
        let mut to = ingress.endpoints_sent_to(id);
        while let Some(endpoint) = to.pop() {
            ingress.now += 0.125;
            ingress.end_attempt(
                id,
                attempt,
                if endpoint == 0 {
                    Outcome::Error
                } else {
                    Outcome::Ok
                },
            );
            attempt += 1;
            to = ingress.endpoints_sent_to(id);
        }
    }
    let to_bad = |ingress: &mut TestIngress| {
        (0..12)
            .filter(|_| {
                let id = ingress.request(0, 0, 1, 1.0);
                let bad = ingress.endpoints_sent_to(id).contains(&0);
                ingress.end_attempt(id, 0, Outcome::Ok);
                bad
            })
            .count()
    };
    assert_eq!(to_bad(&mut ingress), 0);
    ingress.tick(10.0);
    assert!(ingress.actions.contains(&Action::Probe { endpoint: 0 }));
}

#[test]
fn endpoints_are_not_ejected_if_all_fail() {
    // A fault behind the endpoints makes all of them fail. Ejecting them would reject requests that
    // might still succeed.
    let mut ingress = TestIngress::new(settings(), 4);
    for _ in 0..60 {
        ingress.now += 0.01;
        let id = ingress.request(2, 0, 1, 1.0);
        if !ingress.endpoints_sent_to(id).is_empty() {
            ingress.end_attempt(id, 0, Outcome::Error);
        }
    }
    let id = ingress.request(0, 0, 1, 1.0);
    assert_eq!(
        ingress.endpoints_sent_to(id).len(),
        1,
        "no endpoint is tried"
    );
}
