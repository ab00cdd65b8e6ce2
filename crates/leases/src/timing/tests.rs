//! Timing rules at the limits of the clock rate bound.

use super::*;

/// Guards against two holders at once: the holder's clock is as slow as permitted and the waiting
/// clock as fast as permitted. The lease must expire before the other ingress acquires it.
#[test]
fn takeover_wait_covers_the_lease_at_clock_rate_bounds() {
    for lease in [1.0, 2000.0, 60_000.0] {
        let expired_from = lease / (1.0 - CLOCK_RATE_BOUND);
        let granted_from = takeover_wait_ms(lease, CLOCK_RATE_BOUND) / (1.0 + CLOCK_RATE_BOUND);
        assert!(granted_from >= expired_from * (1.0 - 1e-12), "{lease}");
    }
    assert_eq!(expires_ms(5.0, 10.0), 15.0);
    assert!(3.0 * renewal_interval_ms(2000.0) <= 2000.0);
}
