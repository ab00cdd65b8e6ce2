//! Rates of dead connections by idle time. Endpoints, or intermediaries, may drop idle connections
//! without closing them. This shows only when the next request fails, and that request may have
//! run. Connections are therefore not reused after idle times at which they are dead more often than
//! new ones. The counts decay, so that these idle times are tried again.

/// Maximum excess of an idle class's share of dead connections over that of new connections.
const MAX_EXCESS_SHARE: f64 = 0.03;
/// Attempts added to the attempts of each class, so that a few dead connections do not make it
/// suspect.
const PRIOR_ATTEMPTS: f64 = 20.0;
/// Share of all counts that remains after each second.
const RETAINED_PER_SECOND: f64 = 0.95;
/// Number of classes of idle time: new connections, then idle times below 8 ms, 16 ms, 32 ms and so
/// on.
const IDLE_CLASSES: usize = 13;

/// A class of idle time; 0 is a new connection.
pub(super) type IdleClass = usize;

/// The class of a new connection.
pub(super) const NEW_CONNECTION: IdleClass = 0;

/// Returns the class of a connection that has been idle for `idle_ms`.
pub(super) fn idle_class(idle_ms: f64) -> IdleClass {
    let doublings = idle_ms.max(1.0).log2() as usize;
    (doublings.saturating_sub(2) + 1).min(IDLE_CLASSES - 1)
}

/// Attempts and dead connections by class of idle time.
#[derive(Default)]
pub(super) struct DeadConnections {
    attempts: [f64; IDLE_CLASSES],
    dead: [f64; IDLE_CLASSES],
}

impl DeadConnections {
    /// Records an attempt over a connection of this class, and whether the connection was dead.
    pub(super) fn record(&mut self, class: IdleClass, dead: bool) {
        self.attempts[class] += 1.0;
        self.dead[class] += f64::from(u8::from(dead));
    }

    /// Decays the counts. Called once a second.
    pub(super) fn decay(&mut self) {
        self.attempts
            .iter_mut()
            .chain(&mut self.dead)
            .for_each(|count| *count *= RETAINED_PER_SECOND);
    }

    /// Whether connections of this class are dead more often than new ones. A class is also suspect
    /// if a class of shorter idle times is, since a dead connection stays dead.
    pub(super) fn is_suspect(&self, class: IdleClass) -> bool {
        let dead_share =
            |class: IdleClass| self.dead[class] / (self.attempts[class] + PRIOR_ATTEMPTS);
        let acceptable = dead_share(NEW_CONNECTION) + MAX_EXCESS_SHARE;
        (1..=class).any(|class| dead_share(class) > acceptable)
    }
}

#[cfg(test)]
mod tests;
