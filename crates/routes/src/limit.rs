//! Local limits by key: a rate with a burst, or a number of concurrent requests.
//!
//! No key is let through beyond its limit as long as no more keys are active together than the table has buckets for,
//! and no Retry-After is too early. What is remembered of the keys is in memory that is bounded whatever keys arrive.
//! The table is allocated with the first request, so that a limit that no request meets takes little; where memory is
//! planned it counts in full. A limit reads no clock: its caller passes the time.
//!
//! A rate is the generic cell rate algorithm (GCRA): of each key one time is kept, that at which its bucket is full
//! again. A key whose time has passed is as good as unknown, so that its bucket is free and nothing has to be swept.
//! The table is set-associative: sets of eight buckets by the key's hash. A key that finds its set full takes over
//! the bucket that is full first, with its debt: it may be rejected early, and all keys together never get more than
//! all buckets allow.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Buckets of a set. More make it rarer that a set is full before the table is, and cost time on each request.
const BUCKETS_PER_SET: usize = 8;
/// Waits that are shorter come from rounding and are none, ms. A client that retries exactly when it was told to must
/// be admitted.
const ROUNDING_MS: f64 = 1e-3;
/// Shortest Retry-After of a concurrency limit, ms: at 0 ms a client would retry at once and without end.
const MIN_RETRY_AFTER_MS: f64 = 1.0;
const MS_PER_SECOND: f64 = 1000.0;

/// What a limit allows to each key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Allowance {
    /// A token bucket.
    Rate {
        /// Requests a second.
        rate: f64,
        /// Requests that a full bucket holds.
        burst: f64,
    },
    /// A number of concurrent requests.
    Concurrency {
        /// Requests in flight.
        max: u32,
        /// When a rejected client may retry, ms.
        retry_after_ms: f64,
    },
}

/// A limit rejects a request.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
#[error("the limit of the key is reached, retry after {retry_after_ms} ms")]
pub struct LimitExceeded {
    /// When one more request of the key passes at the earliest, ms from now.
    pub retry_after_ms: f64,
}

/// A key's hash under the secret seed of its limit, never 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct KeyHash(u64);

/// Counts of a limit since it was made.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitStatistics {
    /// Requests that were rejected.
    pub rejected: u64,
    /// Keys that took over the bucket of another key in debt, since their set was full.
    pub evicted: u64,
}

#[derive(Clone, Copy, Default)]
struct Bucket {
    /// The hash of the key that it belongs to; 0: it has never been used.
    key: u64,
    /// When it is full again, ms.
    full_at_ms: f64,
}

/// A limit and what it remembers.
pub struct Limit {
    allowance: Allowance,
    /// Sets of buckets; 0 for a concurrency limit.
    sets: usize,
    hasher: RandomState,
    state: Mutex<State>,
}

/// What a limit remembers.
#[derive(Default)]
struct State {
    /// For a rate; empty before the first request.
    buckets: Vec<Bucket>,
    /// For a concurrency limit: requests in flight by key. It has no more entries than there are such requests.
    in_flight: HashMap<u64, u32>,
    statistics: LimitStatistics,
}

/// A permit under a concurrency limit, released when dropped.
pub struct LimitPermit {
    limit: Arc<Limit>,
    key: KeyHash,
}

impl std::fmt::Debug for LimitPermit {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ticket")
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
    /// A limit that remembers at least `keys` keys, where it is a rate.
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

    /// A panic while the lock was held poisons it, and every later request would panic on it. Ignoring the poison is
    /// safe: every update is one assignment to a bucket or a count.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that it takes once requests have met it, estimated.
    pub fn heap_bytes(&self) -> usize {
        let table = self.sets * BUCKETS_PER_SET * size_of::<Bucket>();
        let in_flight = self.state().in_flight.capacity();
        table + in_flight * size_of::<(u64, u32)>()
    }

    /// Counts since it was made.
    pub fn statistics(&self) -> LimitStatistics {
        self.state().statistics
    }

    /// The number of keys of which something is remembered at `now`, ms.
    pub fn active_keys(&self, now: f64) -> usize {
        let state = self.state();
        let in_debt = state.buckets.iter().filter(|b| b.full_at_ms > now).count();
        in_debt + state.in_flight.len()
    }

    /// Whether one more request of a key passes at `now`, ms. Nothing is acquired: [`Limit::acquire`] does that once
    /// nothing else rejects the request.
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
                // `burst` tokens fill it: as many less the one that is asked for may be missing.
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

    /// Takes what [`Limit::check`] has allowed at `now`, ms. A concurrency limit gives a permit for it.
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
    /// A key's bucket in a table of so many sets: its own, or that of its set which is full first (a free one before
    /// all others).
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
