//! The drain state of an ingress: drained by `PAUSE` until `RESUME`, or by the graceful shutdown of
//! its process.
//!
//! A drain has stages, so that no client is disconnected within a request. First the ingress
//! reports that it is not ready, then connections close as soon as no request is unanswered on
//! them, and at last new requests are rejected. The frontends query the state and act on it;
//! nothing here closes a connection or answers a client.

/// Time after `PAUSE` during which clients are served as before, ms. Load balancers check readiness
/// every 100 ms, and may route clients here for 200 ms after a negative answer.
pub const NOTICE_MS: f64 = 400.0;
/// Time after `PAUSE` from which new requests are rejected, ms. All requests have then ended well
/// within the 4 s that operators may rely on.
pub const DRAINED_MS: f64 = 1500.0;

/// The stages of a drain, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainState {
    /// Clients are served.
    Serving,
    /// The ingress reports that it is not ready, but serves: load balancers may not have noticed
    /// yet.
    Notice,
    /// Connections close as soon as no request is unanswered on them; requests that still arrive
    /// are served.
    Draining,
    /// As `Draining`, but requests are rejected before any attempt.
    Drained,
}

/// When the stages of a shutdown begin, ms after its start.
#[derive(Clone, Copy, Debug)]
pub struct StopStages {
    /// Start of [`DrainState::Draining`]: until then new clients may still connect.
    pub draining_ms: f64,
    /// Start of [`DrainState::Drained`]: requests that arrive later could not be finished before the
    /// process exits.
    pub drained_ms: f64,
}

/// A shutdown: when it began, and its stages.
#[derive(Clone, Copy, Debug)]
struct Stop {
    since_ms: f64,
    stages: StopStages,
}

impl Stop {
    fn state(self, now: f64) -> DrainState {
        let elapsed_ms = now - self.since_ms;
        if elapsed_ms < self.stages.draining_ms {
            DrainState::Notice
        } else if elapsed_ms < self.stages.drained_ms {
            DrainState::Draining
        } else {
            DrainState::Drained
        }
    }
}

/// The pause and shutdown of an ingress. All times are ms of one clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainControl {
    /// When the pause began, ms; `None` if the ingress is not paused.
    paused_since: Option<f64>,
    stop: Option<Stop>,
}

impl DrainControl {
    /// Pauses the ingress. Returns false if it was paused already; its stages then continue from
    /// the first pause.
    pub fn pause(&mut self, now: f64) -> bool {
        let first = self.paused_since.is_none();
        self.paused_since.get_or_insert(now);
        first
    }

    /// Ends a pause. Returns false if the ingress was not paused.
    pub fn resume(&mut self) -> bool {
        self.paused_since.take().is_some()
    }

    /// Begins the shutdown, which cannot be undone. Only the first call has an effect.
    pub fn stop(&mut self, now: f64, stages: StopStages) {
        self.stop.get_or_insert(Stop {
            since_ms: now,
            stages,
        });
    }

    /// Returns whether the ingress is paused.
    pub fn paused(&self) -> bool {
        self.paused_since.is_some()
    }

    /// Returns whether the process is shutting down.
    pub fn stopped(&self) -> bool {
        self.stop.is_some()
    }

    /// Returns the current stage: the later of the two if the ingress is both paused and shutting
    /// down.
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

/// Returns the stage at `elapsed_ms` after `PAUSE`.
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
