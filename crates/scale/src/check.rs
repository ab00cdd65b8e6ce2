//! Compares the quantities that a simulated group (module [`crate::hollow`]) reports with those of
//! a group of real processes.

use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::experiments::group::IdleByFollowers;
use crate::machine::{commit, Machine};
use crate::real::{RealError, RealGroup};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::path::Path;
use std::time::Duration;

/// Name of the result file.
pub const RESULT_FILE: &str = "check-group-idle.json";
/// Time over which the real processes are measured.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(20);
/// Largest difference, as a share of the real value, at which two values count as equal.
const MAX_RELATIVE_DIFFERENCE: f64 = 0.1;

/// Why a comparison failed.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// The simulated group could not be measured.
    #[error("the simulated group cannot be measured: {0}")]
    Hollow(#[from] ExperimentError),
    /// The real group could not be started or measured.
    #[error("the group of real processes cannot be measured: {0}")]
    Real(#[from] RealError),
}

/// One quantity at one size, simulated and real.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Number of followers.
    pub followers: u64,
    /// Name of the quantity.
    pub quantity: String,
    /// Unit of both values.
    pub unit: Unit,
    /// Value of the simulated group; `None` if it does not report the quantity.
    pub hollow: Option<f64>,
    /// Value of the real processes.
    pub real: f64,
    /// `hollow` (the simulated value) minus `real`, as a share of `real`.
    pub difference: Option<f64>,
}

/// All rows of a comparison.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CheckFile {
    /// Commit of the measured program.
    pub commit: String,
    /// Machine on which both groups were measured.
    pub machine: Machine,
    /// Seed of the simulated group.
    pub seed: u64,
    /// Rows in the order of followers and quantities.
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
        let verdict = if difference.abs() <= MAX_RELATIVE_DIFFERENCE {
            ""
        } else {
            "  differs"
        };
        write!(
            f,
            " simulated {hollow:>12.1} {:>+7.1}%{verdict}",
            100.0 * difference
        )
    }
}

/// Compares an idle second of a simulated group with one of real processes, for each number of
/// followers.
///
/// # Errors
/// Either group does not start or cannot be measured.
pub fn group_idle(program: &Path, followers: &[u64], seed: u64) -> Result<CheckFile, CheckError> {
    let mut rows = Vec::new();
    for size in followers {
        let hollow = IdleByFollowers.measure(*size, seed)?;
        let real = RealGroup::start(program, *size as usize)?.idle_second(OBSERVATION_PERIOD)?;
        rows.extend(real.iter().map(|real| row(*size, &hollow, real)));
    }
    Ok(CheckFile {
        commit: commit(),
        machine: Machine::current(),
        seed,
        rows,
    })
}

fn row(followers: u64, hollow: &[Measurement], real: &Measurement) -> Row {
    let matching = hollow
        .iter()
        .find(|hollow| hollow.quantity == real.quantity);
    Row {
        followers,
        quantity: real.quantity.clone(),
        unit: real.unit,
        hollow: matching.map(|matching| matching.value),
        real: real.value,
        difference: matching.map(|matching| (matching.value - real.value) / real.value),
    }
}
