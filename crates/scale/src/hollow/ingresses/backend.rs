//! A backend as it is seen from its own side: who sends to it, over how many connections, and who probes it.

use std::collections::{BTreeMap, BTreeSet};

/// An ingress closes a connection that was idle for so long, ms: six tenths of the platform's 15 s, as the ingress'
/// connection pools do.
const RETIRE_MS: f64 = 9000.0;

/// What one backend sees.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Different ingresses that have sent to it.
    pub ingresses: usize,
    /// Connections that are open now.
    pub connections: usize,
    /// Connections opened so far.
    pub opened: u64,
    /// Attempts so far.
    pub attempts: u64,
    /// Probes so far.
    pub probes: u64,
    /// Different ingresses that have probed it.
    pub probing: usize,
}

/// One ingress' connections to a backend: one attempt at a time on each, the newest idle one first.
#[derive(Debug, Default)]
struct Pool {
    idle_since_ms: Vec<f64>,
    busy: usize,
}

/// One backend.
#[derive(Debug, Default)]
pub(super) struct Backend {
    pools: BTreeMap<usize, Pool>,
    probing: BTreeSet<usize>,
    opened: u64,
    attempts: u64,
    probes: u64,
}

impl Backend {
    /// An attempt from this ingress has begun.
    pub(super) fn begun(&mut self, now_ms: f64, ingress: usize) {
        let pool = self.pools.entry(ingress).or_default();
        pool.retire(now_ms);
        if pool.idle_since_ms.pop().is_none() {
            self.opened += 1;
        }
        pool.busy += 1;
        self.attempts += 1;
    }

    /// It has ended; its connection is kept where it was a sound one.
    pub(super) fn ended(&mut self, now_ms: f64, ingress: usize, keeps: bool) {
        let Some(pool) = self.pools.get_mut(&ingress) else {
            return;
        };
        pool.busy -= 1;
        if keeps {
            pool.idle_since_ms.push(now_ms);
        }
    }

    /// A probe from this ingress has begun.
    pub(super) fn probed(&mut self, ingress: usize) {
        self.probes += 1;
        self.probing.insert(ingress);
    }

    /// Ingresses that have sent to it.
    pub(super) fn senders(&self) -> impl Iterator<Item = usize> + '_ {
        self.pools.keys().copied()
    }

    /// What it sees now.
    pub(super) fn seen(&mut self, now_ms: f64) -> Seen {
        self.pools.values_mut().for_each(|pool| pool.retire(now_ms));
        Seen {
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
    fn retire(&mut self, now_ms: f64) {
        self.idle_since_ms
            .retain(|since| now_ms - since < RETIRE_MS);
    }
}
