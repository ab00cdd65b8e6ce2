//! Local limits by key: a rate with a burst, or most at once. It owns what is remembered of each key, in memory
//! that is bounded whatever keys arrive. It must never let a key through beyond its limit as long as no more
//! keys are active together than it has places for, nor give a time to come back that is too early. It is told
//! the time.
//!
//! A rate is the generic cell rate algorithm: of each key one time is kept, that at which its store will be full
//! again. A key whose time has passed is as good as unknown, so that its place is free. Places lie in sets of
//! eight by the key's hash; a key that finds its set full takes over the place that will be free first, with what
//! that one still owes: it may be refused early, and all keys together never get more than all places allow.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

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
        most: u32,
        /// Milliseconds.
        after_ms: f64,
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
    hasher: RandomState,
    places: RefCell<Vec<Place>>,
    /// At once: requests under way by key. As many keys as requests at most.
    under_way: RefCell<HashMap<u64, u32>>,
    refused: Cell<u64>,
    shared: Cell<u64>,
}

/// A request's place under an at-once limit, given back when dropped.
pub struct Ticket {
    limit: Rc<Limit>,
    key: u64,
}

impl std::fmt::Debug for Ticket {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Ticket").field("key", &self.key).finish_non_exhaustive()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let mut under_way = self.limit.under_way.borrow_mut();
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
        let sets = keys.div_ceil(WAYS).next_power_of_two();
        let places = match allowance {
            Allowance::Rate { .. } => vec![Place::default(); sets * WAYS],
            Allowance::AtOnce { .. } => Vec::new(),
        };
        Limit {
            allowance,
            hasher: RandomState::new(),
            places: places.into(),
            under_way: RefCell::default(),
            refused: Cell::new(0),
            shared: Cell::new(0),
        }
    }

    /// Bytes that it takes, roughly.
    pub fn memory(&self) -> usize {
        self.places.borrow().capacity() * size_of::<Place>() + self.under_way.borrow().capacity() * 16
    }

    /// Refusals so far, and keys that had to take over another's place.
    pub fn figures(&self) -> (u64, u64) {
        (self.refused.get(), self.shared.get())
    }

    /// Keys of which something is remembered at `now`, ms.
    pub fn keys(&self, now: f64) -> usize {
        let held = self.places.borrow().iter().filter(|place| place.full > now).count();
        held + self.under_way.borrow().len()
    }

    /// Whether one more request of a key may pass at `now`, ms; if not, in how many ms it may. Nothing is taken
    /// yet: [`Limit::take`] does that once all other limits have agreed.
    pub fn ask(&self, key: &str, now: f64) -> Result<u64, f64> {
        let hash = self.hasher.hash_one(key).max(1);
        let wait = match self.allowance {
            Allowance::Rate { rate, burst } => {
                let gap = 1000.0 / rate;
                let full = self.place(hash, now, |place| place.full);
                // The store holds `burst`: it may lack that many less the one that is asked for.
                (full.max(now) - now - (burst - 1.0) * gap).max(0.0)
            }
            Allowance::AtOnce { most, after_ms } => {
                let count = self.under_way.borrow().get(&hash).copied().unwrap_or(0);
                if count < most {
                    0.0
                } else {
                    after_ms.max(1.0)
                }
            }
        };
        // Less than a thousandth is a matter of rounding.
        if wait > 1e-3 {
            self.refused.set(self.refused.get() + 1);
            return Err(wait);
        }
        Ok(hash)
    }

    /// Takes what [`Limit::ask`] has allowed.
    pub fn take(self: &Rc<Self>, key: u64, now: f64) -> Option<Ticket> {
        match self.allowance {
            Allowance::Rate { rate, .. } => {
                let gap = 1000.0 / rate;
                self.place(key, now, |place| {
                    if place.key != key && place.full > now {
                        self.shared.set(self.shared.get() + 1);
                    }
                    place.key = key;
                    place.full = place.full.max(now) + gap;
                    place.full
                });
                None
            }
            Allowance::AtOnce { .. } => {
                *self.under_way.borrow_mut().entry(key).or_default() += 1;
                Some(Ticket { limit: self.clone(), key })
            }
        }
    }

    /// A key's place: its own, a free one, or that which will be free first.
    fn place(&self, key: u64, now: f64, act: impl FnOnce(&mut Place) -> f64) -> f64 {
        let mut places = self.places.borrow_mut();
        let sets = places.len() / WAYS;
        let first = (key as usize & (sets - 1)) * WAYS;
        let set = &mut places[first..first + WAYS];
        if let Some(place) = set.iter_mut().find(|place| place.key == key) {
            return act(place);
        }
        let Some(place) = set.iter_mut().min_by(|a, b| a.full.total_cmp(&b.full)) else { return now };
        act(place)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn passed(limit: &Rc<Limit>, key: &str, now: f64) -> Result<Option<Ticket>, f64> {
        limit.ask(key, now).map(|hash| limit.take(hash, now))
    }

    fn rate(rate: f64, burst: f64, keys: usize) -> Rc<Limit> {
        Rc::new(Limit::new(Allowance::Rate { rate, burst }, keys))
    }

    #[test]
    fn a_rate_lets_a_burst_through_and_tells_the_time_exactly() {
        let limit = rate(10.0, 5.0, 64);
        assert_eq!((0..20).filter(|_| passed(&limit, "a", 1000.0).is_ok()).count(), 5);
        let wait = limit.ask("a", 1000.0).unwrap_err();
        assert!((wait - 100.0).abs() < 1e-6, "{wait}");
        assert!(limit.ask("a", 1000.0 + wait - 0.5).is_err());
        assert!(passed(&limit, "a", 1000.0 + wait).is_ok());
        // Another key has a store of its own; a pause fills this one, and no fuller than it gets.
        assert!(passed(&limit, "b", 1000.0).is_ok());
        assert_eq!((0..20).filter(|_| passed(&limit, "a", 1e6).is_ok()).count(), 5);
    }

    #[test]
    fn over_a_long_time_exactly_the_rate_passes() {
        let limit = rate(7.0, 3.0, 64);
        let count = (0..60_000).filter(|ms| passed(&limit, "a", f64::from(*ms)).is_ok()).count();
        assert!((420..=423).contains(&count), "{count}");
    }

    #[test]
    fn at_once_counts_what_is_under_way_and_forgets_the_rest() {
        let limit = Rc::new(Limit::new(Allowance::AtOnce { most: 2, after_ms: 250.0 }, 0));
        let held: Vec<_> = (0..2).map(|_| passed(&limit, "a", 0.0).unwrap()).collect();
        assert_eq!(limit.ask("a", 0.0), Err(250.0));
        assert!(limit.ask("b", 0.0).is_ok());
        drop(held);
        assert!(passed(&limit, "a", 0.0).is_ok());
        assert_eq!(limit.keys(0.0), 0);
    }

    #[test]
    fn whatever_keys_arrive_memory_stays_and_all_together_get_what_the_places_allow() {
        let limit = rate(1.0, 2.0, 1024);
        let before = limit.memory();
        let mut let_in = 0;
        for round in 0..5 {
            for key in 0..100_000 {
                let now = f64::from(round) * 1000.0 + f64::from(key) * 0.01;
                let_in += usize::from(passed(&limit, &format!("k{key}"), now).is_ok());
            }
        }
        assert_eq!(limit.memory(), before);
        // 1,024 places with a burst of 2 and one a second over 5 s.
        assert!(let_in <= 1024 * (2 + 5), "{let_in}");
        assert!(let_in >= 1024 * 4, "{let_in}");
        assert!(limit.figures().1 > 0 && limit.keys(1e9) == 0);
    }

    #[test]
    fn a_key_keeps_its_limit_beside_as_many_as_there_are_places_for() {
        let limit = rate(1.0, 1.0, 4096);
        for key in 0..400 {
            assert!(passed(&limit, &format!("k{key}"), 0.0).is_ok());
        }
        for key in 0..400 {
            assert!(passed(&limit, &format!("k{key}"), 500.0).is_err());
        }
    }
}
