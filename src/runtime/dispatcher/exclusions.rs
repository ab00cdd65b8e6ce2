//! Endpoints that staff or the group have excluded: the request table sees them as draining, whatever the lists say.
//!
//! The dispatcher keeps every endpoint as its list has it, so that an endpoint that is no longer excluded gets its
//! state back without a new list.

use super::Dispatcher;
use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind};
use driftgap_admin::ExclusionOutcome;
use std::collections::BTreeSet;
use std::sync::Arc;

impl Dispatcher {
    /// How many endpoints are excluded, by staff or by the group.
    pub fn excluded_count(&self) -> usize {
        self.excluded
            .as_ref()
            .map_or(0, |excluded| excluded.borrow().iter().count())
    }

    /// Whether an endpoint of this name is excluded, by staff or by the group.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().is_excluded(name))
    }

    /// Whether a call to this ingress alone has excluded it.
    pub fn is_excluded_here(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().is_excluded_here(name))
    }

    /// Whether any list has named such an endpoint.
    pub fn was_listed(&self, name: &str) -> bool {
        self.excluded
            .as_ref()
            .is_some_and(|excluded| excluded.borrow().was_listed(name))
    }

    /// Excludes an endpoint at this ingress, or ends that.
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
            self.update_again(&[name.to_string()]);
        }
        outcome
    }

    /// Takes over the exclusions of another process of this ingress in place of those here; the names that have
    /// changed.
    pub fn take_over(&self, names: BTreeSet<String>) -> Vec<String> {
        let Some(excluded) = &self.excluded else {
            return Vec::new();
        };
        let changed = excluded.borrow_mut().take_over(names);
        if !changed.is_empty() {
            self.update_again(&changed);
        }
        changed
    }

    /// Puts the group's exclusions in force in place of its earlier ones.
    pub fn set_group_exclusions(&self, names: Arc<BTreeSet<String>>) {
        let Some(excluded) = &self.excluded else {
            return;
        };
        let changed = excluded.borrow_mut().set_group_exclusions(names);
        if !changed.is_empty() {
            tracing::info!(
                changed = changed.join(" "),
                "taken out or put back by the group"
            );
            self.update_again(&changed);
        }
    }

    /// Updates these endpoints from what their list says, as far as they are listed.
    fn update_again(&self, names: &[String]) {
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

    /// Keeps what a list says, and marks excluded endpoints in it as draining.
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
