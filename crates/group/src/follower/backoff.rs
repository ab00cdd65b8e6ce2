//! Backoff of a follower's connection attempts.

/// Pause between two attempts to connect to a member.
pub(super) const CONNECT_BACKOFF: Backoff = Backoff {
    first_ms: 100.0,
    max_ms: 4000.0,
};
/// Pause between two rounds through all members while every member's state is stale, which means
/// that there is no majority.
pub(super) const STALE_ROUND_BACKOFF: Backoff = Backoff {
    first_ms: 1000.0,
    max_ms: 30_000.0,
};
/// Most doublings: more do not change the pause.
const MAX_DOUBLINGS: u32 = 6;

/// A pause that doubles up to a maximum.
#[derive(Clone, Copy)]
pub(super) struct Backoff {
    first_ms: f64,
    max_ms: f64,
}

impl Backoff {
    /// Returns the pause after this many attempts, ms.
    pub(super) fn pause_ms(self, attempts: u32) -> f64 {
        let factor = 1u32 << attempts.min(MAX_DOUBLINGS);
        (self.first_ms * f64::from(factor)).min(self.max_ms)
    }
}
