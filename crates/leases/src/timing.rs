//! Timing rules: how long the holder may use a lease, and how long other ingresses wait, each by
//! its own clock. Clocks are assumed to be monotonic, to advance while a machine sleeps, and to run
//! within [`CLOCK_RATE_BOUND`] of the true rate. If a clock exceeds the bound, two ingresses may
//! act at the same time for a while; fencing tokens still prevent a receiver from accepting an old
//! token after a newer one.

#[cfg(test)]
mod tests;

/// Largest error of a clock's rate, relative to the true rate. Quartz clocks stay within 0.0002;
/// the margin covers virtual machines whose clocks are being adjusted.
pub const CLOCK_RATE_BOUND: f64 = 0.02;

/// Renewal attempts within one lease.
const RENEWALS_PER_LEASE: f64 = 3.0;

/// Returns when a lease expires by the holder's clock, ms. The lease counts from before its
/// proposal was sent; other ingresses count from when they observed the commit, which is always
/// later.
pub fn expires_ms(sent_ms: f64, lease_ms: f64) -> f64 {
    sent_ms + lease_ms
}

/// Returns how long other ingresses wait after they first observed the last grant or renewal, by
/// their own clocks, ms. The holder's clock has advanced by `lease_ms` after at most
/// `lease_ms / (1 - bound)` of true time; another clock advances by the returned wait after at
/// least `wait / (1 + bound)` of true time.
pub fn takeover_wait_ms(lease_ms: f64, clock_rate_bound: f64) -> f64 {
    lease_ms * (1.0 + clock_rate_bound) / (1.0 - clock_rate_bound)
}

/// Returns how long after sending the last proposal the holder renews the lease, ms.
pub fn renewal_interval_ms(lease_ms: f64) -> f64 {
    lease_ms / RENEWALS_PER_LEASE
}
