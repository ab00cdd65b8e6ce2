//! Local limits by key: a rate with a burst, or most at once. What is remembered of each key is in memory that is
//! bounded whatever keys arrive. No key is let through beyond its limit as long as no more keys are active
//! together than there are places for, and no time to come back is too early. A limit is told the time.
//!
//! The places are allocated with the first request, so that a limit that no request meets takes little; where
//! memory is planned they count in full.
//!
//! A rate is the generic cell rate algorithm: of each key one time is kept, that at which its store will be full
//! again. A key whose time has passed is as good as unknown, so that its place is free. Places lie in sets of
//! eight by the key's hash; a key that finds its set full takes over the place that will be free first, with what
//! that one still owes: it may be refused early, and all keys together never get more than all places allow.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Places in a set.
const WAYS: usize = 8;

/// What a limit allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Allowance {
    /// So many a second, and so many at once after a pause.
    Rate {
        /// Requests a second.
        rate: f64,
        /// Requests that a full store holds.
        burst: f64,
    },
    /// So many at once; who is refused is told to come back after so long.
    AtOnce {
        /// Requests under way.
        max: u32,
        /// Milliseconds.
        retry_after_ms: f64,
    },
}

#[derive(Clone, Copy, Default)]
struct Place {
    /// The key's hash; 0: free.
    key: u64,
    /// When its store is full again, ms.
    full: f64,
}

/// A limit and what it remembers.
pub struct Limit {
    allowance: Allowance,
    /// Sets of places that a rate has.
    sets: usize,
    hasher: RandomState,
    state: Mutex<State>,
}

/// What a limit remembers.
#[derive(Default)]
struct State {
    /// Rate: empty before the first request.
    places: Vec<Place>,
    /// At once: requests under way by key. As many keys as requests at most.
    under_way: HashMap<u64, u32>,
    refused: u64,
    /// Keys that had to take over another's place.
    shared: u64,
}

/// A request's place under an at-once limit, given back when dropped.
pub struct Ticket {
    limit: Arc<Limit>,
    key: u64,
}

impl std::fmt::Debug for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ticket")
            .field("key", &self.key)
            .finish_non_exhaustive()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let under_way = &mut self.limit.state().under_way;
        if let Some(count) = under_way.get_mut(&self.key) {
            *count -= 1;
            if *count == 0 {
                under_way.remove(&self.key);
            }
        }
    }
}

impl Limit {
    /// A limit that remembers about `keys` keys.
    pub fn new(allowance: Allowance, keys: usize) -> Limit {
        let sets = match allowance {
            Allowance::Rate { .. } => keys.div_ceil(WAYS).next_power_of_two(),
            Allowance::AtOnce { .. } => 0,
        };
        Limit {
            allowance,
            sets,
            hasher: RandomState::new(),
            state: Mutex::default(),
        }
    }

    /// What it remembers. A thread that panicked while it held the lock left whole figures behind.
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bytes that it takes once requests have met it, roughly.
    pub fn memory(&self) -> usize {
        self.sets * WAYS * size_of::<Place>()
            + self.state().under_way.capacity() * size_of::<(u64, u32)>()
    }

    /// Refusals so far, and keys that had to take over another's place.
    pub fn figures(&self) -> (u64, u64) {
        let state = self.state();
        (state.refused, state.shared)
    }

    /// Keys of which something is remembered at `now`, ms.
    pub fn keys(&self, now: f64) -> usize {
        let state = self.state();
        state.places.iter().filter(|place| place.full > now).count() + state.under_way.len()
    }

    /// Whether one more request of a key may pass at `now`, ms; if not, in how many ms it may. Nothing is taken
    /// yet: [`Limit::take`] does that once all other limits have agreed.
    pub fn ask(&self, key: &str, now: f64) -> Result<u64, f64> {
        let hash = self.hasher.hash_one(key).max(1);
        let mut state = self.state();
        let wait = match self.allowance {
            Allowance::Rate { rate, burst } => {
                let gap = 1000.0 / rate;
                let full = state.place(self.sets, hash).map_or(now, |place| place.full);
                // The store holds `burst`: it may lack that many less the one that is asked for.
                (full.max(now) - now - (burst - 1.0) * gap).max(0.0)
            }
            Allowance::AtOnce {
                max,
                retry_after_ms,
            } => {
                let count = state.under_way.get(&hash).copied().unwrap_or(0);
                if count < max {
                    0.0
                } else {
                    retry_after_ms.max(1.0)
                }
            }
        };
        // Less than a thousandth is a matter of rounding.
        if wait > 1e-3 {
            state.refused += 1;
            return Err(wait);
        }
        Ok(hash)
    }

    /// Takes what [`Limit::ask`] has allowed.
    pub fn take(self: &Arc<Self>, key: u64, now: f64) -> Option<Ticket> {
        let mut state = self.state();
        match self.allowance {
            Allowance::Rate { rate, .. } => {
                let gap = 1000.0 / rate;
                let place = state.place(self.sets, key)?;
                let taken_over = place.key != key && place.full > now;
                place.key = key;
                place.full = place.full.max(now) + gap;
                state.shared += u64::from(taken_over);
                None
            }
            Allowance::AtOnce { .. } => {
                *state.under_way.entry(key).or_default() += 1;
                Some(Ticket {
                    limit: self.clone(),
                    key,
                })
            }
        }
    }
}

impl State {
    /// A key's place among so many sets: its own, a free one, or that which will be free first.
    fn place(&mut self, sets: usize, key: u64) -> Option<&mut Place> {
        if self.places.is_empty() {
            self.places = vec![Place::default(); sets * WAYS];
        }
        let first = (key as usize & (sets - 1)) * WAYS;
        let set = self.places.get_mut(first..first + WAYS)?;
        let own = set.iter().position(|place| place.key == key);
        let freed_first = || (0..set.len()).min_by(|a, b| set[*a].full.total_cmp(&set[*b].full));
        let at = own.or_else(freed_first)?;
        set.get_mut(at)
    }
}
