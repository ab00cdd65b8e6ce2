//! Faults of an inventory: their severity, location and wording, and a summary that groups repeated
//! ones.
//!
//! The number of faults and the length of the values that they quote are bounded, so that a
//! malicious file cannot exhaust memory.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Maximum number of faults that are kept for one inventory: more than a person would read.
pub const MAX_FAULTS: usize = 1000;
/// Maximum length of the value that a fault quotes, in characters, so that a fault fits on a line.
const MAX_VALUE_CHARS: usize = 60;

/// The location of a value in the files of an inventory.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The path of the file.
    pub file: Arc<str>,
    /// The line, from 1; 0 if the fault concerns the file as a whole.
    pub line: u64,
    /// The column, from 1; 0 if the fault concerns the file as a whole.
    pub column: u64,
    /// The row in a CSV file, or the path of groups that leads to the host.
    pub path: Arc<str>,
}

impl Location {
    /// Creates the location of a file as a whole.
    pub(crate) fn of_file(file: &Arc<str>) -> Location {
        Location::in_file(file, 0, 0)
    }

    /// Creates a location in a file without a row or group path.
    pub(crate) fn in_file(file: &Arc<str>, line: u64, column: u64) -> Location {
        Location::new(file, line, column, "")
    }

    pub(crate) fn new(file: &Arc<str>, line: u64, column: u64, path: &str) -> Location {
        Location {
            file: file.clone(),
            line,
            column,
            path: path.into(),
        }
    }
}

impl fmt::Display for Location {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if self.line > 0 {
            write!(f, ":{}:{}", self.line, self.column)?;
        }
        if self.path.is_empty() {
            Ok(())
        } else {
            write!(f, ": {}", self.path)
        }
    }
}

/// The consequence of a fault for the inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The inventory is refused.
    Error,
    /// The fault is reported, and the inventory is accepted.
    Warning,
}

/// One problem of an inventory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Whether the fault refuses the inventory.
    pub severity: Severity,
    /// The location of the faulty value.
    pub location: Location,
    /// The name of the field; empty if the fault concerns no single field.
    pub field: String,
    /// The value as written in the file, possibly shortened; empty if there is none.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What was expected, or how to correct it; may be empty.
    pub help: String,
}

impl Fault {
    pub(crate) fn error(location: &Location, problem: impl Into<String>) -> Fault {
        Fault::new(Severity::Error, location, problem.into())
    }

    pub(crate) fn warning(location: &Location, problem: impl Into<String>) -> Fault {
        Fault::new(Severity::Warning, location, problem.into())
    }

    fn new(severity: Severity, location: &Location, problem: String) -> Fault {
        Fault {
            severity,
            location: location.clone(),
            field: String::new(),
            value: String::new(),
            problem,
            help: String::new(),
        }
    }

    pub(crate) fn field(self, field: impl Into<String>) -> Fault {
        Fault {
            field: field.into(),
            ..self
        }
    }

    pub(crate) fn value(self, value: &str) -> Fault {
        Fault {
            value: value.chars().take(MAX_VALUE_CHARS).collect(),
            ..self
        }
    }

    pub(crate) fn help(self, help: impl Into<String>) -> Fault {
        Fault {
            help: help.into(),
            ..self
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.severity == Severity::Warning {
            "warning: "
        } else {
            ""
        };
        write!(f, "{}: {word}", self.location)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        if !self.value.is_empty() {
            write!(f, "{:?} ", self.value)?;
        }
        write!(f, "{}", self.problem)?;
        if self.help.is_empty() {
            Ok(())
        } else {
            write!(f, "; {}", self.help)
        }
    }
}

/// Collects faults while an inventory is read.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
}

impl Faults {
    pub(crate) fn add(&mut self, fault: Fault) {
        let is_full = self.found.len() >= MAX_FAULTS;
        // The first error is added even beyond the maximum, because it decides whether the
        // inventory is refused.
        let has_error = || has_error(&self.found);
        if is_full && (fault.severity == Severity::Warning || has_error()) {
            return;
        }
        self.found.push(fault);
    }

    /// Returns the number of faults so far, for [`Faults::has_error_since`].
    pub(crate) fn count(&self) -> usize {
        self.found.len()
    }

    /// Returns whether an error was added after the first `count` faults.
    pub(crate) fn has_error_since(&self, count: usize) -> bool {
        has_error(&self.found[count.min(self.found.len())..])
    }

    pub(crate) fn into_found(self) -> Vec<Fault> {
        self.found
    }
}

fn has_error(faults: &[Fault]) -> bool {
    faults.iter().any(|fault| fault.severity == Severity::Error)
}

/// Returns one line for each kind of fault, with its first occurrence and the number of further
/// ones.
pub fn summary(faults: &[Fault]) -> Vec<String> {
    let mut kinds: BTreeMap<(Severity, &str, &str), (usize, &Fault)> = BTreeMap::new();
    for fault in faults {
        let kind = (fault.severity, fault.field.as_str(), fault.problem.as_str());
        kinds.entry(kind).or_insert((0, fault)).0 += 1;
    }
    let lines = kinds.into_values().map(|(count, first)| match count {
        1 => first.to_string(),
        count => format!("{first} (and {} more like it)", count - 1),
    });
    lines.collect()
}
