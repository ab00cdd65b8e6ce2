//! Targets, assumptions, budgets and rows of the page, as `docs/capacity/targets.toml` states them.

use serde::Deserialize;
use std::collections::BTreeMap;

/// The contents of the targets file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// Numbers at the target size; they all grow with the share of the target.
    pub targets: BTreeMap<String, f64>,
    /// Numbers that are the same at any share of the target.
    pub assumptions: BTreeMap<String, f64>,
    /// Rows in the order of the tables.
    #[serde(rename = "row")]
    pub rows: Vec<Row>,
}

/// The party that determines a row's need.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Owner {
    /// The program.
    #[default]
    Program,
    /// A service of the platform, whose limits the program cannot change.
    Platform,
}

/// A row of a table: a need, which is the amount of a resource that the target requires, and the
/// budget for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name of the row's table.
    pub table: String,
    /// Name of the row: the resource that is needed.
    pub name: String,
    /// Unit of need and budget.
    pub unit: String,
    /// Available amount; `None` if the row only states a need.
    pub budget: Option<f64>,
    /// The file, module or other mechanism that meets the need; `None` if it is missing.
    pub mechanism: Option<String>,
    /// Party that determines the need.
    #[serde(default)]
    pub owner: Owner,
    /// Whether the row describes the program before the last mechanism was built. The row of the
    /// same name without this flag describes the current program.
    #[serde(default)]
    pub before: bool,
    /// Terms whose sum is the need.
    pub terms: Vec<Term>,
}

/// A term of a need. The need of a row is the amount of the row's resource that the target
/// requires: the sum of the row's terms.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum Term {
    /// A fitted line, evaluated at a position on its axis.
    Measured {
        /// Name of the experiment.
        experiment: String,
        /// Name of the quantity.
        quantity: String,
        /// Targets and assumptions whose product is the position on the line's axis.
        at: Vec<String>,
        /// Targets and assumptions by which the value is multiplied.
        #[serde(default)]
        times: Vec<String>,
        /// Conversion factor from the measured unit to the row's.
        #[serde(default = "one")]
        factor: f64,
    },
    /// A number that this tool has not measured.
    Given {
        /// The number.
        value: f64,
        /// Targets and assumptions by which the number is multiplied.
        #[serde(default)]
        times: Vec<String>,
        /// Conversion factor from the number's unit to the row's.
        #[serde(default = "one")]
        factor: f64,
        /// Source of the number.
        source: String,
        /// Whether a run or a constant of the program supports the number.
        #[serde(default)]
        evidence: Evidence,
    },
}

/// The evidence for a given number.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Evidence {
    /// No evidence: the number is derived or assumed.
    #[default]
    None,
    /// A constant of the program, or a stated requirement.
    Stated,
    /// A measurement with another tool, which the source names.
    Run,
}

fn one() -> f64 {
    1.0
}

/// The value of a target or assumption, and whether it grows with the share of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedValue {
    /// Value at the target.
    pub value: f64,
    /// Whether the value grows with the share of the target.
    pub grows: bool,
}

impl NamedValue {
    /// Returns the value at a share of the target.
    pub fn at_share(self, share: f64) -> f64 {
        self.value * if self.grows { share } else { 1.0 }
    }
}

impl Targets {
    /// Parses the text of the targets file.
    ///
    /// # Errors
    /// The text has another format.
    pub fn parse(text: &str) -> Result<Targets, toml::de::Error> {
        toml::from_str(text)
    }

    /// Returns the target or assumption with this name.
    pub fn named(&self, name: &str) -> Option<NamedValue> {
        let target = self.targets.get(name).map(|value| NamedValue {
            value: *value,
            grows: true,
        });
        target.or_else(|| {
            self.assumptions.get(name).map(|value| NamedValue {
                value: *value,
                grows: false,
            })
        })
    }

    /// Returns the rows for the program before the last mechanism was built: the rows whose
    /// `before` flag is set, and all other rows that share their name with no such row.
    pub fn rows_before(&self) -> impl Iterator<Item = &Row> {
        let superseded = |row: &&Row| {
            self.rows
                .iter()
                .any(|other| other.before && other.name == row.name)
        };
        self.rows
            .iter()
            .filter(move |row| row.before || !superseded(row))
    }

    /// Returns the table name of each row. Rows of one table repeat its name.
    pub fn tables(&self) -> impl Iterator<Item = &str> {
        self.rows.iter().map(|row| row.table.as_str())
    }
}
