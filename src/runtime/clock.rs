//! The process clock. All other modules get the time from here; none reads the system clock.
//!
//! [`Clock`] reads Unix time once, when it is created, and adds monotonic time to it. A correction
//! of the system clock therefore never moves it back, which would count requests twice in one
//! counter window. The windows of the counter are named after Unix time, so that all ingresses use
//! the same names.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Latest supported instant, ms after the clock's start (about 30 years). Keeps `Instant`
/// arithmetic from overflowing.
const MAX_TIMER_MS: f64 = 1e12;

/// A clock in milliseconds since the Unix epoch that never goes back.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, ms.
    start_ms: f64,
    /// The time that a test has set, ms; `None` for a running clock.
    fixed_ms: Cell<Option<f64>>,
}

impl Clock {
    /// Creates a running clock from the current system time.
    pub fn system() -> Clock {
        let start_ms = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |d| d.as_secs_f64() * 1e3);
        Clock {
            start: Instant::now(),
            start_ms,
            fixed_ms: Cell::new(None),
        }
    }

    /// Creates a clock for tests that stands at `ms` until [`Clock::set`] moves it.
    pub fn fixed(ms: f64) -> Clock {
        Clock {
            start: Instant::now(),
            start_ms: ms,
            fixed_ms: Cell::new(Some(ms)),
        }
    }

    /// Sets the time of a test clock. An earlier time than the current one has no effect.
    pub fn set(&self, ms: f64) {
        self.fixed_ms.set(Some(ms.max(self.now())));
    }

    /// Returns the current time, ms since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.fixed_ms
            .get()
            .unwrap_or_else(|| self.start_ms + self.start.elapsed().as_secs_f64() * 1e3)
    }

    /// Returns the instant at which this clock shows `ms`, for use as a timer deadline.
    pub fn instant(&self, ms: f64) -> Instant {
        let after_ms = (ms - self.start_ms).clamp(0.0, MAX_TIMER_MS);
        self.start + Duration::from_secs_f64(after_ms / 1e3)
    }
}

#[cfg(test)]
mod tests;
