//! Counters of links since the start, for the log.

use super::error::LinkError;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

/// Counters since the start.
#[derive(Debug, Default)]
pub(in crate::group) struct LinkStatistics {
    pub(in crate::group) refused: Refusals,
    pub(in crate::group) dropped_frames: Cell<u64>,
    pub(in crate::group) sent_bytes: Cell<u64>,
}

impl LinkStatistics {
    pub(super) fn count_dropped_frame(&self) {
        self.dropped_frames.set(self.dropped_frames.get() + 1);
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.sent_bytes.set(self.sent_bytes.get() + bytes as u64);
    }
}

/// Number of refused links by cause.
#[derive(Debug, Default)]
pub(in crate::group) struct Refusals(RefCell<BTreeMap<&'static str, u64>>);

impl Refusals {
    /// Counts one refused link.
    pub(super) fn add(&self, error: &LinkError) {
        *self.0.borrow_mut().entry(error.cause()).or_default() += 1;
    }

    /// Returns the number of refused links of all causes.
    pub(in crate::group) fn total(&self) -> u64 {
        self.0.borrow().values().sum()
    }

    /// Formats the counts as `cause=number`, separated by spaces.
    pub(in crate::group) fn by_cause(&self) -> String {
        let counts = self.0.borrow();
        let words: Vec<String> = counts
            .iter()
            .map(|(cause, count)| format!("{cause}={count}"))
            .collect();
        words.join(" ")
    }
}
