//! Whether hollow fleets tell the truth: the same quantities from the hollow group and from one of real processes.

use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::experiments::group::IdleByFollowers;
use crate::machine::{commit, Machine};
use crate::real::{RealError, RealGroup};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Name of the result file.
pub const FILE: &str = "check-group-idle.json";
/// So long real processes are watched.
const WATCHED: Duration = Duration::from_secs(20);
/// Figures that differ by no more agree, as a share of the real one.
const AGREES_WITHIN: f64 = 0.1;

/// Why there is no comparison.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The hollow group.
    #[error("hollow: {0}")]
    Hollow(#[from] ExperimentError),
    /// The real one.
    #[error("real: {0}")]
    Real(#[from] RealError),
}

/// One quantity at one size, hollow and real.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Followers.
    pub followers: u64,
    /// The quantity.
    pub quantity: String,
    /// Its unit.
    pub unit: Unit,
    /// Of the hollow group; none: it has no such quantity.
    pub hollow: Option<f64>,
    /// Of real processes.
    pub real: f64,
    /// Hollow less real, as a share of real.
    pub difference: Option<f64>,
}

/// All rows of a comparison.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckFile {
    /// The commit that was measured.
    pub commit: String,
    /// The machine that it was measured on.
    pub machine: Machine,
    /// Seed of the hollow group.
    pub seed: u64,
    /// By followers and quantity.
    pub rows: Vec<Row>,
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>4} followers {:<32} real {:>12.1}",
            self.followers, self.quantity, self.real
        )?;
        let (Some(hollow), Some(difference)) = (self.hollow, self.difference) else {
            return Ok(());
        };
        let verdict = if difference.abs() <= AGREES_WITHIN {
            ""
        } else {
            "  differs"
        };
        write!(
            f,
            " hollow {hollow:>12.1} {:>+7.1}%{verdict}",
            100.0 * difference
        )
    }
}

/// Compares an idle second of groups with so many followers.
///
/// # Errors
/// Either group does not come up.
pub fn group_idle(program: &Path, followers: &[u64], seed: u64) -> Result<CheckFile, CheckError> {
    let mut rows = Vec::new();
    for size in followers {
        let hollow = IdleByFollowers.measure(*size, seed)?;
        let real = RealGroup::start(program, *size as usize)?.idle_second(WATCHED)?;
        rows.extend(real.iter().map(|real| row(*size, &hollow, real)));
    }
    Ok(CheckFile {
        commit: commit(),
        machine: Machine::here(),
        seed,
        rows,
    })
}

fn row(followers: u64, hollow: &[Measurement], real: &Measurement) -> Row {
    let same = hollow
        .iter()
        .find(|hollow| hollow.quantity == real.quantity);
    Row {
        followers,
        quantity: real.quantity.clone(),
        unit: real.unit,
        hollow: same.map(|same| same.value),
        real: real.value,
        difference: same.map(|same| (same.value - real.value) / real.value),
    }
}
