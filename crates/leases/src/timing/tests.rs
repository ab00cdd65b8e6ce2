//! The rules of time at the ends of the clocks' bound.

use super::*;

/// The holder's clock is as slow as it may be and the waiting one as fast: the holder must be done before the other one
/// acquires the lease.
#[test]
fn nobody_is_granted_before_the_slowest_holder_is_done_by_the_fastest_waiting_clock() {
    for lease in [1.0, 2000.0, 60_000.0] {
        let used_until = lease / (1.0 - CLOCK_RATE_BOUND);
        let granted_from = takeover_wait_ms(lease, CLOCK_RATE_BOUND) / (1.0 + CLOCK_RATE_BOUND);
        assert!(granted_from >= used_until * (1.0 - 1e-12), "{lease}");
    }
    assert_eq!(expires_ms(5.0, 10.0), 15.0);
    assert!(3.0 * renewal_interval_ms(2000.0) <= 2000.0);
}
