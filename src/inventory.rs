//! The operator's inventory: instances as configuration tools keep them, in CSV with a header row or in
//! YAML's groups, hosts and vars. It owns reading the file and the messages that name row and field; the
//! name table takes the result. It must never change the list for a file that is wrong anywhere, nor drop
//! a host that is no longer named without letting it drain.

use crate::api::{HostEntry, HostState, ALL_HOSTS};
use crate::facade::InstanceId;
use crate::name_table::{Instance, NameTable, Speaks};
use driftgap_routes::MOST_LABELS;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Deepest nesting of groups.
const MOST_DEPTH: usize = 16;
/// Longest file.
const MOST_BYTES: u64 = 8 * 1024 * 1024;
/// Port of a host that names none.
const PORT: u16 = 6379;
/// The columns or variables that are read; others are the operator's own.
const FIELDS: [&str; 8] =
    ["name", "address", "ansible_host", "ansible_port", "zone", "cell", "weight", "protocol"];

/// A file that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum InventoryError {
    /// It cannot be read.
    #[error("{0}")]
    Read(#[from] std::io::Error),
    /// It is no CSV or no YAML.
    #[error("{0}")]
    Form(String),
    /// A value that makes no sense, at a row (or the path of a host) and a field.
    #[error("{place}: {field}: {problem}")]
    Value {
        /// The row or the host.
        place: String,
        /// The field.
        field: &'static str,
        /// What is wrong.
        problem: String,
    },
}

/// One instance of the inventory.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    name: String,
    addr: SocketAddr,
    zone: Option<String>,
    cell: u32,
    weight: f64,
    speaks: Speaks,
    labels: Vec<(String, String)>,
}

/// Whether a column or a variable is the operator's own: it becomes a label, for pools to read.
fn is_label(name: &str) -> bool {
    !FIELDS.contains(&name) && !name.starts_with("ansible_")
}

/// A host from its fields, however the file holds them.
fn host(
    place: &str,
    labels: Vec<(String, String)>,
    get: impl Fn(&str) -> Option<String>,
) -> Result<Host, InventoryError> {
    let wrong = |field: &'static str, problem: String| InventoryError::Value {
        place: place.to_string(),
        field,
        problem,
    };
    let get = |field: &'static str| get(field).map(|v| v.trim().to_string()).filter(|v| !v.is_empty());
    let name = get("name").ok_or_else(|| wrong("name", "is missing".into()))?;
    let (field, text) = match (get("address"), get("ansible_host")) {
        (Some(address), _) => ("address", address),
        (None, Some(host)) => {
            let port = get("ansible_port").unwrap_or_else(|| PORT.to_string());
            let port: u16 =
                port.parse().map_err(|_| wrong("ansible_port", format!("{port:?} is not a port")))?;
            let bracketed = if host.contains(':') { format!("[{host}]") } else { host };
            ("ansible_host", format!("{bracketed}:{port}"))
        }
        (None, None) => return Err(wrong("address", "is missing".into())),
    };
    let addr = text.parse().map_err(|_| wrong(field, format!("{text:?} is not an IP address and port")))?;
    let number = |field: &'static str, absent: f64, least: f64| {
        let Some(text) = get(field) else { return Ok(absent) };
        let value = text.parse::<f64>().ok().filter(|v| v.is_finite() && *v >= least && *v <= 1e9);
        value.ok_or_else(|| wrong(field, format!("{text:?} is not a number from {least}")))
    };
    let speaks = match get("protocol").as_deref() {
        None | Some("resp") => Speaks::Resp,
        Some("http2") => Speaks::Http2,
        Some(other) => return Err(wrong("protocol", format!("{other:?} is neither resp nor http2"))),
    };
    let (cell, weight) = (number("cell", 0.0, 0.0)? as u32, number("weight", 1.0, 0.01)?);
    Ok(Host { name, addr, zone: get("zone"), cell, weight, speaks, labels })
}

/// Hosts from CSV with a header row.
///
/// # Errors
/// The first row and field that make no sense.
pub fn from_csv(text: &str) -> Result<Vec<Host>, InventoryError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let form = |e: csv::Error| InventoryError::Form(e.to_string());
    let header = reader.headers().map_err(form)?.clone();
    if !header.iter().any(|h| h == "name") {
        return Err(InventoryError::Form("row 1: name: no such column in the header".into()));
    }
    let mut hosts = Vec::new();
    for row in reader.records() {
        let row = row.map_err(form)?;
        let place = format!("row {}", row.position().map_or(0, csv::Position::line));
        let get = |field: &str| {
            let at = header.iter().position(|h| h == field)?;
            row.get(at).map(str::to_string)
        };
        let others =
            header.iter().zip(row.iter()).filter(|(name, value)| is_label(name) && !value.is_empty());
        let labels =
            others.map(|(name, value)| (name.to_string(), value.to_string())).take(MOST_LABELS).collect();
        hosts.push((place.clone(), host(&place, labels, get)?));
    }
    unique(hosts)
}

/// Hosts from YAML: groups with `hosts`, `vars` and `children`. A group's vars hold for its hosts and
/// children; what is nearer to a host wins.
///
/// # Errors
/// The first host and field that make no sense.
pub fn from_yaml(text: &str) -> Result<Vec<Host>, InventoryError> {
    let value: Value = serde_saphyr::from_str(text)
        .map_err(|e| InventoryError::Form(e.to_string().lines().next().unwrap_or("not YAML").to_string()))?;
    let Value::Object(groups) = value else {
        return Err(InventoryError::Form("no groups at the top".into()));
    };
    let mut found = BTreeMap::new();
    for (name, group) in &groups {
        walk(name, group, &Map::new(), 0, &mut found)?;
    }
    let hosts = found.into_iter().map(|(name, (place, vars))| {
        let get = |field: &str| match field {
            "name" => Some(name.clone()),
            _ => vars.get(field).and_then(scalar),
        };
        let labels = vars.iter().filter(|(name, _)| is_label(name));
        let labels = labels.filter_map(|(name, value)| Some((name.clone(), scalar(value)?)));
        host(&place, labels.take(MOST_LABELS).collect(), get).map(|host| (place.clone(), host))
    });
    unique(hosts.collect::<Result<_, _>>()?)
}

type Found = BTreeMap<String, (String, Map<String, Value>)>;

fn scalar(value: &Value) -> Option<String> {
    match value {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        Value::Bool(flag) => Some(flag.to_string()),
        _ => None,
    }
}

fn walk(
    path: &str,
    group: &Value,
    outer: &Map<String, Value>,
    depth: usize,
    found: &mut Found,
) -> Result<(), InventoryError> {
    let wrong = |field: &'static str, problem: &str| InventoryError::Value {
        place: path.to_string(),
        field,
        problem: problem.to_string(),
    };
    if depth > MOST_DEPTH {
        return Err(wrong("children", "groups are nested too deep"));
    }
    let part = |field: &'static str| match group.get(field) {
        None | Some(Value::Null) => Ok(Map::new()),
        Some(Value::Object(map)) => Ok(map.clone()),
        Some(_) => Err(wrong(field, "is not a mapping")),
    };
    let mut vars = outer.clone();
    vars.extend(part("vars")?);
    for (name, own) in part("hosts")? {
        let place = format!("{path}.hosts.{name}");
        let own = match own {
            Value::Null => Map::new(),
            Value::Object(own) => own,
            _ => return Err(wrong("hosts", &format!("{name} is not a mapping"))),
        };
        if let Some(field) = FIELDS.iter().find(|f| own.get(**f).is_some_and(|v| scalar(v).is_none())) {
            return Err(InventoryError::Value { place, field, problem: "is not a single value".into() });
        }
        // A host may stand in several groups: it has the vars of all of them.
        let merged = &mut found.entry(name).or_insert_with(|| (place, Map::new())).1;
        merged.extend(vars.clone());
        merged.extend(own);
    }
    for (name, child) in part("children")? {
        walk(&format!("{path}.children.{name}"), &child, &vars, depth + 1, found)?;
    }
    Ok(())
}

/// Guards against two rows for one host, of which one would silently win.
fn unique(hosts: Vec<(String, Host)>) -> Result<Vec<Host>, InventoryError> {
    let mut names = BTreeSet::new();
    for (place, host) in &hosts {
        if !names.insert(host.name.clone()) {
            let problem = format!("{:?} is named twice", host.name);
            return Err(InventoryError::Value { place: place.clone(), field: "name", problem });
        }
    }
    Ok(hosts.into_iter().map(|(_, host)| host).collect())
}

/// The inventory file and what it named last.
#[derive(Debug)]
pub struct Inventory {
    path: PathBuf,
    named: BTreeSet<InstanceId>,
    /// What the last reading made drain, and what it found drained.
    draining: BTreeSet<InstanceId>,
    dropped: BTreeSet<InstanceId>,
}

impl Inventory {
    /// An inventory at a path; nothing is read yet.
    pub fn new(path: PathBuf) -> Inventory {
        Inventory { path, named: BTreeSet::new(), draining: BTreeSet::new(), dropped: BTreeSet::new() }
    }

    /// The file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether an instance was named by the reading before the last and by none since.
    pub fn dropped(&self, id: InstanceId) -> bool {
        self.dropped.contains(&id)
    }

    /// Reads the file into the table: what changes by it. Hosts that are no longer named drain.
    ///
    /// # Errors
    /// The file is wrong; the table is as it was.
    pub fn load(&mut self, table: &mut NameTable) -> Result<Vec<HostEntry>, InventoryError> {
        if std::fs::metadata(&self.path)?.len() > MOST_BYTES {
            return Err(InventoryError::Form("the file is too long".into()));
        }
        let text = std::fs::read_to_string(&self.path)?;
        let csv = self.path.extension().is_some_and(|e| e.eq_ignore_ascii_case("csv"));
        let hosts = if csv { from_csv(&text)? } else { from_yaml(&text)? };
        if let Some(host) = hosts.iter().find(|h| h.zone.as_ref().is_some_and(|z| !table.has_zone(z))) {
            let problem = format!("{:?} is not in the settings", host.zone.as_deref().unwrap_or(""));
            return Err(InventoryError::Value { place: host.name.clone(), field: "zone", problem });
        }
        let mut entries = Vec::with_capacity(hosts.len());
        for host in hosts {
            let id = table.number(&host.name);
            let zone = host.zone.as_ref().map_or(0, |z| table.zone(z));
            let (cell, size, state) = (host.cell, host.weight, HostState::Ready);
            table.place(
                id,
                Instance { name: host.name, addr: host.addr, speaks: host.speaks, labels: host.labels },
            );
            entries.push(HostEntry { host: id, zone, cell, state, size, started: 0.0, pools: ALL_HOSTS });
        }
        let named: BTreeSet<InstanceId> = entries.iter().map(|e| e.host).collect();
        self.dropped = self.draining.difference(&named).copied().collect();
        self.draining = self.named.difference(&named).copied().collect();
        let drained = self.draining.iter().map(|id| HostEntry {
            host: *id,
            zone: 0,
            cell: 0,
            state: HostState::Draining,
            size: 1.0,
            started: 0.0,
            pools: ALL_HOSTS,
        });
        entries.extend(drained);
        self.named = named;
        table.keep_inventory(&entries);
        Ok(entries)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn csv_and_yaml_name_the_same_hosts() {
        let csv = "name,address,zone,cell,weight,protocol,rack\n\
                   node-1,127.0.0.1:7001,building-1,2,1.5,http2,r9\n\
                   node-2,127.0.0.2:6379,building-1,,,,\n";
        let yaml = "
all:
  vars: {zone: building-1}
  children:
    catchup:
      vars: {protocol: resp}
      hosts:
        node-1: {address: '127.0.0.1:7001', cell: 2, weight: 1.5, protocol: http2, rack: r9}
        node-2: {ansible_host: 127.0.0.2}
    new:
      hosts:
        node-2:
";
        assert_eq!(from_csv(csv).unwrap(), from_yaml(yaml).unwrap());
    }

    #[test]
    fn what_is_wrong_is_named_by_row_and_field() {
        let cases = [
            ("name,address\na,127.0.0.1:1\nb,here\n", "row 3: address: \"here\""),
            ("name,address\n,127.0.0.1:1\n", "row 2: name"),
            ("name,address\na,127.0.0.1:1\na,127.0.0.1:2\n", "row 3: name: \"a\" is named twice"),
            ("name,address,weight\na,127.0.0.1:1,heavy\n", "row 2: weight"),
            ("name,address,protocol\na,127.0.0.1:1,smtp\n", "row 2: protocol"),
            ("address\n127.0.0.1:1\n", "row 1: name"),
            ("name,address\na\n", "line: 2"),
        ];
        for (text, want) in cases {
            let said = from_csv(text).unwrap_err().to_string();
            assert!(said.contains(want) && said.lines().count() == 1, "{said}");
        }
        let cases = [
            ("all: {hosts: {a: {address: here}}}", "all.hosts.a: address"),
            ("all: {hosts: {a: {ansible_host: 127.0.0.1, ansible_port: x}}}", "all.hosts.a: ansible_port"),
            ("all: {hosts: {a: {address: [1]}}}", "all.hosts.a: address: is not a single value"),
            ("all: {children: {g: {hosts: [a]}}}", "all.children.g: hosts"),
            ("[a, b]", "no groups"),
            ("all: {", ""),
        ];
        for (text, want) in cases {
            let said = from_yaml(text).unwrap_err().to_string();
            assert!(said.contains(want) && said.lines().count() == 1, "{said}");
        }
    }
}
