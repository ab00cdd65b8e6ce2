//! The rules of time. They own how long a lease may be used and how long others wait, each by one clock. Clocks are
//! monotonic, go on while a machine sleeps, and run within [`BOUND`] of the true rate: nothing else is assumed of
//! them. Were the bound wrong two ingresses could act at once for a while; tokens would still keep what receives their
//! acts from taking an old one behind a new one.

/// Clocks run this much too fast or too slow at most: a part of the true rate. Quartz is within 0.0002; the rest is for
/// virtual machines whose clocks are being set right.
pub const BOUND: f64 = 0.02;

/// Until when a lease may be used, by the clock of who holds it, ms. It counts from before its wish was sent: whoever
/// waits saw the wish carried out later than that.
pub fn ends(sent: f64, lease_ms: f64) -> f64 {
    sent + lease_ms
}

/// How long somebody else waits from when it first saw the last grant or renewal, by its own clock, ms. The holder's
/// clock shows `lease` after `lease / (1 - bound)` of true time at the latest; this one shows `wait` after
/// `wait / (1 + bound)` at the earliest.
pub fn wait(lease_ms: f64, bound: f64) -> f64 {
    lease_ms * (1.0 + bound) / (1.0 - bound)
}

/// When the holder renews: three tries fit into a lease, ms after the last one was sent.
pub fn renew_after(lease_ms: f64) -> f64 {
    lease_ms / 3.0
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn nobody_is_granted_before_the_slowest_holder_is_done_by_the_fastest_waiting_clock() {
        for lease in [1.0, 2000.0, 60_000.0] {
            let used_until = lease / (1.0 - BOUND);
            let granted_from = wait(lease, BOUND) / (1.0 + BOUND);
            assert!(granted_from >= used_until * (1.0 - 1e-12), "{lease}");
        }
        assert_eq!(ends(5.0, 10.0), 15.0);
        assert!(3.0 * renew_after(2000.0) <= 2000.0);
    }
}
