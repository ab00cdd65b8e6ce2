//! The rules of time: how long a lease may be used by its holder, and how long others wait, each by its own clock. Clocks
//! are monotonic, go on while a machine sleeps, and run within [`CLOCK_RATE_BOUND`] of the true rate: nothing else is
//! assumed of them. Were the bound wrong, two ingresses could act at once for a while; tokens would still keep what
//! receives their acts from taking an old one behind a new one.

#[cfg(test)]
mod tests;

/// Clocks run this much too fast or too slow at most: a part of the true rate. Quartz is within 0.0002; the rest is for
/// virtual machines whose clocks are being set right.
pub const CLOCK_RATE_BOUND: f64 = 0.02;

/// Attempts to renew that fit into a lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// When a lease expires by the clock of its holder, ms. It counts from before its proposal was sent: whoever waits for
/// its end saw the proposal carried out later than that.
pub fn expires_ms(sent_ms: f64, lease_ms: f64) -> f64 {
    sent_ms + lease_ms
}

/// How long others wait from when they first saw the last grant or renewal, by their own clocks, ms. The holder's clock
/// shows `lease_ms` after `lease_ms / (1 - bound)` of true time at the latest; another one shows the result after
/// `result / (1 + bound)` at the earliest.
pub fn takeover_wait_ms(lease_ms: f64, clock_rate_bound: f64) -> f64 {
    lease_ms * (1.0 + clock_rate_bound) / (1.0 - clock_rate_bound)
}

/// How long after the last proposal was sent the holder renews, ms.
pub fn renewal_interval_ms(lease_ms: f64) -> f64 {
    lease_ms / RENEWALS_PER_LEASE
}
