//! Endpoint exclusions by operators or by the group. The request table sees an excluded endpoint as
//! draining, whatever state the endpoint list gives it.
//!
//! The dispatcher keeps every endpoint in its listed state, so that a restored endpoint gets that
//! state back without a new list.

use super::Dispatcher;
use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use driftgap_admin::ExclusionOutcome;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Dispatcher {
    /// Returns how many endpoints are excluded, at this ingress or by the group.
    pub fn excluded_count(&self) -> usize {
        self.excluded
            .as_ref()
            .map_or(0, |excluded| excluded.borrow().iter().count())
    }

    /// Returns whether the endpoint is excluded, at this ingress or by the group.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().is_excluded(name))
    }

    /// Returns whether the endpoint is excluded at this ingress, whatever the group has excluded.
    pub fn is_excluded_here(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().is_excluded_here(name))
    }

    /// Returns whether any endpoint list has named this endpoint.
    pub fn was_listed(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().was_listed(name))
    }

    /// Excludes an endpoint at this ingress, or restores it.
    pub fn set_excluded(&self, name: &str, exclude: bool) -> ExclusionOutcome {
        let Some(excluded) = &self.excluded else {
            return ExclusionOutcome::NeverListed;
        };
        let outcome = if exclude {
            excluded.borrow_mut().exclude(name)
        } else {
            excluded.borrow_mut().restore(name)
        };
        if outcome == ExclusionOutcome::Done {
            self.update_listed(&[name.to_string()]);
        }
        outcome
    }

    /// Replaces the exclusions at this ingress by those of another process of the same ingress.
    /// Returns the names whose exclusion has changed.
    pub fn take_over(&self, names: BTreeSet<String>) -> Vec<String> {
        let Some(excluded) = &self.excluded else {
            return Vec::new();
        };
        let changed = excluded.borrow_mut().take_over(names);
        if !changed.is_empty() {
            self.update_listed(&changed);
        }
        changed
    }

    /// Replaces the exclusions of the group.
    pub fn set_group_exclusions(&self, names: Arc<BTreeSet<String>>) {
        let Some(excluded) = &self.excluded else {
            return;
        };
        let changed = excluded.borrow_mut().set_group_exclusions(names);
        if !changed.is_empty() {
            tracing::info!(
                changed = changed.join(" "),
                "exclusions of the group changed"
            );
            self.update_listed(&changed);
        }
    }

    /// Updates the named endpoints from their listed state; names that are not listed have no
    /// effect.
    fn update_listed(&self, names: &[String]) {
        let has_name = |id: EndpointId| {
            self.registry
                .borrow()
                .endpoint(id)
                .is_some_and(|endpoint| names.contains(&endpoint.name))
        };
        let entries: Vec<EndpointEntry> = self
            .listed
            .borrow()
            .values()
            .filter(|entry| has_name(entry.id))
            .cloned()
            .collect();
        if !entries.is_empty() {
            self.update_endpoints(ListKind::Delta, entries);
        }
    }

    /// Records the listed state of the entries, then marks excluded endpoints among them as
    /// draining.
    pub(super) fn apply_exclusions(&self, kind: ListKind, entries: &mut [EndpointEntry]) {
        let Some(excluded) = &self.excluded else {
            return;
        };
        let registry = self.registry.borrow();
        let mut excluded = excluded.borrow_mut();
        let mut listed = self.listed.borrow_mut();
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            listed.clear();
        }
        for entry in entries {
            if entry.state == EndpointState::Gone {
                listed.remove(&entry.id);
                continue;
            }
            listed.insert(entry.id, entry.clone());
            let Some(endpoint) = registry.endpoint(entry.id) else {
                continue;
            };
            excluded.mark_listed(&endpoint.name);
            if entry.state == EndpointState::Ready && excluded.is_excluded(&endpoint.name) {
                entry.state = EndpointState::Draining;
            }
        }
    }
}
