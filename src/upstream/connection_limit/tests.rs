use super::*;

/// An endpoint accepts ten connections and refuses the eleventh. Further attempts must not ask for an
/// eleventh at once, but the limit is tested again bit by bit, since it may have been a passing one.
#[test]
fn a_limit_is_learnt_from_a_refusal_and_lifted_by_one_a_second() {
    let limit = ConnectionLimit::learn(0.0, 10).expect("a limit");
    assert!(limit.allows(0.0, 9) && !limit.allows(0.0, 10));
    assert!(!limit.allows(999.0, 10) && limit.allows(1000.0, 10) && !limit.allows(1000.0, 11));
}

/// An endpoint is down, and connects fail while a few old connections are still open. That says nothing of a limit.
#[test]
fn a_refusal_beside_few_connections_teaches_nothing() {
    assert!(ConnectionLimit::learn(0.0, MIN_LIMIT - 1).is_none());
    assert!(ConnectionLimit::learn(0.0, MIN_LIMIT).is_some());
}
