//! The one clock of the program. It owns the anchor that ties monotonic time to Unix time, taken once at
//! start: counter window names derive from it, so it must agree over all ingresses and must never step back
//! or follow later corrections of the system's clock. It must never be bypassed: nothing else asks the
//! system for the time.

use std::cell::Cell;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Milliseconds since the Unix epoch, never going back.
#[derive(Debug)]
pub struct Clock {
    start: Instant,
    anchor: f64,
    set: Cell<Option<f64>>,
}

impl Clock {
    /// A clock that runs with the system's, from the system's present time.
    pub fn system() -> Clock {
        let anchor = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0.0, |d| d.as_secs_f64() * 1e3);
        Clock {
            start: Instant::now(),
            anchor,
            set: Cell::new(None),
        }
    }

    /// A clock for tests: it stands at `ms` until it is set again.
    pub fn fixed(ms: f64) -> Clock {
        Clock {
            start: Instant::now(),
            anchor: ms,
            set: Cell::new(Some(ms)),
        }
    }

    /// Sets a test's clock; it never goes back.
    pub fn set(&self, ms: f64) {
        self.set.set(Some(ms.max(self.now())));
    }

    /// The time.
    pub fn now(&self) -> f64 {
        self.set
            .get()
            .unwrap_or_else(|| self.anchor + self.start.elapsed().as_secs_f64() * 1e3)
    }

    /// The instant at which this clock shows `ms`, for a timer.
    pub fn instant(&self, ms: f64) -> Instant {
        let after = (ms - self.anchor).clamp(0.0, 1e12);
        self.start + std::time::Duration::from_secs_f64(after / 1e3)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_set_clock_stands_still_and_never_goes_back() {
        let clock = Clock::fixed(1e12);
        clock.set(1e12 + 5.0);
        clock.set(1e12);
        assert_eq!(clock.now(), 1e12 + 5.0);
        assert_eq!(
            clock.instant(1e12 + 20.0) - clock.instant(1e12),
            std::time::Duration::from_millis(20)
        );
    }

    #[test]
    fn the_systems_clock_shows_unix_time_and_runs_on() {
        let clock = Clock::system();
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap()
            .as_secs_f64()
            * 1e3;
        let first = clock.now();
        assert!((first - unix).abs() < 1000.0, "{first} beside {unix}");
        assert!(clock.now() >= first);
    }
}
