//! How often a request met a dead connection, by how long that connection had been idle. Endpoints, or
//! machines on the way, that close idle connections without a word show it only in the next request, which
//! may then have run. So idle times at which connections are dead more often than new ones are not used.
//! Counts fade, so that they are tried again.

/// By how much the share of dead connections may exceed that of new ones.
const MAX_EXCESS_SHARE: f64 = 0.03;
/// Attempts added to every count of attempts, so that a few dead connections prove nothing.
const PRIOR_ATTEMPTS: f64 = 20.0;
/// The part of all counts that is kept each second.
const KEPT_EACH_SECOND: f64 = 0.95;
/// Classes of idle time: new connections, then idle times below 8, 16, 32 ms and so on.
const IDLE_CLASSES: usize = 13;

/// A class of idle time; 0: the connection was new.
pub(super) type IdleClass = usize;

/// The class of a new connection.
pub(super) const NEW_CONNECTION: IdleClass = 0;

/// The class of a connection that has been idle for this long, ms.
pub(super) fn idle_class(idle_ms: f64) -> IdleClass {
    let doublings = idle_ms.max(1.0).log2() as usize;
    (doublings.saturating_sub(2) + 1).min(IDLE_CLASSES - 1)
}

/// Counts by class of idle time.
#[derive(Default)]
pub(super) struct DeadConnections {
    attempts: [f64; IDLE_CLASSES],
    dead: [f64; IDLE_CLASSES],
}

impl DeadConnections {
    /// Notes an attempt over a connection of this class, and whether the connection was dead.
    pub(super) fn note(&mut self, class: IdleClass, dead: bool) {
        self.attempts[class] += 1.0;
        self.dead[class] += f64::from(u8::from(dead));
    }

    /// Lets counts fade; called once a second.
    pub(super) fn fade(&mut self) {
        self.attempts
            .iter_mut()
            .chain(&mut self.dead)
            .for_each(|count| *count *= KEPT_EACH_SECOND);
    }

    /// Whether a connection of this class is worse than a new one. A class is so if a shorter idle time is:
    /// connections do not come back to life.
    pub(super) fn is_suspect(&self, class: IdleClass) -> bool {
        let dead_share =
            |class: IdleClass| self.dead[class] / (self.attempts[class] + PRIOR_ATTEMPTS);
        let acceptable = dead_share(NEW_CONNECTION) + MAX_EXCESS_SHARE;
        (1..=class).any(|class| dead_share(class) > acceptable)
    }
}

#[cfg(test)]
mod tests;
