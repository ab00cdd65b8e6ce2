//! Determines the variables of each host where several groups or files set the same one.
//!
//! The order of precedence is Ansible's. Groups are sorted by their depth below `all`, then by
//! `ansible_group_priority`, then by name, and a later group overrides an earlier one. All
//! `group_vars` override the groups' variables in the inventory files. The host's own variables
//! override those of groups, and `host_vars` override those in the inventory files.

use super::{Group, Inventory, ListedHost, MAX_DEPTH};
use crate::fault::{Fault, Faults, Location};
use crate::host::{Host, Schema};
use crate::host_fields::{read_host, FieldValue, HostSource};
use std::collections::{BTreeMap, BTreeSet};

/// The implicit group that contains all hosts.
const ALL: &str = "all";

impl Inventory {
    /// Returns the hosts with their effective variables.
    pub(crate) fn hosts(mut self, schema: &Schema, faults: &mut Faults) -> Vec<Host> {
        self.set_depths(faults);
        let groups_of_hosts = self.groups_of_hosts();
        let mut hosts = Vec::with_capacity(self.hosts.len());
        for (name, listed) in &self.hosts {
            let groups = self.sorted_groups(groups_of_hosts.get(name.as_str()));
            let values = self.values(name, listed, &groups);
            let mut group_names: Vec<String> =
                groups.iter().map(|(name, _)| name.to_string()).collect();
            group_names.sort();
            let source = HostSource {
                name,
                location: &listed.location,
                values: &values,
                groups: group_names,
            };
            hosts.extend(read_host(source, schema, faults));
        }
        hosts
    }

    /// Sets the depth of each group, which is the length of its longest path from a top-level
    /// group.
    ///
    /// Reports a cycle of groups as a fault. The depths in a cycle would grow without end, so the
    /// number of passes is limited to the maximum nesting depth.
    fn set_depths(&mut self, faults: &mut Faults) {
        for _ in 0..=MAX_DEPTH {
            if !self.increase_child_depths() {
                return;
            }
        }
        let problem = "groups are nested in a cycle";
        let fault = Fault::error(&Location::default(), problem);
        faults.add(fault.field("children"));
    }

    /// Increases each child's depth to at least one more than that of its parents. Returns whether
    /// a depth changed.
    fn increase_child_depths(&mut self) -> bool {
        let mut changed = false;
        let names: Vec<String> = self.groups.keys().cloned().collect();
        for name in &names {
            let Some(group) = self.groups.get(name) else {
                continue;
            };
            let (child_depth, children) = (group.depth + 1, group.children.clone());
            for child in &children {
                let child = self.groups.get_mut(child);
                if let Some(child) = child.filter(|child| child.depth < child_depth) {
                    child.depth = child_depth;
                    changed = true;
                }
            }
        }
        changed
    }

    /// Returns the groups that contain each host, ancestors included.
    fn groups_of_hosts(&self) -> BTreeMap<&str, BTreeSet<&str>> {
        let parents = self.parents();
        let mut groups_of_hosts: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            let above = with_ancestors(name, &parents);
            for host in &group.hosts {
                groups_of_hosts.entry(host).or_default().extend(&above);
            }
        }
        groups_of_hosts
    }

    fn parents(&self) -> BTreeMap<&str, Vec<&str>> {
        let mut parents: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            for child in &group.children {
                parents.entry(child).or_default().push(name);
            }
        }
        parents
    }

    /// Returns a host's groups in order of precedence. The definition is absent for a group that no
    /// file defines, which can be `all`.
    fn sorted_groups<'a>(
        &'a self,
        names: Option<&BTreeSet<&'a str>>,
    ) -> Vec<(&'a str, Option<&'a Group>)> {
        let names = names.into_iter().flatten();
        let mut groups: Vec<(&str, Option<&Group>)> =
            names.map(|name| (*name, self.groups.get(*name))).collect();
        groups.sort_by_key(|(name, group)| {
            let (depth, priority) = group.map_or((0, 0), |group| (group.depth, group.priority));
            let depth = if *name == ALL { 0 } else { depth + 1 };
            (depth, priority, *name)
        });
        groups
    }

    /// Returns a host's effective values: later sources in the order of precedence override earlier
    /// ones.
    fn values(
        &self,
        name: &str,
        listed: &ListedHost,
        groups: &[(&str, Option<&Group>)],
    ) -> BTreeMap<String, FieldValue> {
        let in_groups = groups
            .iter()
            .filter_map(|(_, group)| Some(&group.as_ref()?.variables));
        let in_group_files = groups
            .iter()
            .filter_map(|(name, _)| self.group_files.get(*name));
        let in_order = in_groups
            .chain(in_group_files)
            .chain([&listed.variables])
            .chain(self.host_files.get(name));
        let mut values = BTreeMap::new();
        for (field, value) in in_order.flatten() {
            values.insert(field.clone(), FieldValue::clone(value));
        }
        values
    }
}

/// Returns a group and its ancestors.
fn with_ancestors<'a>(name: &'a str, parents: &BTreeMap<&str, Vec<&'a str>>) -> BTreeSet<&'a str> {
    let mut found = BTreeSet::from([name, ALL]);
    let mut pending = vec![name];
    while let Some(next) = pending.pop() {
        for parent in parents.get(next).into_iter().flatten() {
            if found.insert(parent) {
                pending.push(parent);
            }
        }
    }
    found
}
