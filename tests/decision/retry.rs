//! Retries of requests that must not take effect twice.

use super::*;

#[test]
fn unsafe_request_is_retried_only_if_it_never_ran() {
    let mut ingress = TestIngress::new(settings(), 4);
    let id = ingress.request(2, 0, 1, 1.0);
    ingress.end_attempt(id, 0, Outcome::Rejected);
    assert_eq!(ingress.endpoints_sent_to(id).len(), 1);
    ingress.end_attempt(id, 1, Outcome::Reset);
    assert!(
        ingress.endpoints_sent_to(id).is_empty() && ingress.is_failed(id),
        "may have run, so it must fail without a retry or rejection"
    );
}

#[test]
fn keyed_requests_are_retried_within_their_group_and_window() {
    let mut ingress = TestIngress::new(settings(), 8);
    let id = ingress.request(1, 0, 1, 1.0);
    let first = ingress.endpoints_sent_to(id)[0];
    ingress.now += 0.1;
    ingress.end_attempt(id, 0, Outcome::Error);
    let second = ingress.endpoints_sent_to(id)[0];
    assert_eq!(first / 4, second / 4, "retried in another cell");
    ingress.now += 1.0;
    ingress.end_attempt(id, 1, Outcome::Error);
    assert!(
        ingress.endpoints_sent_to(id).is_empty() && ingress.is_failed(id),
        "retried after the idempotency window"
    );
}
