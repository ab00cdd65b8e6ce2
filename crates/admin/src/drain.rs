//! How far the ingress has been emptied: by a call, until another one takes it back, or by the stop of its process.
//! It owns the stages of that and their times. It must never close a connection or answer a client itself.

/// Those who send clients here hear a no within this long, ms: until then new ones keep coming.
pub const NOTICE_MS: f64 = 400.0;
/// So long after a call to empty the ingress, commands that still come are rejected unsent, ms.
pub const DRAINED_MS: f64 = 1500.0;

/// What becomes of clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainState {
    /// They are served.
    Serving,
    /// They are told to go elsewhere, and served: those who send them have not heard of it yet.
    Notice,
    /// Connections end as soon as nothing is owed on them; commands that cross that are served.
    Draining,
    /// As before, but commands are rejected unsent.
    Drained,
}

/// The stages.
#[derive(Clone, Copy, Debug, Default)]
pub struct DrainControl {
    paused: Option<f64>,
    stopped: Option<(f64, f64)>,
}

impl DrainControl {
    /// A call to empty the ingress; false: it was being emptied before, and goes on from there.
    pub fn pause(&mut self, now: f64) -> bool {
        let first = self.paused.is_none();
        self.paused.get_or_insert(now);
        first
    }

    /// A call to take clients again; false: it did so before.
    pub fn resume(&mut self) -> bool {
        self.paused.take().is_some()
    }

    /// The process is stopped, for good; new clients may come for so long, ms.
    pub fn stop(&mut self, now: f64, notice: f64) {
        self.stopped.get_or_insert((now, notice));
    }

    /// Whether a call has emptied it.
    pub fn paused(&self) -> bool {
        self.paused.is_some()
    }

    /// Whether the process is being stopped.
    pub fn stopped(&self) -> bool {
        self.stopped.is_some()
    }

    /// What becomes of clients now.
    pub fn state(&self, now: f64) -> DrainState {
        let stopped = self.stopped.map_or(DrainState::Serving, |(since, notice)| {
            if now - since < notice {
                DrainState::Notice
            } else {
                DrainState::Draining
            }
        });
        let paused = self
            .paused
            .map_or(DrainState::Serving, |since| match now - since {
                ms if ms < NOTICE_MS => DrainState::Notice,
                ms if ms < DRAINED_MS => DrainState::Draining,
                _ => DrainState::Drained,
            });
        stopped.max(paused)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_empties_it_by_stages_and_another_takes_clients_again() {
        let mut drain = DrainControl::default();
        assert_eq!(drain.state(1e12), DrainState::Serving);
        assert!(
            drain.pause(1000.0) && !drain.pause(1300.0),
            "a repeated call does not begin anew"
        );
        let way = |ms: f64| drain.state(ms);
        assert_eq!(
            [1000.0, 1399.0, 1400.0, 2499.0, 2500.0, 1e9].map(way),
            [
                DrainState::Notice,
                DrainState::Notice,
                DrainState::Draining,
                DrainState::Draining,
                DrainState::Drained,
                DrainState::Drained
            ]
        );
        assert!(drain.paused() && drain.resume() && !drain.resume() && !drain.paused());
        assert_eq!(drain.state(5000.0), DrainState::Serving);
    }

    #[test]
    fn a_stop_serves_what_still_comes_and_nothing_takes_it_back() {
        let mut drain = DrainControl::default();
        drain.stop(1000.0, 500.0);
        drain.stop(9000.0, 0.0);
        assert_eq!(
            [1499.0, 1500.0, 1e9].map(|ms| drain.state(ms)),
            [
                DrainState::Notice,
                DrainState::Draining,
                DrainState::Draining
            ]
        );
        assert!(!drain.resume() && drain.stopped() && !drain.paused());
        drain.pause(1400.0);
        assert_eq!(
            [1500.0, 3000.0].map(|ms| drain.state(ms)),
            [DrainState::Draining, DrainState::Drained],
            "the further one counts"
        );
    }
}
