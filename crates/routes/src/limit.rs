//! Local limits by key: a rate with a burst, or a number of concurrent requests.
//!
//! While no more keys are active at once than the table has buckets, each key is limited exactly,
//! and no Retry-After is too early. The memory is bounded whichever keys arrive. The table is
//! allocated with the first request, so an unused limit takes little memory; memory planning counts
//! it in full. A limit reads no clock: the caller passes the time.
//!
//! A rate uses the generic cell rate algorithm (GCRA): for each key it stores one time, at which
//! the key's bucket is full again. A key whose time has passed is in the same state as an unknown
//! key, so its bucket is free and needs no cleanup. The table is set-associative, with sets of
//! eight buckets by the hash of the key. A key that finds its set full takes over the bucket that
//! will be full first, together with its debt: the key may be rejected early, and all keys together
//! never get more than all buckets allow.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Number of buckets in a set. With more buckets a set is less often full before the table is, but
/// each request takes longer.
const BUCKETS_PER_SET: usize = 8;
/// Waits up to this time are due to rounding and are ignored, in ms, so that a client that retries
/// exactly after the given Retry-After is admitted.
const ROUNDING_MS: f64 = 1e-3;
/// Minimum Retry-After of a concurrency limit, in ms: with 0 a client would retry at once and in a
/// loop.
const MIN_RETRY_AFTER_MS: f64 = 1.0;
const MS_PER_SECOND: f64 = 1000.0;

/// What a limit allows for each key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Allowance {
    /// A token bucket.
    Rate {
        /// Requests per second.
        rate: f64,
        /// Capacity of the bucket, in requests.
        burst: f64,
    },
    /// A number of concurrent requests.
    Concurrency {
        /// Maximum number of requests in flight.
        max: u32,
        /// Time after which a rejected client may retry, in ms.
        retry_after_ms: f64,
    },
}

/// The error of a request that exceeds a limit.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("the limit of the key is reached, retry after {retry_after_ms} ms")]
pub struct LimitExceeded {
    /// Time until the next request of the key can pass, in ms.
    pub retry_after_ms: f64,
}

/// The hash of a key under the secret seed of its limit; never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(u64);

/// Counts since a limit was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitStatistics {
    /// Requests that were rejected.
    pub rejected: u64,
    /// Keys that took over the bucket of another key in debt because their set was full.
    pub evicted: u64,
}

#[derive(Clone, Copy, Default)]
struct Bucket {
    /// The hash of the key that uses the bucket; 0 if none has used it yet.
    key: u64,
    /// The time at which the bucket is full again, in ms.
    full_at_ms: f64,
}

/// A limit with its state.
pub struct Limit {
    allowance: Allowance,
    /// Number of sets of buckets; 0 for a concurrency limit.
    sets: usize,
    hasher: RandomState,
    state: Mutex<State>,
}

/// The state of a limit.
#[derive(Default)]
struct State {
    /// The buckets of a rate; empty before the first request.
    buckets: Vec<Bucket>,
    /// The number of requests in flight by key, for a concurrency limit. Keys without one are
    /// removed.
    in_flight: HashMap<u64, u32>,
    statistics: LimitStatistics,
}

/// A permit of a concurrency limit, which is released when dropped.
pub struct LimitPermit {
    limit: Arc<Limit>,
    key: KeyHash,
}

impl std::fmt::Debug for LimitPermit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LimitPermit")
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}

impl Drop for LimitPermit {
    fn drop(&mut self) {
        let in_flight = &mut self.limit.state().in_flight;
        if let Some(count) = in_flight.get_mut(&self.key.0) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.key.0);
            }
        }
    }
}

impl Limit {
    /// Creates a limit. A rate has buckets for at least `keys` keys.
    pub fn new(allowance: Allowance, keys: usize) -> Limit {
        let sets = match allowance {
            Allowance::Rate { .. } => keys.div_ceil(BUCKETS_PER_SET).next_power_of_two(),
            Allowance::Concurrency { .. } => 0,
        };
        Limit {
            allowance,
            sets,
            hasher: RandomState::new(),
            state: Mutex::default(),
        }
    }

    /// Locks the state. A panic while the lock was held poisons it, and without this every later
    /// request would panic. Ignoring the poison is safe: every update is one assignment to a bucket
    /// or a count.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Estimates the memory of the limit with its table allocated, in bytes.
    pub fn heap_bytes(&self) -> usize {
        let table = self.sets * BUCKETS_PER_SET * size_of::<Bucket>();
        let in_flight = self.state().in_flight.capacity();
        table + in_flight * size_of::<(u64, u32)>()
    }

    /// Returns the counts since the limit was created.
    pub fn statistics(&self) -> LimitStatistics {
        self.state().statistics
    }

    /// Returns the number of keys that are in debt or have requests in flight at `now`, in ms.
    pub fn active_keys(&self, now: f64) -> usize {
        let state = self.state();
        let in_debt = state.buckets.iter().filter(|b| b.full_at_ms > now).count();
        in_debt + state.in_flight.len()
    }

    /// Checks whether one more request of a key passes at `now`, in ms. Nothing is acquired: the
    /// caller uses [`Limit::acquire`] once nothing else rejects the request.
    ///
    /// # Errors
    /// The limit is reached.
    pub fn check(&self, key: &str, now: f64) -> Result<KeyHash, LimitExceeded> {
        let key = KeyHash(self.hasher.hash_one(key).max(1));
        let mut state = self.state();
        let wait_ms = match self.allowance {
            Allowance::Rate { rate, burst } => {
                let interval_ms = MS_PER_SECOND / rate;
                let bucket = state.bucket(self.sets, key);
                let full_at_ms = bucket.map_or(now, |bucket| bucket.full_at_ms);
                // The bucket holds `burst` tokens; one must be left, so at most `burst - 1` may be
                // missing.
                (full_at_ms.max(now) - now - (burst - 1.0) * interval_ms).max(0.0)
            }
            Allowance::Concurrency {
                max,
                retry_after_ms,
            } => {
                let count = state.in_flight.get(&key.0).copied().unwrap_or(0);
                if count < max {
                    0.0
                } else {
                    retry_after_ms.max(MIN_RETRY_AFTER_MS)
                }
            }
        };
        if wait_ms > ROUNDING_MS {
            state.statistics.rejected += 1;
            return Err(LimitExceeded {
                retry_after_ms: wait_ms,
            });
        }
        Ok(key)
    }

    /// Acquires what [`Limit::check`] has allowed at `now`, in ms. A concurrency limit returns a
    /// permit.
    pub fn acquire(self: &Arc<Self>, key: KeyHash, now: f64) -> Option<LimitPermit> {
        let mut state = self.state();
        match self.allowance {
            Allowance::Rate { rate, .. } => {
                let interval_ms = MS_PER_SECOND / rate;
                let bucket = state.bucket(self.sets, key)?;
                let evicts = bucket.key != key.0 && bucket.full_at_ms > now;
                bucket.key = key.0;
                bucket.full_at_ms = bucket.full_at_ms.max(now) + interval_ms;
                state.statistics.evicted += u64::from(evicts);
                None
            }
            Allowance::Concurrency { .. } => {
                *state.in_flight.entry(key.0).or_default() += 1;
                Some(LimitPermit {
                    limit: self.clone(),
                    key,
                })
            }
        }
    }
}

impl State {
    /// Returns the bucket of a key in a table of `sets` sets: its own, or otherwise the bucket of
    /// its set that is full first, which is a free one if there is any.
    fn bucket(&mut self, sets: usize, key: KeyHash) -> Option<&mut Bucket> {
        if self.buckets.is_empty() {
            self.buckets = vec![Bucket::default(); sets * BUCKETS_PER_SET];
        }
        let first = (key.0 as usize & (sets - 1)) * BUCKETS_PER_SET;
        let set = self.buckets.get_mut(first..first + BUCKETS_PER_SET)?;
        let own = set.iter().position(|bucket| bucket.key == key.0);
        let full_first = || {
            let by_time = |a: &usize, b: &usize| set[*a].full_at_ms.total_cmp(&set[*b].full_at_ms);
            (0..set.len()).min_by(by_time)
        };
        let index = own.or_else(full_first)?;
        set.get_mut(index)
    }
}
