//! The clock of the group's thread.

use std::time::Instant;

/// Monotonic milliseconds since the thread started, which is the time scale of `driftgap_group`.
pub(super) struct Clock(Instant);

impl Clock {
    /// Starts at 0.
    pub(super) fn start() -> Clock {
        Clock(Instant::now())
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.0.elapsed().as_secs_f64() * 1e3
    }
}

/// Interval between the group's lines of statistics in the log, ms.
pub(super) const STATISTICS_INTERVAL_MS: f64 = 10_000.0;
