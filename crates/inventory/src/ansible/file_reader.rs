//! Reads one file into the inventory: a file of groups with hosts, variables and children, or a
//! file of variables.

use super::{Inventory, ListedHost, VariableScope, Variables, MAX_DEPTH, MAX_HOSTS};
use crate::fault::{Fault, Faults, Location};
use crate::host::Schema;
use crate::host_fields::FieldValue;
use crate::range;
use crate::spelling::closest_name;
use crate::yaml::{LocatedValue, YamlValue};
use std::sync::Arc;

/// Reads one file and adds its content to the inventory.
pub(crate) struct FileReader<'a> {
    pub(crate) inventory: &'a mut Inventory,
    pub(crate) file: &'a Arc<str>,
    pub(crate) schema: &'a Schema,
    pub(crate) faults: &'a mut Faults,
}

impl FileReader<'_> {
    /// Reads a file of groups.
    pub(crate) fn read_groups(&mut self, root: &LocatedValue) {
        let YamlValue::Map(groups) = &root.value else {
            let fault = self.error(root, "", "has no groups at the top level");
            self.faults
                .add(fault.help("all: {hosts: {...}} was expected"));
            return;
        };
        for (name, group) in groups.iter().filter(|(name, _)| name != "_meta") {
            self.read_group(name, group, name, 0);
        }
        let listed = root.get("_meta").and_then(|meta| meta.get("hostvars"));
        if let Some(YamlValue::Map(hosts)) = listed.map(|listed| &listed.value) {
            for (name, variables) in hosts {
                self.read_meta_host(name, variables);
            }
        }
    }

    /// Reads a file of `group_vars` or `host_vars`; `name` is the name of the group or host.
    pub(crate) fn read_variables_file(
        &mut self,
        scope: VariableScope,
        name: &str,
        root: &LocatedValue,
    ) {
        let path = match scope {
            VariableScope::Group => format!("group_vars.{name}"),
            VariableScope::Host => format!("host_vars.{name}"),
        };
        let variables = self.read_variables(root, &path);
        let files = match scope {
            VariableScope::Group => &mut self.inventory.group_files,
            VariableScope::Host => &mut self.inventory.host_files,
        };
        files.entry(name.to_string()).or_default().extend(variables);
    }

    /// Reads the variables of one host from `_meta.hostvars`, as printed by
    /// `ansible-inventory --list`.
    fn read_meta_host(&mut self, name: &str, value: &LocatedValue) {
        let path = format!("_meta.hostvars.{name}");
        let variables = self.read_variables(value, &path);
        let location = self.location(value, &path);
        let host = self.inventory.hosts.entry(name.to_string());
        let host = host.or_insert_with(|| ListedHost {
            variables: Variables::new(),
            location,
        });
        host.variables.extend(variables);
    }

    fn read_group(&mut self, name: &str, value: &LocatedValue, path: &str, depth: usize) {
        if depth > MAX_DEPTH {
            let problem = format!("groups are nested deeper than {MAX_DEPTH}");
            let fault = self.error(value, name, problem);
            self.faults.add(fault.field("children"));
            return;
        }
        let entries = match &value.value {
            YamlValue::Null => &[][..],
            YamlValue::Map(entries) => entries,
            _ => {
                let fault = self.error(value, path, "is not a group");
                let help = "hosts, vars and children were expected";
                self.faults.add(fault.help(help));
                return;
            }
        };
        self.inventory.groups.entry(name.to_string()).or_default();
        for (key, entry) in entries {
            match key.as_str() {
                "hosts" => self.read_hosts(name, entry, path),
                "vars" => self.read_group_variables(name, entry, path),
                "children" => self.read_children(name, entry, path, depth),
                other => self.report_unknown_key(other, entry, path),
            }
        }
    }

    fn report_unknown_key(&mut self, key: &str, entry: &LocatedValue, path: &str) {
        let known = ["hosts", "vars", "children"].into_iter();
        let help = match closest_name(key, known) {
            Some(name) => format!("did you mean {name}?"),
            None => "a group has hosts, vars and children".into(),
        };
        let fault = self.error(entry, path, "is not a key of a group");
        self.faults.add(fault.value(key).help(help));
    }

    fn read_group_variables(&mut self, group: &str, value: &LocatedValue, path: &str) {
        let variables = self.read_variables(value, path);
        let priority = variables
            .get("ansible_group_priority")
            .and_then(|value| value.text.as_deref()?.parse().ok());
        if let Some(group) = self.inventory.groups.get_mut(group) {
            group.priority = priority.unwrap_or(group.priority);
            group.variables.extend(variables);
        }
    }

    fn read_children(&mut self, group: &str, value: &LocatedValue, path: &str, depth: usize) {
        match &value.value {
            YamlValue::Null => {}
            YamlValue::Map(children) => {
                for (child, value) in children {
                    self.add_child(group, child);
                    let path = format!("{path}.children.{child}");
                    self.read_group(child, value, &path, depth + 1);
                }
            }
            // `ansible-inventory --list` prints children as a list of names.
            YamlValue::List(children) if all_scalars(children) => {
                for child in children.iter().filter_map(LocatedValue::scalar) {
                    self.add_child(group, child);
                    self.inventory.groups.entry(child.to_string()).or_default();
                }
            }
            _ => {
                let fault = self.error(value, path, "is not a mapping");
                self.faults.add(fault.field("children"));
            }
        }
    }

    fn add_child(&mut self, group: &str, child: &str) {
        if let Some(group) = self.inventory.groups.get_mut(group) {
            group.children.insert(child.to_string());
        }
    }

    fn read_hosts(&mut self, group: &str, value: &LocatedValue, path: &str) {
        let without_variables = LocatedValue {
            line: value.line,
            column: value.column,
            value: YamlValue::Null,
        };
        let hosts: Vec<(&str, &LocatedValue)> = match &value.value {
            YamlValue::Null => Vec::new(),
            YamlValue::Map(hosts) => hosts
                .iter()
                .map(|(pattern, variables)| (pattern.as_str(), variables))
                .collect(),
            YamlValue::List(hosts) if all_scalars(hosts) => hosts
                .iter()
                .filter_map(|host| Some((host.scalar()?, &without_variables)))
                .collect(),
            _ => {
                let fault = self.error(value, path, "is not a mapping");
                self.faults.add(fault.field("hosts"));
                return;
            }
        };
        for (pattern, variables) in hosts {
            let path = format!("{path}.hosts.{pattern}");
            if self.read_pattern(group, pattern, variables, &path).is_err() {
                return;
            }
        }
    }

    /// Adds the hosts that a pattern expands to.
    fn read_pattern(
        &mut self,
        group: &str,
        pattern: &str,
        value: &LocatedValue,
        path: &str,
    ) -> Result<(), TooManyHosts> {
        let location = self.location(value, path);
        let names = match range::names(pattern) {
            Ok(names) => names,
            Err(problem) => {
                let fault = Fault::error(&location, problem.to_string());
                self.faults.add(fault.field("name").value(pattern));
                return Ok(());
            }
        };
        if self.inventory.hosts.len() + names.len() > MAX_HOSTS {
            let problem = format!("there are more than {MAX_HOSTS} hosts");
            self.faults.add(Fault::error(&location, problem));
            return Err(TooManyHosts);
        }
        let variables = self.read_variables(value, path);
        for name in names {
            if let Some(group) = self.inventory.groups.get_mut(group) {
                group.hosts.insert(name.clone());
            }
            self.add_host(name, &variables, &location);
        }
        Ok(())
    }

    fn add_host(&mut self, name: String, variables: &Variables, location: &Location) {
        let host = self.inventory.hosts.entry(name);
        let host = host.or_insert_with(|| ListedHost {
            variables: Variables::new(),
            location: location.clone(),
        });
        for (field, value) in variables {
            let before = host.variables.insert(field.clone(), value.clone());
            // Two different values of one variable for the same host are an error: keeping either one
            // silently could apply the wrong value.
            if let Some(before) = before.filter(|before| before.text != value.text) {
                let problem = format!("differs from the value at {}", before.location);
                let fault = Fault::error(&value.location, problem)
                    .field(field)
                    .value(value.text.as_deref().unwrap_or_default())
                    .help("a host has one value for each variable");
                self.faults.add(fault);
            }
        }
    }

    fn read_variables(&mut self, value: &LocatedValue, path: &str) -> Variables {
        match &value.value {
            YamlValue::Null => Variables::new(),
            YamlValue::Map(entries) => entries
                .iter()
                .map(|(name, value)| {
                    let field = self.schema.field(name).to_string();
                    (field, Arc::new(self.field_value(value, path)))
                })
                .collect(),
            _ => {
                let fault = self.error(value, path, "is not a mapping");
                self.faults.add(fault.field("vars"));
                Variables::new()
            }
        }
    }

    fn field_value(&self, value: &LocatedValue, path: &str) -> FieldValue {
        let text = match &value.value {
            YamlValue::Scalar(text) => Some(text.clone()),
            YamlValue::Null => Some(String::new()),
            YamlValue::List(_) | YamlValue::Map(_) => None,
        };
        FieldValue {
            text,
            location: self.location(value, path),
        }
    }

    fn location(&self, value: &LocatedValue, path: &str) -> Location {
        Location::new(self.file, value.line, value.column, path)
    }

    fn error(&self, value: &LocatedValue, path: &str, problem: impl Into<String>) -> Fault {
        Fault::error(&self.location(value, path), problem)
    }
}

/// The inventory has reached [`MAX_HOSTS`].
struct TooManyHosts;

fn all_scalars(values: &[LocatedValue]) -> bool {
    values.iter().all(|value| value.scalar().is_some())
}
