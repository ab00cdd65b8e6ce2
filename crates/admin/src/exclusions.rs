//! Administratively excluded endpoints: by a call to this ingress, or for the whole group.
//!
//! Endpoints are excluded by name: one that leaves the lists and returns is still excluded, until the call that
//! restores it. A call for a name that no list has ever had is a typing error, and is refused. All sets are bounded.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Most names that are excluded by calls to this ingress at a time. Bounds memory.
pub const MAX_EXCLUDED: usize = 1024;
/// Most names that are remembered as listed; beyond, the one that was listed first is forgotten. Bounds memory where
/// endpoints come and go for days.
const MAX_LISTED: usize = 8192;

/// What a call to exclude or to restore an endpoint has led to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionOutcome {
    /// It has been done.
    Done,
    /// It was so before: nothing has changed.
    AlreadyDone,
    /// No list has ever named such an endpoint.
    NeverListed,
    /// [`MAX_EXCLUDED`] endpoints are excluded.
    TooMany,
}

/// The names of excluded endpoints, and the names that lists have had.
#[derive(Clone, Debug, Default)]
pub struct ExcludedEndpoints {
    /// Excluded by calls to this ingress.
    here: BTreeSet<String>,
    /// Excluded for the whole group of ingresses.
    group: Arc<BTreeSet<String>>,
    listed: BTreeSet<String>,
    /// The same names, in the order in which they were listed first.
    listed_order: VecDeque<String>,
}

impl ExcludedEndpoints {
    /// Notes that a list names this endpoint.
    pub fn mark_listed(&mut self, name: &str) {
        if self.listed.contains(name) {
            return;
        }
        self.listed.insert(name.to_string());
        self.listed_order.push_back(name.to_string());
        if self.listed_order.len() <= MAX_LISTED {
            return;
        }
        if let Some(first) = self.listed_order.pop_front() {
            self.listed.remove(&first);
        }
    }

    /// Whether it is excluded, by a call to this ingress or for the whole group.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.here.contains(name) || self.group.contains(name)
    }

    /// The names of all excluded endpoints, each once, in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.here.union(&self.group).map(String::as_str)
    }

    /// Whether a call to this ingress has excluded it.
    pub fn is_excluded_here(&self, name: &str) -> bool {
        self.here.contains(name)
    }

    /// Whether a list has named it, as far as that is remembered.
    pub fn was_listed(&self, name: &str) -> bool {
        self.listed.contains(name)
    }

    /// Replaces the group's exclusions; the names that have changed.
    pub fn set_group_exclusions(&mut self, names: Arc<BTreeSet<String>>) -> Vec<String> {
        let changed = self.group.symmetric_difference(&names).cloned().collect();
        self.group = names;
        changed
    }

    /// Excludes an endpoint at this ingress.
    pub fn exclude(&mut self, name: &str) -> ExclusionOutcome {
        if self.here.contains(name) {
            return ExclusionOutcome::AlreadyDone;
        }
        if !self.listed.contains(name) {
            return ExclusionOutcome::NeverListed;
        }
        if self.here.len() >= MAX_EXCLUDED {
            return ExclusionOutcome::TooMany;
        }
        self.here.insert(name.to_string());
        ExclusionOutcome::Done
    }

    /// Ends the exclusion of an endpoint at this ingress; the group's stays.
    pub fn restore(&mut self, name: &str) -> ExclusionOutcome {
        if self.here.remove(name) {
            ExclusionOutcome::Done
        } else if self.listed.contains(name) {
            ExclusionOutcome::AlreadyDone
        } else {
            ExclusionOutcome::NeverListed
        }
    }

    /// Replaces the exclusions at this ingress by those of another process of it; the names that have changed.
    pub fn take_over(&mut self, names: BTreeSet<String>) -> Vec<String> {
        let names: BTreeSet<String> = names.into_iter().take(MAX_EXCLUDED).collect();
        let changed = self.here.symmetric_difference(&names).cloned().collect();
        self.here = names;
        changed
    }
}

#[cfg(test)]
mod tests;
