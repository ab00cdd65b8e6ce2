//! The ids of open requests, and of recent requests that may have run. Every request carries a new
//! id, so a further request with one of these ids is unsound: if it were forwarded, its work would be
//! done twice under one id.
//!
//! The id of a request that certainly did not run is forgotten at once. The others are remembered for
//! [`RETENTION_MS`] at least and twice that at most, at most [`MAX_REMEMBERED`] of them. They are kept
//! in two generations, which takes less memory than a time for each.

use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// How long the id of an ended request is remembered at least, ms. Longer than a client or a proxy holds back
/// a request before it sends it again.
const RETENTION_MS: f64 = 60_000.0;
/// Largest number of remembered ids of ended requests. Bounds memory.
pub const MAX_REMEMBERED: usize = 32 * 1024;

/// The hash of a request id, the same in all processes of an ingress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestIdHash(pub u64);

impl RequestIdHash {
    /// Returns the hash of a request id.
    pub fn of(request_id: &str) -> RequestIdHash {
        RequestIdHash(xxh3_64(request_id.as_bytes()))
    }
}

/// The ids that no new request may have.
#[derive(Default)]
pub(super) struct RecentIds {
    open: HashSet<RequestIdHash>,
    /// Ids of ended requests, the younger generation.
    recent: HashSet<RequestIdHash>,
    /// Ids of ended requests, the older generation.
    older: HashSet<RequestIdHash>,
    /// When the younger generation began, ms.
    recent_since_ms: f64,
}

impl RecentIds {
    /// Adds the id of a request that arrives. Returns false if the id is known already.
    pub(super) fn open(&mut self, now_ms: f64, id: RequestIdHash) -> bool {
        self.forget_old(now_ms);
        !self.is_ended(id) && self.open.insert(id)
    }

    /// Records the end of a request.
    pub(super) fn close(&mut self, now_ms: f64, id: RequestIdHash, may_have_run: bool) {
        self.open.remove(&id);
        if may_have_run {
            self.remember(now_ms, id);
        }
    }

    /// Adds the id of a request of another process of this ingress.
    pub(super) fn add_foreign(&mut self, now_ms: f64, id: RequestIdHash) {
        if !self.open.contains(&id) && !self.is_ended(id) {
            self.remember(now_ms, id);
        }
    }

    /// Returns the number of ids that are known.
    pub(super) fn len(&self) -> usize {
        self.open.len() + self.recent.len() + self.older.len()
    }

    fn is_ended(&self, id: RequestIdHash) -> bool {
        self.recent.contains(&id) || self.older.contains(&id)
    }

    fn remember(&mut self, now_ms: f64, id: RequestIdHash) {
        self.forget_old(now_ms);
        if self.recent.len() >= MAX_REMEMBERED / 2 {
            self.begin_generation(now_ms);
        }
        self.recent.insert(id);
    }

    fn forget_old(&mut self, now_ms: f64) {
        let age_ms = now_ms - self.recent_since_ms;
        if age_ms >= RETENTION_MS {
            self.begin_generation(now_ms);
        }
        if age_ms >= 2.0 * RETENTION_MS {
            self.older = HashSet::new();
        }
    }

    fn begin_generation(&mut self, now_ms: f64) {
        self.older = std::mem::take(&mut self.recent);
        self.recent_since_ms = now_ms;
    }
}

#[cfg(test)]
mod tests;
