use super::*;

/// An endpoint accepts ten connections and refuses the eleventh. Further attempts must not open an
/// eleventh at once, but the limit must be tested again step by step, since it may have been
/// temporary.
#[test]
fn limit_is_inferred_from_refusal_and_raised_each_second() {
    let limit = ConnectionLimit::infer(0.0, 10).expect("no limit was inferred");
    assert!(limit.allows(0.0, 9) && !limit.allows(0.0, 10));
    assert!(!limit.allows(999.0, 10) && limit.allows(1000.0, 10) && !limit.allows(1000.0, 11));
}

/// An endpoint is down, and connects fail while a few old connections are still open. No limit must
/// be inferred.
#[test]
fn no_limit_is_inferred_with_few_open_connections() {
    assert!(ConnectionLimit::infer(0.0, MIN_LIMIT - 1).is_none());
    assert!(ConnectionLimit::infer(0.0, MIN_LIMIT).is_some());
}
