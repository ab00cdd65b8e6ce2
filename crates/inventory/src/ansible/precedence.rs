//! Which variables a host has, where several places name them.
//!
//! The order is Ansible's: groups by their depth below `all`, then by `ansible_group_priority`, then by name, a later
//! one over an earlier; then the host's own, those in the inventory before those in `host_vars`.

use super::{Group, Inventory, ListedHost, MAX_DEPTH};
use crate::fault::{Fault, Faults, Location};
use crate::host::{Host, Schema};
use crate::host_fields::{read_host, FieldValue, HostSource};
use std::collections::{BTreeMap, BTreeSet};

/// The group that all hosts are in.
const ALL: &str = "all";

impl Inventory {
    /// The hosts with all that holds of them.
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

    /// Sets how far each group is below the top at most; a ring of groups is a fault.
    ///
    /// Guards against groups that are children of each other: their depths would grow without end, so they may grow
    /// only as often as groups may be nested.
    fn set_depths(&mut self, faults: &mut Faults) {
        for _ in 0..=MAX_DEPTH {
            if !self.deepen_children() {
                return;
            }
        }
        let problem = "groups are children of each other in a ring";
        let fault = Fault::error(&Location::default(), problem);
        faults.add(fault.field("children"));
    }

    /// Puts each child below its parents; whether one was not.
    fn deepen_children(&mut self) -> bool {
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

    /// All groups that each host is in, with those above them.
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

    /// A host's groups in the order of their variables, with what is listed of them: `all` may not be.
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

    /// A host's values: what comes later in the order stands over what came before.
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

/// A group and all that it is below.
fn with_ancestors<'a>(name: &'a str, parents: &BTreeMap<&str, Vec<&'a str>>) -> BTreeSet<&'a str> {
    let mut found = BTreeSet::from([name, ALL]);
    let mut open = vec![name];
    while let Some(next) = open.pop() {
        for parent in parents.get(next).into_iter().flatten() {
            if found.insert(parent) {
                open.push(parent);
            }
        }
    }
    found
}
