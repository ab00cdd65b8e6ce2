//! Virtual time: what is to happen, in the order of its times.

use std::collections::BTreeMap;

/// Microseconds in a millisecond.
const MICROS: f64 = 1000.0;

/// Events by the time at which they are due. Events of one moment come in the order in which they were put in.
#[derive(Debug)]
pub struct Schedule<E> {
    now: u64,
    next: u64,
    events: BTreeMap<(u64, u64), E>,
}

impl<E> Schedule<E> {
    /// An empty schedule at this time, ms.
    pub fn new(now_ms: f64) -> Schedule<E> {
        Schedule {
            now: to_micros(now_ms),
            next: 0,
            events: BTreeMap::new(),
        }
    }

    /// The time now, ms.
    pub fn now_ms(&self) -> f64 {
        self.now as f64 / MICROS
    }

    /// Adds an event that is due at this time, ms, or now if that is past.
    pub fn at(&mut self, due_ms: f64, event: E) {
        self.next += 1;
        let due = to_micros(due_ms).max(self.now);
        self.events.insert((due, self.next), event);
    }

    /// Adds an event that is due after so long, ms.
    pub fn after(&mut self, delay_ms: f64, event: E) {
        self.at(self.now_ms() + delay_ms, event);
    }

    /// Goes on to the next event that is due by this time, ms; none: goes on to the time itself.
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
    (ms.max(0.0) * MICROS).round() as u64
}
