//! What is wrong with an inventory, and where. It owns the wording of faults and the summary that groups what
//! repeats. It must never hold more of a hostile file than a line's worth for each fault, nor more faults than a
//! person reads.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

/// Most faults that are kept of one reading.
pub const MAX_FAULTS: usize = 1000;

/// Where a value stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Place {
    /// The file.
    pub file: Arc<str>,
    /// Line and column, from 1; 0: the file as a whole.
    pub line: u64,
    /// See `line`.
    pub column: u64,
    /// The row, or the path of groups that leads to the host.
    pub path: Arc<str>,
}

impl fmt::Display for Place {
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
pub enum Weight {
    /// The file is refused.
    Error,
    /// It is told, and the file is taken.
    Warning,
}

/// A fault.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// How much it weighs.
    pub weight: Weight,
    /// Where.
    pub place: Place,
    /// The field; empty: none in particular.
    pub field: String,
    /// The value as it stands; empty: none.
    pub value: String,
    /// What is wrong.
    pub problem: String,
    /// What was expected, or how to mend it; empty: nothing to add.
    pub help: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.weight == Weight::Warning {
            "warning: "
        } else {
            ""
        };
        write!(f, "{}: {word}", self.place)?;
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
pub(crate) struct Faults(pub(crate) Vec<Fault>);

impl Faults {
    pub(crate) fn error(
        &mut self,
        place: &Place,
        field: &str,
        value: &str,
        problem: impl Into<String>,
        help: impl Into<String>,
    ) {
        self.note(
            Weight::Error,
            place,
            field,
            value,
            problem.into(),
            help.into(),
        );
    }

    pub(crate) fn warning(
        &mut self,
        place: &Place,
        field: &str,
        value: &str,
        problem: impl Into<String>,
        help: impl Into<String>,
    ) {
        self.note(
            Weight::Warning,
            place,
            field,
            value,
            problem.into(),
            help.into(),
        );
    }

    fn note(
        &mut self,
        weight: Weight,
        place: &Place,
        field: &str,
        value: &str,
        problem: String,
        help: String,
    ) {
        let full = self.0.len() >= MAX_FAULTS;
        // An error must never be lost to warnings: it decides.
        if full && (weight == Weight::Warning || self.0.iter().any(|f| f.weight == Weight::Error)) {
            return;
        }
        let value: String = value.chars().take(60).collect();
        self.0.push(Fault {
            weight,
            place: place.clone(),
            field: field.into(),
            value,
            problem,
            help,
        });
    }
}

/// One line for each kind of fault: how often, and where first.
pub fn summary(faults: &[Fault]) -> Vec<String> {
    let mut kinds: BTreeMap<(Weight, &str, &str), (usize, &Fault)> = BTreeMap::new();
    for fault in faults {
        kinds
            .entry((fault.weight, &fault.field, &fault.problem))
            .or_insert((0, fault))
            .0 += 1;
    }
    let told = kinds.into_values().map(|(count, first)| match count {
        1 => first.to_string(),
        count => format!("{first} (and {} more like it)", count - 1),
    });
    told.collect()
}
