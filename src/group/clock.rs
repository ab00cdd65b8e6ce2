//! The clock of the group's thread.

use std::time::Instant;

/// Milliseconds since the thread began, as `driftgap_group` counts time. Monotonic.
pub(super) struct Clock(Instant);

impl Clock {
    /// Begins at 0.
    pub(super) fn start() -> Clock {
        Clock(Instant::now())
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1e3
    }
}

/// The group's lines of statistics are logged this often, ms.
pub(super) const STATISTICS_INTERVAL_MS: f64 = 10_000.0;
