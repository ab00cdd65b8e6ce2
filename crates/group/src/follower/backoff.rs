//! How a follower's pauses grow.

/// Between two attempts to connect to a member.
pub(super) const CONNECT_BACKOFF: Backoff = Backoff {
    first_ms: 100.0,
    max_ms: 4000.0,
};
/// Between two rounds through all members while the replicas of all are old: there is no majority then.
pub(super) const STALE_ROUND_BACKOFF: Backoff = Backoff {
    first_ms: 1000.0,
    max_ms: 30_000.0,
};
/// Doublings beyond this change no pause any more.
const MAX_DOUBLINGS: u32 = 6;

/// A pause that doubles up to a bound.
#[derive(Clone, Copy)]
pub(super) struct Backoff {
    first_ms: f64,
    max_ms: f64,
}

impl Backoff {
    /// The pause after so many attempts, ms.
    pub(super) fn pause_ms(self, attempts: u32) -> f64 {
        let factor = 1u32 << attempts.min(MAX_DOUBLINGS);
        (self.first_ms * f64::from(factor)).min(self.max_ms)
    }
}
