//! How far the ingress is drained: by `PAUSE`, until `RESUME`, or by the graceful shutdown of its process.
//!
//! A drain has stages, so that nobody is cut off: whoever sends clients here first hears that they should not come,
//! then connections end as soon as nothing is unanswered on them, and at last what still comes is rejected. The
//! frontends ask for the state and act on it; nothing here closes a connection or answers a client.

/// How long after `PAUSE` clients are served as before, ms: whoever sends clients here asks every 100 ms whether they
/// should come, and may send some for 200 ms after a no.
pub const NOTICE_MS: f64 = 400.0;
/// How long after `PAUSE` requests that still come are rejected, ms. Nothing is then under way long before the 4 s
/// that staff may count on.
pub const DRAINED_MS: f64 = 1500.0;

/// What becomes of clients and their requests, from one stage of a drain to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainState {
    /// Clients are served.
    Serving,
    /// The ingress says that it is not ready, and serves: whoever sends clients here has not heard of it yet.
    Notice,
    /// Connections end as soon as nothing is unanswered on them; requests that cross that are served.
    Draining,
    /// As before, but requests are rejected before any attempt.
    Drained,
}

/// When a process was told to stop, and for how long new clients may still come, ms.
#[derive(Clone, Copy, Debug)]
struct Stop {
    since_ms: f64,
    notice_ms: f64,
}

impl Stop {
    /// A stopping process never rejects: it serves what it has received.
    fn state(self, now: f64) -> DrainState {
        if now - self.since_ms < self.notice_ms {
            DrainState::Notice
        } else {
            DrainState::Draining
        }
    }
}

/// What the ingress has been told: to pause, or to stop. All times are ms of one clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainControl {
    /// Since when it is paused, ms.
    paused_since: Option<f64>,
    stop: Option<Stop>,
}

impl DrainControl {
    /// Begins to drain. False: it was paused before, and the stages go on from then.
    pub fn pause(&mut self, now: f64) -> bool {
        let first = self.paused_since.is_none();
        self.paused_since.get_or_insert(now);
        first
    }

    /// Ends a pause. False: it was not paused.
    pub fn resume(&mut self) -> bool {
        self.paused_since.take().is_some()
    }

    /// The process stops, for good; new clients may come for another `notice_ms`. The first call counts.
    pub fn stop(&mut self, now: f64, notice_ms: f64) {
        self.stop.get_or_insert(Stop {
            since_ms: now,
            notice_ms,
        });
    }

    /// Whether it is paused.
    pub fn paused(&self) -> bool {
        self.paused_since.is_some()
    }

    /// Whether the process is being stopped.
    pub fn stopped(&self) -> bool {
        self.stop.is_some()
    }

    /// The stage now: the further one where it is paused and stops.
    pub fn state(&self, now: f64) -> DrainState {
        let stopped = self
            .stop
            .map_or(DrainState::Serving, |stop| stop.state(now));
        let paused = self
            .paused_since
            .map_or(DrainState::Serving, |since| pause_state(now - since));
        stopped.max(paused)
    }
}

/// The stage so long after `PAUSE`, ms.
fn pause_state(elapsed_ms: f64) -> DrainState {
    if elapsed_ms < NOTICE_MS {
        DrainState::Notice
    } else if elapsed_ms < DRAINED_MS {
        DrainState::Draining
    } else {
        DrainState::Drained
    }
}

#[cfg(test)]
mod tests;
