//! What is wrong with an inventory, and where. It owns the wording of faults and the summary that groups what
//! repeats. It must never hold more of a hostile file than a line's worth for each fault, nor more faults than a
//! person reads.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Most faults that are kept of one reading: more than a person reads.
pub const MAX_FAULTS: usize = 1000;
/// Most characters that are kept of a value: a line's worth.
const MAX_VALUE_CHARS: usize = 60;

/// Where a value stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Location {
    /// The file.
    pub file: Arc<str>,
    /// Line and column, from 1; 0: the file as a whole.
    pub line: u64,
    /// See `line`.
    pub column: u64,
    /// The row, or the path of groups that leads to the host.
    pub path: Arc<str>,
}

impl Location {
    /// A file as a whole.
    pub(crate) fn of_file(file: &Arc<str>) -> Location {
        Location::in_file(file, 0, 0)
    }

    /// A place in a file, without a path.
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

/// How much a fault weighs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    /// The file is refused.
    Error,
    /// It is reported, and the file is taken.
    Warning,
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// How much it weighs.
    pub severity: Severity,
    /// Where.
    pub location: Location,
    /// The field; empty: none in particular.
    pub field: String,
    /// The value as it stands; empty: none.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What was expected, or how to mend it; empty: nothing to add.
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

/// Faults as they are found.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    found: Vec<Fault>,
}

impl Faults {
    pub(crate) fn add(&mut self, fault: Fault) {
        let is_full = self.found.len() >= MAX_FAULTS;
        // An error must never be lost to warnings: it decides.
        let has_error = || has_error(&self.found);
        if is_full && (fault.severity == Severity::Warning || has_error()) {
            return;
        }
        self.found.push(fault);
    }

    /// How many there are, for [`Faults::has_error_since`].
    pub(crate) fn count(&self) -> usize {
        self.found.len()
    }

    /// Whether an error was added since there were so many faults.
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

/// One line for each kind of fault: how often, and where first.
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
