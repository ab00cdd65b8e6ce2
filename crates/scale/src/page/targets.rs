//! Targets, assumptions, budgets and rows of the page, as `docs/capacity/targets.toml` states them.

use serde::Deserialize;
use std::collections::BTreeMap;

/// The whole file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Targets {
    /// The target size: these grow together with the share of the target that is looked at.
    pub targets: BTreeMap<String, f64>,
    /// Numbers that stay as they are at any share of the target.
    pub assumptions: BTreeMap<String, f64>,
    /// The rows, in the order of the tables.
    #[serde(rename = "row")]
    pub rows: Vec<Row>,
}

/// Who decides what a row needs.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Owner {
    /// The program.
    #[default]
    Program,
    /// A service of the platform, which bears what it bears.
    Platform,
}

/// A line of a table: what something needs at the target, and what there is for it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// The table that it stands in.
    pub table: String,
    /// What is needed.
    pub name: String,
    /// The unit of need and budget.
    pub unit: String,
    /// What there is; none: the row states the need alone.
    pub budget: Option<f64>,
    /// The file, module or other mechanism that carries it; none: it is missing.
    pub mechanism: Option<String>,
    /// Who decides it.
    #[serde(default)]
    pub owner: Owner,
    /// Whether it tells of the program before the last mechanism was built; the row of the same name without this
    /// tells of the program as it stands.
    #[serde(default)]
    pub before: bool,
    /// What is added up to the need.
    pub terms: Vec<Term>,
}

/// A part of a need.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, deny_unknown_fields)]
pub enum Term {
    /// A measured line, read at a place of its axis.
    Measured {
        /// The experiment.
        experiment: String,
        /// What it measured.
        quantity: String,
        /// The place on the line's axis: the product of these targets and assumptions.
        at: Vec<String>,
        /// Targets and assumptions that the value is multiplied by.
        #[serde(default)]
        times: Vec<String>,
        /// From the measured unit to the row's.
        #[serde(default = "one")]
        factor: f64,
    },
    /// A number that no run of the tool gave.
    Given {
        /// The number.
        value: f64,
        /// Targets and assumptions that it is multiplied by.
        #[serde(default)]
        times: Vec<String>,
        /// From its unit to the row's.
        #[serde(default = "one")]
        factor: f64,
        /// Where it is from.
        source: String,
        /// Whether a run or a constant of the program stands behind it.
        #[serde(default)]
        evidence: Evidence,
    },
}

/// What stands behind a given number.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Evidence {
    /// Nothing: it is worked out or assumed.
    #[default]
    None,
    /// A constant of the program, or the letter.
    Stated,
    /// A run other than the tool's, which the source names.
    Run,
}

fn one() -> f64 {
    1.0
}

/// A number by its name, and whether it grows with the share of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Named {
    /// The number at the target.
    pub value: f64,
    /// Whether it grows.
    pub grows: bool,
}

impl Named {
    /// The number at a share of the target.
    pub fn at_share(self, share: f64) -> f64 {
        self.value * if self.grows { share } else { 1.0 }
    }
}

impl Targets {
    /// Reads the file's text.
    ///
    /// # Errors
    /// It is not in this form.
    pub fn parse(text: &str) -> Result<Targets, toml::de::Error> {
        toml::from_str(text)
    }

    /// A target or an assumption.
    pub fn named(&self, name: &str) -> Option<Named> {
        let target = self.targets.get(name).map(|value| Named {
            value: *value,
            grows: true,
        });
        target.or_else(|| {
            self.assumptions.get(name).map(|value| Named {
                value: *value,
                grows: false,
            })
        })
    }

    /// The rows of the program before the last mechanism was built: those that tell of it, and all others that have no
    /// such row of the same name.
    pub fn rows_before(&self) -> impl Iterator<Item = &Row> {
        let notified = |row: &&Row| {
            self.rows
                .iter()
                .any(|other| other.before && other.name == row.name)
        };
        self.rows
            .iter()
            .filter(move |row| row.before || !notified(row))
    }

    /// The names of all tables, as often as they have rows.
    pub fn tables(&self) -> impl Iterator<Item = &str> {
        self.rows.iter().map(|row| row.table.as_str())
    }
}
