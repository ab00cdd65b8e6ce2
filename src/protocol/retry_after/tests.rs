//! Tests of Retry-After. If it were rounded down, a client would retry too early and be rejected
//! once more.

use super::*;

#[test]
fn retry_after_is_rounded_up() {
    assert_eq!(
        [0.0, 0.2, 250.0, 250.1].map(retry_after_whole_ms),
        [None, Some(1), Some(250), Some(251)]
    );
}
