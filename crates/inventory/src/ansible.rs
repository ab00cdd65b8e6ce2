//! Inventories as Ansible keeps them, in YAML or in the JSON of `ansible-inventory --list`: groups with hosts,
//! variables and children. It owns the precedence of variables. It must never follow a ring of groups.
//!
//! The order of variables is Ansible's: groups by their depth below `all`, then by `ansible_group_priority`, then
//! by name, a later one over an earlier; then the host's own, those in the inventory before those in `host_vars`.

use crate::fault::{Faults, Place};
use crate::host::{host, Host, Raw, Schema};
use crate::range;
use crate::tree::{At, Tree};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Deepest nesting of groups.
const MAX_DEPTH: usize = 32;
/// Most hosts of an inventory.
pub const MAX_HOSTS: usize = 200_000;

type Vars = BTreeMap<String, Arc<Raw>>;

#[derive(Default)]
struct Group {
    vars: Vars,
    hosts: BTreeSet<String>,
    children: BTreeSet<String>,
    priority: i64,
    depth: usize,
}

struct Entry {
    own: Vars,
    place: Place,
}

/// What the files of one inventory say together.
#[derive(Default)]
pub(crate) struct Inventory {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, Entry>,
    /// From `group_vars` and `host_vars`: over what the inventory itself says.
    group_files: BTreeMap<String, Vars>,
    host_files: BTreeMap<String, Vars>,
}

fn place(file: &Arc<str>, at: &At, path: &str) -> Place {
    Place {
        file: file.clone(),
        line: at.line,
        column: at.column,
        path: path.into(),
    }
}

fn vars(
    of: Option<&At>,
    file: &Arc<str>,
    path: &str,
    schema: &Schema,
    faults: &mut Faults,
) -> Vars {
    let Some(of) = of else { return Vars::new() };
    match &of.tree {
        Tree::Null => Vars::new(),
        Tree::Map(entries) => {
            let raw = |at: &At| {
                let text = match &at.tree {
                    Tree::Scalar(text) => Some(text.clone()),
                    Tree::Null => Some(String::new()),
                    _ => None,
                };
                Arc::new(Raw {
                    text,
                    place: place(file, at, path),
                })
            };
            entries
                .iter()
                .map(|(name, at)| (schema.field(name).to_string(), raw(at)))
                .collect()
        }
        _ => {
            faults.error(&place(file, of, path), "vars", "", "is not a mapping", "");
            Vars::new()
        }
    }
}

impl Inventory {
    /// Takes in a file of groups.
    pub(crate) fn add(&mut self, root: &At, file: &Arc<str>, schema: &Schema, faults: &mut Faults) {
        let Tree::Map(groups) = &root.tree else {
            faults.error(
                &place(file, root, ""),
                "",
                "",
                "has no groups at the top",
                "all: {hosts: {...}} was expected",
            );
            return;
        };
        let listed = root.get("_meta").and_then(|meta| meta.get("hostvars"));
        for (name, group) in groups.iter().filter(|(name, _)| name != "_meta") {
            self.group(name, group, file, name, 0, schema, faults);
        }
        if let Some(Tree::Map(hosts)) = listed.map(|listed| &listed.tree) {
            for (name, own) in hosts {
                let path = format!("_meta.hostvars.{name}");
                let found = vars(Some(own), file, &path, schema, faults);
                let place = place(file, own, &path);
                let entry = self.hosts.entry(name.clone()).or_insert_with(|| Entry {
                    own: Vars::new(),
                    place,
                });
                entry.own.extend(found);
            }
        }
    }

    /// Takes in a file of `group_vars` or `host_vars`.
    pub(crate) fn add_vars(
        &mut self,
        of_host: bool,
        name: &str,
        root: &At,
        file: &Arc<str>,
        schema: &Schema,
        faults: &mut Faults,
    ) {
        let path = format!("{}_vars.{name}", if of_host { "host" } else { "group" });
        let found = vars(Some(root), file, &path, schema, faults);
        let files = if of_host {
            &mut self.host_files
        } else {
            &mut self.group_files
        };
        files.entry(name.to_string()).or_default().extend(found);
    }

    #[allow(clippy::too_many_arguments)]
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn group(
        &mut self,
        name: &str,
        at: &At,
        file: &Arc<str>,
        path: &str,
        depth: usize,
        schema: &Schema,
        faults: &mut Faults,
    ) {
        if depth > MAX_DEPTH {
            faults.error(
                &place(file, at, name),
                "children",
                "",
                format!("groups are nested deeper than {MAX_DEPTH}"),
                "",
            );
            return;
        }
        let entries = match &at.tree {
            Tree::Null => &[][..],
            Tree::Map(entries) => entries,
            _ => {
                faults.error(
                    &place(file, at, path),
                    "",
                    "",
                    "is no group",
                    "hosts, vars and children were expected",
                );
                return;
            }
        };
        self.groups.entry(name.to_string()).or_default();
        for (key, part) in entries {
            match key.as_str() {
                "hosts" => self.members(name, part, file, path, schema, faults),
                "vars" => {
                    let found = vars(Some(part), file, path, schema, faults);
                    let priority = found
                        .get("ansible_group_priority")
                        .and_then(|raw| raw.text.as_deref()?.parse().ok());
                    if let Some(group) = self.groups.get_mut(name) {
                        group.priority = priority.unwrap_or(group.priority);
                        group.vars.extend(found);
                    }
                }
                "children" => match &part.tree {
                    Tree::Null => {}
                    Tree::Map(children) => {
                        for (child, at) in children {
                            if let Some(group) = self.groups.get_mut(name) {
                                group.children.insert(child.clone());
                            }
                            let path = format!("{path}.children.{child}");
                            self.group(child, at, file, &path, depth + 1, schema, faults);
                        }
                    }
                    // As `ansible-inventory --list` has them.
                    Tree::List(children) if children.iter().all(|at| at.scalar().is_some()) => {
                        for child in children.iter().filter_map(At::scalar) {
                            if let Some(group) = self.groups.get_mut(name) {
                                group.children.insert(child.to_string());
                            }
                            self.groups.entry(child.to_string()).or_default();
                        }
                    }
                    _ => faults.error(
                        &place(file, part, path),
                        "children",
                        "",
                        "is not a mapping",
                        "",
                    ),
                },
                other => {
                    let help =
                        match crate::host::near(other, ["hosts", "vars", "children"].into_iter()) {
                            Some(near) => format!("{near} was meant?"),
                            None => "a group has hosts, vars and children".into(),
                        };
                    faults.error(
                        &place(file, part, path),
                        "",
                        other,
                        "is no part of a group",
                        help,
                    );
                }
            }
        }
    }

    fn members(
        &mut self,
        group: &str,
        at: &At,
        file: &Arc<str>,
        path: &str,
        schema: &Schema,
        faults: &mut Faults,
    ) {
        let nothing = At {
            line: at.line,
            column: at.column,
            tree: Tree::Null,
        };
        let listed: Vec<(&str, &At)> = match &at.tree {
            Tree::Null => Vec::new(),
            Tree::Map(hosts) => hosts
                .iter()
                .map(|(name, own)| (name.as_str(), own))
                .collect(),
            Tree::List(hosts) if hosts.iter().all(|at| at.scalar().is_some()) => hosts
                .iter()
                .filter_map(|at| Some((at.scalar()?, &nothing)))
                .collect(),
            _ => return faults.error(&place(file, at, path), "hosts", "", "is not a mapping", ""),
        };
        for (pattern, own) in listed {
            let path = format!("{path}.hosts.{pattern}");
            let at = place(file, own, &path);
            let names = match range::names(pattern) {
                Ok(names) => names,
                Err(problem) => {
                    faults.error(&at, "name", pattern, problem, "");
                    continue;
                }
            };
            if self.hosts.len() + names.len() > MAX_HOSTS {
                return faults.error(
                    &at,
                    "",
                    "",
                    format!("there are more than {MAX_HOSTS} hosts"),
                    "",
                );
            }
            let found = vars(Some(own), file, &path, schema, faults);
            for name in names {
                if let Some(group) = self.groups.get_mut(group) {
                    group.hosts.insert(name.clone());
                }
                let entry = self.hosts.entry(name).or_insert_with(|| Entry {
                    own: Vars::new(),
                    place: at.clone(),
                });
                for (field, raw) in &found {
                    // Said twice of one host, and not the same: neither may silently win.
                    let before = entry.own.insert(field.clone(), raw.clone());
                    if let Some(before) = before.filter(|before| before.text != raw.text) {
                        let value = raw.text.clone().unwrap_or_default();
                        let problem = format!("says otherwise than {}", before.place);
                        faults.error(&raw.place, field, &value, problem, "one host has one value");
                    }
                }
            }
        }
    }

    /// The hosts with all that holds of them.
    pub(crate) fn hosts(mut self, schema: &Schema, faults: &mut Faults) -> Vec<Host> {
        self.depths(faults);
        // Each group's parents, and from them all groups that a host is in.
        let mut parents: BTreeMap<&str, Vec<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            for child in &group.children {
                parents.entry(child).or_default().push(name);
            }
        }
        let mut of_host: BTreeMap<&str, BTreeSet<&str>> = BTreeMap::new();
        for (name, group) in &self.groups {
            let mut above = BTreeSet::from([name.as_str(), "all"]);
            let mut open = vec![name.as_str()];
            while let Some(next) = open.pop() {
                for parent in parents.get(next).into_iter().flatten() {
                    if above.insert(parent) {
                        open.push(parent);
                    }
                }
            }
            for host in &group.hosts {
                of_host.entry(host).or_default().extend(&above);
            }
        }
        let empty = Group::default();
        let mut hosts = Vec::with_capacity(self.hosts.len());
        for (name, entry) in &self.hosts {
            let mut groups: Vec<(&str, &Group)> = of_host
                .get(name.as_str())
                .into_iter()
                .flatten()
                .map(|group| (*group, self.groups.get(*group).unwrap_or(&empty)))
                .collect();
            groups.sort_by_key(|(name, group)| {
                (
                    if *name == "all" { 0 } else { group.depth + 1 },
                    group.priority,
                    *name,
                )
            });
            let inline = groups.iter().map(|(_, group)| &group.vars);
            let files = groups
                .iter()
                .filter_map(|(name, _)| self.group_files.get(*name));
            let mut values: BTreeMap<String, Raw> = BTreeMap::new();
            for vars in inline
                .chain(files)
                .chain([&entry.own])
                .chain(self.host_files.get(name))
            {
                values.extend(
                    vars.iter()
                        .map(|(field, raw)| (field.clone(), (**raw).clone())),
                );
            }
            let mut names: Vec<String> = groups.iter().map(|(name, _)| name.to_string()).collect();
            names.sort();
            hosts.extend(host(name, &entry.place, &values, names, schema, faults));
        }
        hosts
    }

    /// How far each group is below the top at most; a ring of groups is a fault.
    fn depths(&mut self, faults: &mut Faults) {
        let names: Vec<String> = self.groups.keys().cloned().collect();
        for _ in 0..=MAX_DEPTH {
            let mut changed = false;
            for name in &names {
                let Some(group) = self.groups.get(name) else {
                    continue;
                };
                let (depth, children) = (group.depth + 1, group.children.clone());
                for child in children {
                    if let Some(group) = self
                        .groups
                        .get_mut(&child)
                        .filter(|group| group.depth < depth)
                    {
                        group.depth = depth;
                        changed = true;
                    }
                }
            }
            if !changed {
                return;
            }
        }
        faults.error(
            &Place::default(),
            "children",
            "",
            "groups are children of each other in a ring",
            "",
        );
    }
}
