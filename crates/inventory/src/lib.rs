//! Lists of hosts as configuration tools keep them: CSV, YAML in Ansible's form, the JSON of
//! `ansible-inventory --list`, with `group_vars` and `host_vars` beside them. [`read`] takes the bytes of all files
//! of an inventory and gives its hosts and every fault; [`suspicious`] says whether a list must be confirmed
//! before it takes the place of another.
//!
//! It opens no file and no socket and reads no clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ansible;
mod completeness;
mod consistency;
mod csv_file;
mod fault;
mod host;
mod host_address;
mod host_fields;
mod range;
mod spelling;
mod suspicion;
mod yaml;

pub use ansible::MAX_HOSTS;
pub use fault::{summary, Fault, Location, Severity, MAX_FAULTS};
pub use host::{Host, Protocol, Schema, State, FIELDS, MAX_LABELS, PORT};
pub use range::MAX_NAMES;
pub use suspicion::{suspicious, Shares};

use ansible::{FileReader, VariablesOf};
use fault::Faults;
use std::sync::Arc;

/// Longest file, bytes: bounds what a reading holds in memory.
pub const MAX_FILE: usize = 32 * 1024 * 1024;

/// What some editors put before a text, and is none of it.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

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
    pub fn has_no_errors(&self) -> bool {
        self.faults
            .iter()
            .all(|fault| fault.severity == Severity::Warning)
    }
}

/// Reads the files of one inventory. They are merged in the order of their paths; `group_vars` and `host_vars`
/// are over what the others say.
pub fn read(files: &[File], schema: &Schema) -> Reading {
    let mut sorted: Vec<&File> = files.iter().collect();
    sorted.sort_by(|a, b| a.path.cmp(&b.path));
    let mut reader = Reader::new(schema);
    for file in sorted {
        reader.read_file(file);
    }
    reader.finish()
}

/// What has been read of an inventory.
struct Reader<'a> {
    schema: &'a Schema,
    /// From CSV.
    hosts: Vec<Host>,
    ansible: ansible::Inventory,
    /// Hosts that the files declare, together.
    declared_hosts: Option<usize>,
    faults: Faults,
}

/// The form of a file, by its path.
enum FileForm<'a> {
    Csv,
    Groups,
    Variables { of: VariablesOf, name: &'a str },
}

impl<'a> Reader<'a> {
    fn new(schema: &'a Schema) -> Reader<'a> {
        Reader {
            schema,
            hosts: Vec::new(),
            ansible: ansible::Inventory::default(),
            declared_hosts: None,
            faults: Faults::default(),
        }
    }

    fn read_file(&mut self, file: &File) {
        let name: Arc<str> = file.path.as_str().into();
        let Some(text) = self.text(file, &name) else {
            return;
        };
        if let Some(count) = completeness::check(text, &name, &mut self.faults) {
            self.declared_hosts = Some(self.declared_hosts.unwrap_or(0) + count);
        }
        match FileForm::of(&file.path) {
            FileForm::Csv => {
                let hosts = csv_file::read(text, &name, self.schema, &mut self.faults);
                self.hosts.extend(hosts);
            }
            form => self.read_yaml(text, &name, form),
        }
    }

    /// A file's text, unless it is too long or none.
    fn text<'f>(&mut self, file: &'f File, name: &Arc<str>) -> Option<&'f str> {
        let length = file.bytes.len();
        if length > MAX_FILE {
            let problem = format!("has {length} bytes, {MAX_FILE} are the most");
            self.faults
                .add(Fault::error(&Location::of_file(name), problem));
            return None;
        }
        let bytes = file.bytes.strip_prefix(BYTE_ORDER_MARK);
        let bytes = bytes.unwrap_or(&file.bytes);
        let error = match std::str::from_utf8(bytes) {
            Ok(text) => return Some(text),
            Err(error) => error,
        };
        let before = bytes[..error.valid_up_to()].iter();
        let line = before.filter(|byte| **byte == b'\n').count() as u64 + 1;
        let location = Location::in_file(name, line, 1);
        self.faults
            .add(Fault::error(&location, "is not UTF-8 from here"));
        None
    }

    fn read_yaml(&mut self, text: &str, name: &Arc<str>, form: FileForm) {
        let root = match yaml::parse(text) {
            Ok(root) => root,
            Err(error) => {
                let location = Location::in_file(name, error.line, error.column);
                self.faults.add(Fault::error(&location, error.problem));
                return;
            }
        };
        let mut reader = FileReader {
            inventory: &mut self.ansible,
            file: name,
            schema: self.schema,
            faults: &mut self.faults,
        };
        match form {
            FileForm::Variables { of, name } => reader.read_variables_file(of, name, &root),
            FileForm::Groups | FileForm::Csv => reader.read_groups(&root),
        }
    }

    /// The hosts, judged together.
    fn finish(mut self) -> Reading {
        let mut hosts = self.hosts;
        hosts.extend(self.ansible.hosts(self.schema, &mut self.faults));
        consistency::check_contradictions(&hosts, &mut self.faults);
        consistency::check_weights(&hosts, &mut self.faults);
        let declared = self.declared_hosts;
        if let Some(count) = declared.filter(|count| *count != hosts.len()) {
            let problem = format!("{count} hosts are declared, {} were read", hosts.len());
            let fault = Fault::error(&Location::default(), problem);
            let help = "the file may have been read half-written";
            self.faults.add(fault.help(help));
        }
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        Reading {
            hosts,
            faults: self.faults.into_found(),
        }
    }
}

impl FileForm<'_> {
    fn of(path: &str) -> FileForm<'_> {
        let mut parts = path.rsplit('/');
        let (last, folder) = (parts.next().unwrap_or(""), parts.next().unwrap_or(""));
        if last.to_ascii_lowercase().ends_with(".csv") {
            return FileForm::Csv;
        }
        let name = last.rsplit_once('.').map_or(last, |(stem, _)| stem);
        let of = match folder {
            "group_vars" => VariablesOf::Group,
            "host_vars" => VariablesOf::Host,
            _ => return FileForm::Groups,
        };
        FileForm::Variables { of, name }
    }
}
