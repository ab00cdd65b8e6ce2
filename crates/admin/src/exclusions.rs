//! Endpoints that operators have excluded, at this ingress or for the whole group.
//!
//! Endpoints are excluded by name: an endpoint that leaves the lists and returns is still excluded
//! until it is restored. A name that no list has ever contained is taken for a typing error and
//! refused. All sets are bounded.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

/// Most names that are excluded at this ingress at the same time. Bounds memory.
pub const MAX_EXCLUDED: usize = 1024;
/// Most listed names that are remembered. Beyond that, the name that was listed first is forgotten.
/// Bounds memory where endpoints come and go for days.
const MAX_LISTED: usize = 8192;

/// The outcome of a call to exclude or to restore an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExclusionOutcome {
    /// The state of the endpoint has changed.
    Done,
    /// The endpoint was in this state already: nothing has changed.
    AlreadyDone,
    /// No list is known to have contained the endpoint.
    NeverListed,
    /// [`MAX_EXCLUDED`] endpoints are excluded already.
    TooMany,
}

/// The names of excluded endpoints, and of the endpoints that lists have contained.
#[derive(Clone, Debug, Default)]
pub struct ExcludedEndpoints {
    /// Excluded by calls to this ingress.
    local: BTreeSet<String>,
    /// Excluded for the whole group of ingresses.
    group: Arc<BTreeSet<String>>,
    listed: BTreeSet<String>,
    /// The names in `listed`, in the order in which they were first listed.
    listed_order: VecDeque<String>,
}

impl ExcludedEndpoints {
    /// Records that an endpoint list contains this endpoint.
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

    /// Returns whether the endpoint is excluded, at this ingress or for the whole group.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.local.contains(name) || self.group.contains(name)
    }

    /// Iterates over the names of all excluded endpoints, each once, in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.local.union(&self.group).map(String::as_str)
    }

    /// Returns whether a call to this ingress has excluded the endpoint.
    pub fn is_excluded_here(&self, name: &str) -> bool {
        self.local.contains(name)
    }

    /// Returns whether a list has contained the endpoint, as far as listed names are remembered.
    pub fn was_listed(&self, name: &str) -> bool {
        self.listed.contains(name)
    }

    /// Replaces the group's exclusions. Returns the names that were added or removed.
    pub fn set_group_exclusions(&mut self, names: Arc<BTreeSet<String>>) -> Vec<String> {
        let changed = self.group.symmetric_difference(&names).cloned().collect();
        self.group = names;
        changed
    }

    /// Excludes an endpoint at this ingress.
    pub fn exclude(&mut self, name: &str) -> ExclusionOutcome {
        if self.local.contains(name) {
            return ExclusionOutcome::AlreadyDone;
        }
        if !self.listed.contains(name) {
            return ExclusionOutcome::NeverListed;
        }
        if self.local.len() >= MAX_EXCLUDED {
            return ExclusionOutcome::TooMany;
        }
        self.local.insert(name.to_string());
        ExclusionOutcome::Done
    }

    /// Ends the exclusion of an endpoint at this ingress; the group's exclusion stays.
    pub fn restore(&mut self, name: &str) -> ExclusionOutcome {
        if self.local.remove(name) {
            ExclusionOutcome::Done
        } else if self.listed.contains(name) {
            ExclusionOutcome::AlreadyDone
        } else {
            ExclusionOutcome::NeverListed
        }
    }

    /// Replaces the exclusions at this ingress by those of another process of the same ingress.
    /// Returns the names that were added or removed.
    pub fn take_over(&mut self, names: BTreeSet<String>) -> Vec<String> {
        let names: BTreeSet<String> = names.into_iter().take(MAX_EXCLUDED).collect();
        let changed = self.local.symmetric_difference(&names).cloned().collect();
        self.local = names;
        changed
    }
}

#[cfg(test)]
mod tests;
