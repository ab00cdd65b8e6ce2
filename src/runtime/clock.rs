//! The one clock of the program: nothing else asks the system for the time.
//!
//! Unix time is read once, at the start, and monotonic time is added to it from there. The names of the counter's
//! windows derive from it, so it has to agree over all ingresses. Guards against corrections of the system's clock: a
//! step back would count requests twice in one window.

use std::cell::Cell;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Latest instant, ms after the start: about 30 years. Guards against a time that `Instant` cannot hold.
const MAX_TIMER_MS: f64 = 1e12;

/// Milliseconds since the Unix epoch, never going back.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, ms.
    start_ms: f64,
    /// The time that a test has set, ms.
    fixed_ms: Cell<Option<f64>>,
}

impl Clock {
    /// A clock that runs with the system's, from the system's present time.
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

    /// A clock for tests: it stands at `ms` until it is set again.
    pub fn fixed(ms: f64) -> Clock {
        Clock {
            start: Instant::now(),
            start_ms: ms,
            fixed_ms: Cell::new(Some(ms)),
        }
    }

    /// Sets a test's clock; it never goes back.
    pub fn set(&self, ms: f64) {
        self.fixed_ms.set(Some(ms.max(self.now())));
    }

    /// The time, ms since the Unix epoch.
    pub fn now(&self) -> f64 {
        self.fixed_ms
            .get()
            .unwrap_or_else(|| self.start_ms + self.start.elapsed().as_secs_f64() * 1e3)
    }

    /// The instant at which this clock shows `ms`, for a timer.
    pub fn instant(&self, ms: f64) -> Instant {
        let after_ms = (ms - self.start_ms).clamp(0.0, MAX_TIMER_MS);
        self.start + Duration::from_secs_f64(after_ms / 1e3)
    }
}

#[cfg(test)]
mod tests;
