//! Reads inventories, the lists of hosts that configuration tools write: CSV, Ansible's YAML, or
//! the JSON of `ansible-inventory --list`, with `group_vars` and `host_vars`.
//!
//! [`read`] takes the bytes of all files of an inventory and returns its hosts and every fault.
//! [`suspicious`] decides whether a list must be confirmed before it replaces another one.
//!
//! The crate opens no file and no socket and reads no clock.

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

use ansible::{FileReader, VariableScope};
use fault::Faults;
use std::sync::Arc;

/// Maximum size of a file, in bytes; bounds the memory for reading.
pub const MAX_FILE: usize = 32 * 1024 * 1024;

/// The UTF-8 byte order mark, which some editors write at the start of a file.
const BYTE_ORDER_MARK: &[u8] = b"\xef\xbb\xbf";

/// A file of an inventory.
#[derive(Clone, Debug)]
pub struct File {
    /// The path of the file. `.csv` is read as CSV, every other file as YAML or JSON;
    /// `group_vars/NAME` and `host_vars/NAME` hold variables.
    pub path: String,
    /// The content of the file.
    pub bytes: Vec<u8>,
}

/// The result of reading an inventory.
#[derive(Clone, Debug, Default)]
pub struct Reading {
    /// The valid hosts, sorted by name. They are present even if there are faults.
    pub hosts: Vec<Host>,
    /// The faults in the order in which they were found.
    pub faults: Vec<Fault>,
}

impl Reading {
    /// Returns whether all faults are warnings, so that the inventory may be applied.
    pub fn has_no_errors(&self) -> bool {
        self.faults
            .iter()
            .all(|fault| fault.severity == Severity::Warning)
    }
}

/// Reads the files of one inventory. Files are merged in the order of their paths; variables in
/// `group_vars` and `host_vars` override those in other files.
pub fn read(files: &[File], schema: &Schema) -> Reading {
    let mut sorted: Vec<&File> = files.iter().collect();
    sorted.sort_by(|a, b| a.path.cmp(&b.path));
    let mut reader = Reader::new(schema);
    for file in sorted {
        reader.read_file(file);
    }
    reader.finish()
}

/// Collects the content of the files of one inventory.
struct Reader<'a> {
    schema: &'a Schema,
    /// Hosts from CSV files.
    hosts: Vec<Host>,
    ansible: ansible::Inventory,
    /// The number of hosts that all files together declare, if any file declares one.
    declared_hosts: Option<usize>,
    faults: Faults,
}

/// The format of a file, determined by its path.
enum FileForm<'a> {
    Csv,
    Groups,
    Variables { scope: VariableScope, name: &'a str },
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

    /// Returns the text of a file, or reports a fault if it is too long or not UTF-8.
    fn text<'f>(&mut self, file: &'f File, name: &Arc<str>) -> Option<&'f str> {
        let length = file.bytes.len();
        if length > MAX_FILE {
            let problem = format!("has {length} bytes; the limit is {MAX_FILE}");
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
        self.faults.add(Fault::error(
            &location,
            "is not UTF-8 from this position on",
        ));
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
            FileForm::Variables { scope, name } => reader.read_variables_file(scope, name, &root),
            FileForm::Groups | FileForm::Csv => reader.read_groups(&root),
        }
    }

    /// Determines the hosts of all files and checks them for contradictions.
    fn finish(mut self) -> Reading {
        let mut hosts = self.hosts;
        hosts.extend(self.ansible.hosts(self.schema, &mut self.faults));
        consistency::check_contradictions(&hosts, &mut self.faults);
        consistency::check_weights(&hosts, &mut self.faults);
        let declared = self.declared_hosts;
        if let Some(count) = declared.filter(|count| *count != hosts.len()) {
            let problem = format!("{count} hosts are declared, {} were read", hosts.len());
            let fault = Fault::error(&Location::default(), problem);
            let help = "the file may have been read while it was being written";
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
        let mut segments = path.rsplit('/');
        let (last, folder) = (segments.next().unwrap_or(""), segments.next().unwrap_or(""));
        if last.to_ascii_lowercase().ends_with(".csv") {
            return FileForm::Csv;
        }
        let name = last.rsplit_once('.').map_or(last, |(stem, _)| stem);
        let scope = match folder {
            "group_vars" => VariableScope::Group,
            "host_vars" => VariableScope::Host,
            _ => return FileForm::Groups,
        };
        FileForm::Variables { scope, name }
    }
}
