//! The bits that stand for the pools of the rules in force, and how many endpoints of each pool are ready.
//!
//! Endpoints and requests carry their pools as a word of bits, so that a reload must not give a bit a new meaning while
//! requests of the old rules are in flight. A pool that both files have keeps its bit; the bit of a pool that is gone
//! stays reserved until the last request of the old rules has ended.

use crate::pool::{Fallback, Pool, MAX_POOLS};
use crate::request::Endpoint;
use driftgap_expr::{Compiled, Scratch};

/// The bit that stands for all endpoints: every endpoint has it.
pub const ALL: u64 = 1 << 63;

/// Rules cannot be put in force yet: requests in flight still need the pools of earlier ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the pools of earlier rules still serve commands under way, and with these there would be more than {MAX_POOLS}; read the rules again once they have ended")]
pub struct PoolBitsExhausted;

/// The pool that the rules have selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectedPool {
    /// All endpoints.
    Any,
    /// The pool of this index.
    Pool(usize),
}

/// A pool of earlier rules, kept for the requests that were routed under them.
pub(crate) struct RetiredPool {
    bit: u8,
    when: Compiled,
    /// When the last of those requests has ended, ms.
    until_ms: f64,
}

/// What putting other pools in force leaves behind.
pub(crate) struct ReplacedPools {
    /// Retired pools that no request needs any more.
    pub(crate) expired: Vec<RetiredPool>,
    /// Whether a pool has no ready endpoints counted yet, since the old rules did not have it.
    pub(crate) has_new_pools: bool,
}

/// The bits of the pools in force.
pub(crate) struct PoolBits {
    /// The bit of each pool, by its index in the file.
    bits: Vec<u8>,
    /// Ready endpoints of each pool, by its index in the file.
    ready: Vec<usize>,
    retired: Vec<RetiredPool>,
}

impl PoolBits {
    /// The bits of the first rules: those of the pools' indices.
    pub(crate) fn new(pools: &[Pool]) -> PoolBits {
        PoolBits {
            bits: (0..pools.len() as u8).collect(),
            ready: vec![0; pools.len()],
            retired: Vec::new(),
        }
    }

    /// Puts the pools `new` in force in place of `old` at `now_ms`; requests routed so far end within `max_request_ms`.
    ///
    /// # Errors
    /// There are too many pools together with those that are still needed; nothing has changed.
    pub(crate) fn replace(
        &mut self,
        old: &[Pool],
        new: &[Pool],
        now_ms: f64,
        max_request_ms: f64,
    ) -> Result<ReplacedPools, PoolBitsExhausted> {
        let bits = self.assign(old, new, now_ms)?;
        let ready: Vec<Option<usize>> = bits.iter().map(|bit| self.ready_of(*bit)).collect();
        let has_new_pools = ready.iter().any(Option::is_none);
        self.ready = ready.into_iter().map(Option::unwrap_or_default).collect();
        let old_bits = std::mem::replace(&mut self.bits, bits);
        let (needed, expired): (Vec<_>, Vec<_>) = std::mem::take(&mut self.retired)
            .into_iter()
            .partition(|retired| retired.until_ms > now_ms);
        self.retired = needed;
        for (pool, bit) in old.iter().zip(old_bits) {
            if !self.bits.contains(&bit) {
                self.retired.push(RetiredPool {
                    bit,
                    when: pool.when.clone(),
                    until_ms: now_ms + max_request_ms,
                });
            }
        }
        Ok(ReplacedPools {
            expired,
            has_new_pools,
        })
    }

    /// The bits of the pools `new`: a pool that `old` has as well keeps its bit, others get free ones.
    fn assign(
        &self,
        old: &[Pool],
        new: &[Pool],
        now_ms: f64,
    ) -> Result<Vec<u8>, PoolBitsExhausted> {
        let retired = self
            .retired
            .iter()
            .filter(|retired| retired.until_ms > now_ms)
            .map(|retired| retired.bit);
        let used = self.bits.iter().copied().chain(retired);
        let mut taken = used.fold(0u64, |taken, bit| taken | 1 << bit);
        let mut bits = Vec::with_capacity(new.len());
        for pool in new {
            let known = old.iter().position(|old| old.is_same(pool));
            let kept = known.and_then(|index| self.bits.get(index).copied());
            let bit = kept.unwrap_or_else(|| taken.trailing_ones() as u8);
            if usize::from(bit) >= MAX_POOLS {
                return Err(PoolBitsExhausted);
            }
            taken |= 1 << bit;
            bits.push(bit);
        }
        Ok(bits)
    }

    /// Ready endpoints of the pool that has this bit.
    fn ready_of(&self, bit: u8) -> Option<usize> {
        let index = self.bits.iter().position(|known| *known == bit)?;
        self.ready.get(index).copied()
    }

    /// The pools that an endpoint belongs to, one bit each, retired ones among them.
    pub(crate) fn of_endpoint(
        &self,
        pools: &[Pool],
        endpoint: &Endpoint<'_>,
        scratch: &mut Scratch,
    ) -> u64 {
        let current = pools.iter().map(|pool| &pool.when).zip(&self.bits);
        let retired = self
            .retired
            .iter()
            .map(|retired| (&retired.when, &retired.bit));
        let mut word = ALL;
        for (when, bit) in current.chain(retired) {
            // An endpoint on which the test fails is not in the pool.
            if when.test(endpoint, scratch) == Ok(true) {
                word |= 1 << bit;
            }
        }
        word
    }

    /// Counts the ready endpoints of each pool; an item holds the pools of one ready endpoint.
    pub(crate) fn count_ready(&mut self, endpoints: impl Iterator<Item = u64>) {
        self.ready.fill(0);
        for word in endpoints {
            for (count, bit) in self.ready.iter_mut().zip(&self.bits) {
                *count += usize::from(word & (1 << bit) != 0);
            }
        }
    }

    /// Ready endpoints of each pool, by its index in the file.
    pub(crate) fn ready(&self) -> &[usize] {
        &self.ready
    }

    /// The bits of the pool that serves requests for the selected one: itself if it has a ready endpoint, or else
    /// what it falls back on.
    ///
    /// # Errors
    /// The pool that rejects its requests while none of its endpoints is ready.
    #[inline]
    pub(crate) fn resolve<'p>(
        &self,
        pools: &'p [Pool],
        selected: SelectedPool,
    ) -> Result<u64, &'p Pool> {
        let mut selected = selected;
        // Bounded, so that a cycle of fallbacks could not hold a request up for ever. Reading a file refuses cycles.
        for _ in 0..=pools.len() {
            let SelectedPool::Pool(index) = selected else {
                return Ok(ALL);
            };
            if self.ready[index] > 0 {
                return Ok(1 << self.bits[index]);
            }
            selected = match pools[index].fallback {
                Fallback::Refuse => return Err(&pools[index]),
                Fallback::Pool(next) => SelectedPool::Pool(next),
                Fallback::Any => SelectedPool::Any,
            };
        }
        Ok(ALL)
    }
}
