//! Lists of instances as configuration tools keep them: CSV, YAML in Ansible's form, the JSON of
//! `ansible-inventory --list`, with `group_vars` and `host_vars` beside them. [`read`] takes the bytes of all files
//! of an inventory and gives its hosts and every fault; [`suspicious`] says whether a list must be confirmed
//! before it takes the place of another.
//!
//! It opens no file and no socket and reads no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ansible;
mod fault;
mod host;
mod judge;
mod range;
mod table;
mod tree;

pub use ansible::MAX_HOSTS;
pub use fault::{summary, Fault, Place, Weight, MAX_FAULTS};
pub use host::{Host, Protocol, Schema, State, FIELDS, MAX_LABELS, PORT};
pub use judge::{suspicious, Shares};
pub use range::MAX_NAMES;

use fault::Faults;
use std::sync::Arc;

/// Longest file, bytes.
pub const MAX_FILE: usize = 32 * 1024 * 1024;

/// A file of an inventory.
#[derive(Clone, Debug)]
pub struct File {
    /// Its path: `.csv` is CSV, whatever else YAML or JSON; `group_vars/NAME` and `host_vars/NAME` hold variables.
    pub path: String,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What the files of an inventory say.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// Hosts by name; all that could be read, also where there are faults.
    pub hosts: Vec<Host>,
    /// Faults in the order in which they were found.
    pub faults: Vec<Fault>,
}

impl Reading {
    /// Whether nothing but warnings was found.
    pub fn holds(&self) -> bool {
        self.faults
            .iter()
            .all(|fault| fault.weight == Weight::Warning)
    }
}

/// Reads the files of one inventory. They are merged in the order of their paths; `group_vars` and `host_vars`
/// are over what the others say.
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
pub fn read(files: &[File], schema: &Schema) -> Reading {
    let mut faults = Faults::default();
    let mut sorted: Vec<&File> = files.iter().collect();
    sorted.sort_by(|a, b| a.path.cmp(&b.path));
    let (mut hosts, mut ansible) = (Vec::new(), ansible::Inventory::default());
    let mut declared: Option<usize> = None;
    for file in sorted {
        let name: Arc<str> = file.path.as_str().into();
        let top = Place {
            file: name.clone(),
            ..Place::default()
        };
        if file.bytes.len() > MAX_FILE {
            faults.error(
                &top,
                "",
                "",
                format!("has {} bytes, {MAX_FILE} are the most", file.bytes.len()),
                "",
            );
            continue;
        }
        // A byte order mark is none of the text.
        let bytes = file
            .bytes
            .strip_prefix(b"\xef\xbb\xbf")
            .unwrap_or(&file.bytes);
        let text = match std::str::from_utf8(bytes) {
            Ok(text) => text,
            Err(e) => {
                let line = bytes[..e.valid_up_to()]
                    .iter()
                    .filter(|b| **b == b'\n')
                    .count() as u64
                    + 1;
                let at = Place {
                    line,
                    column: 1,
                    ..top
                };
                faults.error(&at, "", "", "is not UTF-8 from here", "");
                continue;
            }
        };
        if let Some(count) = judge::whole(text, &name, &mut faults) {
            declared = Some(declared.unwrap_or(0) + count);
        }
        let mut parts = file.path.rsplit('/');
        let (last, folder) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        if last.to_ascii_lowercase().ends_with(".csv") {
            hosts.extend(table::read(text, &name, schema, &mut faults));
            continue;
        }
        let root = match tree::parse(text) {
            Ok(root) => root,
            Err(e) => {
                let at = Place {
                    line: e.line,
                    column: e.column,
                    ..top
                };
                faults.error(&at, "", "", e.problem, "");
                continue;
            }
        };
        let stem = last.rsplit_once('.').map_or(last, |(stem, _)| stem);
        match folder {
            "group_vars" | "host_vars" => {
                ansible.add_vars(
                    folder == "host_vars",
                    stem,
                    &root,
                    &name,
                    schema,
                    &mut faults,
                );
            }
            _ => ansible.add(&root, &name, schema, &mut faults),
        }
    }
    hosts.extend(ansible.hosts(schema, &mut faults));
    judge::contradictions(&hosts, &mut faults);
    judge::outliers(&hosts, &mut faults);
    if let Some(count) = declared.filter(|count| *count != hosts.len()) {
        let problem = format!("{count} hosts are declared, {} were read", hosts.len());
        faults.error(
            &Place::default(),
            "",
            "",
            problem,
            "the file may have been read half-written",
        );
    }
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    Reading {
        hosts,
        faults: faults.0,
    }
}
