//! The most connections that an endpoint has been seen to accept. Guards attempts against an endpoint that
//! refuses connections beyond a limit of its own: each attempt beyond it would fail for want of a connection.
//! A limit is learnt from a failed connect while others were open, and lifted by one a second, so that it is
//! tested again.

/// Connections under which a failed connect says nothing of a limit: the endpoint is more likely down.
const MIN_LIMIT: usize = 8;
/// A learnt limit is lifted by one after each such time, ms.
const LIFT_INTERVAL_MS: f64 = 1000.0;

/// A learnt limit.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLimit {
    connections: usize,
    learnt_ms: f64,
}

impl ConnectionLimit {
    /// What a failed connect teaches while this many others are open; none: nothing.
    pub(super) fn learn(now_ms: f64, others: usize) -> Option<ConnectionLimit> {
        (others >= MIN_LIMIT).then_some(ConnectionLimit {
            connections: others,
            learnt_ms: now_ms,
        })
    }

    /// Whether one more connection is worth a try with this many open.
    pub(super) fn allows(self, now_ms: f64, open: usize) -> bool {
        let lifted = ((now_ms - self.learnt_ms) / LIFT_INTERVAL_MS) as usize;
        open < self.connections + lifted
    }
}

#[cfg(test)]
mod tests;
