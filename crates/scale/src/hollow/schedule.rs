//! Virtual time: a queue of events ordered by their due times.

use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1000.0;

/// Events ordered by due time. Events with the same due time are returned in the order in which
/// they were added.
#[derive(Debug)]
pub struct Schedule<E> {
    now: u64,
    next_sequence: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> Schedule<E> {
    /// Creates an empty schedule that starts at `now_ms`.
    pub fn new(now_ms: f64) -> Schedule<E> {
        Schedule {
            now: to_micros(now_ms),
            next_sequence: 0,
            events: BTreeMap::new(),
        }
    }

    /// Returns the current time, ms.
    pub fn now_ms(&self) -> f64 {
        self.now as f64 / MICROS_PER_MS
    }

    /// Adds an event that is due at `due_ms`, or now if that time is past.
    pub fn at(&mut self, due_ms: f64, event: E) {
        self.next_sequence += 1;
        let due = to_micros(due_ms).max(self.now);
        self.events.insert((due, self.next_sequence), event);
    }

    /// Adds an event that is due after `delay_ms`.
    pub fn after(&mut self, delay_ms: f64, event: E) {
        self.at(self.now_ms() + delay_ms, event);
    }

    /// Advances to the next event that is due by `end_ms` and returns it. Without such an event,
    /// advances to `end_ms` and returns `None`.
    pub fn next_by(&mut self, end_ms: f64) -> Option<E> {
        let end = to_micros(end_ms);
        match self.events.first_entry() {
            Some(first) if first.key().0 <= end => {
                self.now = first.key().0;
                Some(first.remove())
            }
            _ => {
                self.now = self.now.max(end);
                None
            }
        }
    }
}

fn to_micros(ms: f64) -> u64 {
    (ms.max(0.0) * MICROS_PER_MS).round() as u64
}
