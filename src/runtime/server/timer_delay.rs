//! How late timers run. The process has one thread, so the delay shows how long one task, or the
//! system, has held it.

use std::cell::Cell;

/// A delay from which a round of timers is logged, ms: half of the time after which an answer that is
/// late for its client is lost.
const LOGGED_DELAY_MS: f64 = 250.0;

/// Delays of the rounds of timers.
#[derive(Debug, Default)]
pub(super) struct TimerDelay {
    longest_ms: Cell<f64>,
    long_delays: Cell<u64>,
}

impl TimerDelay {
    /// Records a round that was due at `due_ms` and began at `now_ms`.
    pub(super) fn record(&self, due_ms: f64, now_ms: f64) {
        let delay_ms = now_ms - due_ms;
        self.longest_ms.set(self.longest_ms.get().max(delay_ms));
        if delay_ms < LOGGED_DELAY_MS {
            return;
        }
        self.long_delays.set(self.long_delays.get() + 1);
        tracing::warn!(
            delay_ms = delay_ms.round(),
            "timers ran late: a task held the thread, or the process did not run"
        );
    }

    /// Returns the longest delay since the last call, ms.
    pub(super) fn take_longest_ms(&self) -> f64 {
        self.longest_ms.take()
    }

    /// Returns the number of logged delays since the start.
    pub(super) fn long_delays(&self) -> u64 {
        self.long_delays.get()
    }
}

#[cfg(test)]
mod tests;
