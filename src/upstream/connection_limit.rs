//! The connection limit of an endpoint, inferred from failed connects. An endpoint may refuse
//! connections beyond a limit of its own, and each attempt beyond that limit would fail to connect.
//! A limit is set when a connect fails while other connections are open, and is raised by one each
//! second, so that the endpoint is tested again.

/// Fewest open connections at which a failed connect sets a limit: with fewer, the endpoint is more
/// likely down.
const MIN_LIMIT: usize = 8;
/// Interval at which an inferred limit is raised by one, ms.
const RAISE_INTERVAL_MS: f64 = 1000.0;

/// The connection limit inferred for one endpoint.
#[derive(Clone, Copy)]
pub(super) struct ConnectionLimit {
    connections: usize,
    inferred_ms: f64,
}

impl ConnectionLimit {
    /// Infers a limit from a connect that failed while `others` connections were open; none if they
    /// were too few.
    pub(super) fn infer(now_ms: f64, others: usize) -> Option<ConnectionLimit> {
        (others >= MIN_LIMIT).then_some(ConnectionLimit {
            connections: others,
            inferred_ms: now_ms,
        })
    }

    /// Whether one more connection may be opened when `open` are open.
    pub(super) fn allows(self, now_ms: f64, open: usize) -> bool {
        let raised = ((now_ms - self.inferred_ms) / RAISE_INTERVAL_MS) as usize;
        open < self.connections + raised
    }
}

#[cfg(test)]
mod tests;
