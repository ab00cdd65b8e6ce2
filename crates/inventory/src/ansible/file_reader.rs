//! Reading one file into the inventory: groups with hosts, variables and children, or a file of variables.

use super::{Inventory, ListedHost, Variables, VariablesOf, MAX_DEPTH, MAX_HOSTS};
use crate::fault::{Fault, Faults, Location};
use crate::host::Schema;
use crate::host_fields::FieldValue;
use crate::range;
use crate::spelling::closest_name;
use crate::yaml::{LocatedValue, YamlValue};
use std::sync::Arc;

/// Reads one file.
pub(crate) struct FileReader<'a> {
    pub(crate) inventory: &'a mut Inventory,
    pub(crate) file: &'a Arc<str>,
    pub(crate) schema: &'a Schema,
    pub(crate) faults: &'a mut Faults,
}

impl FileReader<'_> {
    /// Takes in a file of groups.
    pub(crate) fn read_groups(&mut self, root: &LocatedValue) {
        let YamlValue::Map(groups) = &root.value else {
            let fault = self.error(root, "", "has no groups at the top");
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

    /// Takes in a file of `group_vars` or `host_vars`; `name` is the group's or the host's.
    pub(crate) fn read_variables_file(&mut self, of: VariablesOf, name: &str, root: &LocatedValue) {
        let path = match of {
            VariablesOf::Group => format!("group_vars.{name}"),
            VariablesOf::Host => format!("host_vars.{name}"),
        };
        let variables = self.read_variables(root, &path);
        let files = match of {
            VariablesOf::Group => &mut self.inventory.group_files,
            VariablesOf::Host => &mut self.inventory.host_files,
        };
        files.entry(name.to_string()).or_default().extend(variables);
    }

    /// A host's variables as `ansible-inventory --list` has them.
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
        let parts = match &value.value {
            YamlValue::Null => &[][..],
            YamlValue::Map(parts) => parts,
            _ => {
                let fault = self.error(value, path, "is no group");
                let help = "hosts, vars and children were expected";
                self.faults.add(fault.help(help));
                return;
            }
        };
        self.inventory.groups.entry(name.to_string()).or_default();
        for (key, part) in parts {
            match key.as_str() {
                "hosts" => self.read_hosts(name, part, path),
                "vars" => self.read_group_variables(name, part, path),
                "children" => self.read_children(name, part, path, depth),
                other => self.report_unknown_part(other, part, path),
            }
        }
    }

    fn report_unknown_part(&mut self, key: &str, part: &LocatedValue, path: &str) {
        let known = ["hosts", "vars", "children"].into_iter();
        let help = match closest_name(key, known) {
            Some(name) => format!("{name} was meant?"),
            None => "a group has hosts, vars and children".into(),
        };
        let fault = self.error(part, path, "is no part of a group");
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
            // As `ansible-inventory --list` has them.
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

    /// Takes in the hosts that a pattern stands for.
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
            // Said twice of one host, and not the same: neither may silently win.
            if let Some(before) = before.filter(|before| before.text != value.text) {
                let problem = format!("says otherwise than {}", before.location);
                let fault = Fault::error(&value.location, problem)
                    .field(field)
                    .value(value.text.as_deref().unwrap_or_default())
                    .help("one host has one value");
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
