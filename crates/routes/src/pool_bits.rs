//! Assigns a bit to each pool of the rules in force, and counts the ready endpoints of each pool.
//!
//! Endpoints and requests carry their pools as a word of bits, so a reload must not reassign a bit
//! while requests of the old rules are in flight. A pool that exists in both files keeps its bit;
//! the bit of a removed pool stays reserved until the last request of the old rules has ended.

use crate::pool::{Fallback, Pool, MAX_POOLS};
use crate::request::Endpoint;
use driftgap_expr::{Compiled, Scratch};

/// The bit that every endpoint has, which stands for all endpoints.
pub const ALL: u64 = 1 << 63;

/// Rules cannot be put in force yet, because requests in flight still need the pools of earlier
/// rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("requests in flight still need the pools of earlier rules, and with the new ones there would be more than {MAX_POOLS}; read the rules again once those requests have ended")]
pub struct PoolBitsExhausted;

/// The pool that the rules have selected for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SelectedPool {
    /// All endpoints.
    Any,
    /// The pool with this index in the file.
    Pool(usize),
}

/// A pool of earlier rules, kept for the requests that were routed by them.
pub(crate) struct RetiredPool {
    bit: u8,
    when: Compiled,
    /// The time by which the last of those requests has ended, in ms.
    until_ms: f64,
}

/// The result of replacing the pools in force.
pub(crate) struct ReplacedPools {
    /// Retired pools that no request needs any more.
    pub(crate) expired: Vec<RetiredPool>,
    /// Whether the new rules have a pool that the old rules did not have, whose ready endpoints are
    /// not counted yet.
    pub(crate) has_new_pools: bool,
}

/// The bits of the pools in force.
pub(crate) struct PoolBits {
    /// The bit of each pool, by the pool's index in the file.
    bits: Vec<u8>,
    /// The number of ready endpoints of each pool, by the pool's index in the file.
    ready: Vec<usize>,
    retired: Vec<RetiredPool>,
}

impl PoolBits {
    /// Assigns each pool of the first rules the bit of its index.
    pub(crate) fn new(pools: &[Pool]) -> PoolBits {
        PoolBits {
            bits: (0..pools.len() as u8).collect(),
            ready: vec![0; pools.len()],
            retired: Vec::new(),
        }
    }

    /// Replaces the pools `old` by `new` at `now_ms`. Requests that were routed before this call end
    /// within `max_request_ms`.
    ///
    /// # Errors
    /// The new pools and those that are still needed are too many; nothing has changed.
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

    /// Returns the bits of the pools `new`: a pool that is also in `old` keeps its bit, others get
    /// free ones.
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

    /// Returns the number of ready endpoints of the pool with this bit, if there is one.
    fn ready_of(&self, bit: u8) -> Option<usize> {
        let index = self.bits.iter().position(|known| *known == bit)?;
        self.ready.get(index).copied()
    }

    /// Returns the pools of an endpoint as bits, including retired pools.
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

    /// Counts the ready endpoints of each pool; each item holds the pools of one ready endpoint.
    pub(crate) fn count_ready(&mut self, endpoints: impl Iterator<Item = u64>) {
        self.ready.fill(0);
        for word in endpoints {
            for (count, bit) in self.ready.iter_mut().zip(&self.bits) {
                *count += usize::from(word & (1 << bit) != 0);
            }
        }
    }

    /// Returns the number of ready endpoints of each pool, by the pool's index in the file.
    pub(crate) fn ready(&self) -> &[usize] {
        &self.ready
    }

    /// Returns the bit of the pool that serves requests for the selected one: the pool itself if it
    /// has a ready endpoint, otherwise its fallback.
    ///
    /// # Errors
    /// The pool that rejects the request because none of its endpoints is ready.
    #[inline]
    pub(crate) fn resolve<'p>(
        &self,
        pools: &'p [Pool],
        selected: SelectedPool,
    ) -> Result<u64, &'p Pool> {
        let mut selected = selected;
        // The bound prevents an endless loop on a cycle of fallbacks, which reading a file already
        // refuses.
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
