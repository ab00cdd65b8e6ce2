//! Tests of Retry-After. The failure: a client that is told too early a time comes back to be rejected once more.

use super::*;

#[test]
fn retry_after_is_never_earlier_than_was_meant() {
    assert_eq!(
        [0.0, 0.2, 250.0, 250.1].map(retry_after_whole_ms),
        [None, Some(1), Some(250), Some(251)]
    );
}
