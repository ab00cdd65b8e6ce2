//! The traffic that a backend receives: from which ingresses, over how many connections, and who
//! probes it.

use std::collections::{BTreeMap, BTreeSet};

/// Time after which an ingress closes an idle connection, ms: six tenths of the platform's 15 s, as
/// in the ingress' connection pools.
const IDLE_TIMEOUT_MS: f64 = 9000.0;

/// The traffic of one backend.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BackendStats {
    /// Number of ingresses that have sent attempts.
    pub ingresses: usize,
    /// Number of open connections.
    pub connections: usize,
    /// Number of connections opened so far.
    pub opened: u64,
    /// Number of attempts so far.
    pub attempts: u64,
    /// Number of probes so far.
    pub probes: u64,
    /// Number of ingresses that have sent probes.
    pub probing: usize,
}

/// One ingress' connections to a backend. Each carries one attempt at a time; the newest idle
/// connection is used first.
#[derive(Debug, Default)]
struct Pool {
    idle_since_ms: Vec<f64>,
    busy: usize,
}

/// A simulated backend.
#[derive(Debug, Default)]
pub(super) struct Backend {
    pools: BTreeMap<usize, Pool>,
    probing: BTreeSet<usize>,
    opened: u64,
    attempts: u64,
    probes: u64,
}

impl Backend {
    /// Records the start of an attempt from this ingress.
    pub(super) fn attempt_started(&mut self, now_ms: f64, ingress: usize) {
        let pool = self.pools.entry(ingress).or_default();
        pool.close_idle(now_ms);
        if pool.idle_since_ms.pop().is_none() {
            self.opened += 1;
        }
        pool.busy += 1;
        self.attempts += 1;
    }

    /// Records the end of an attempt; `keep_connection` tells whether the connection stays open.
    pub(super) fn attempt_ended(&mut self, now_ms: f64, ingress: usize, keep_connection: bool) {
        let Some(pool) = self.pools.get_mut(&ingress) else {
            return;
        };
        pool.busy -= 1;
        if keep_connection {
            pool.idle_since_ms.push(now_ms);
        }
    }

    /// Records a probe from this ingress.
    pub(super) fn probe_started(&mut self, ingress: usize) {
        self.probes += 1;
        self.probing.insert(ingress);
    }

    /// Returns the ingresses that have sent attempts.
    pub(super) fn senders(&self) -> impl Iterator<Item = usize> + '_ {
        self.pools.keys().copied()
    }

    /// Returns the backend's traffic so far.
    pub(super) fn stats(&mut self, now_ms: f64) -> BackendStats {
        self.pools
            .values_mut()
            .for_each(|pool| pool.close_idle(now_ms));
        BackendStats {
            ingresses: self.pools.len(),
            connections: self
                .pools
                .values()
                .map(|pool| pool.busy + pool.idle_since_ms.len())
                .sum(),
            opened: self.opened,
            attempts: self.attempts,
            probes: self.probes,
            probing: self.probing.len(),
        }
    }
}

impl Pool {
    fn close_idle(&mut self, now_ms: f64) {
        self.idle_since_ms
            .retain(|since| now_ms - since < IDLE_TIMEOUT_MS);
    }
}
