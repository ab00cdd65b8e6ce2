//! The JSON forms: what a run has measured, and the lines fitted through it.

use crate::experiment::{Measurement, Unit};
use crate::fit::{FitError, Line};
use crate::machine::Machine;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};

/// Version of both forms; it changes with any field that is taken away or means something else.
pub const FORMAT: u32 = 1;

/// Counted values may differ by this share between repeats: hash tables are seeded by chance, and one that had entries
/// removed grows a little sooner or later.
const EQUAL_WITHIN: f64 = 0.01;

/// How and where an experiment was run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Provenance {
    /// Version of the form.
    pub format: u32,
    /// The experiment's name.
    pub experiment: String,
    /// What it measures.
    pub description: String,
    /// What its sizes count.
    pub axis: String,
    /// Seed of the run.
    pub seed: u64,
    /// Whether the sizes of a quick run were taken.
    pub quick: bool,
    /// The commit that was measured.
    pub commit: String,
    /// The machine that it was measured on.
    pub machine: Machine,
}

/// One repeat of one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// The size.
    pub size: u64,
    /// Number of the repeat, from 0.
    pub repeat: u32,
    /// The most resident memory of the process that measured it, bytes.
    pub peak_resident: u64,
    /// What was measured.
    pub measurements: Vec<Measurement>,
}

/// Everything that one run of one experiment has measured.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunFile {
    /// How and where.
    #[serde(flatten)]
    pub provenance: Provenance,
    /// Raw points, smallest size first.
    pub points: Vec<Point>,
}

/// The line through one quantity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slope {
    /// The experiment.
    pub experiment: String,
    /// The quantity.
    pub quantity: String,
    /// Its unit.
    pub unit: Unit,
    /// What sizes count.
    pub axis: String,
    /// Sizes, smallest first.
    pub sizes: Vec<u64>,
    /// The value at each size: of timed quantities the smallest of all repeats.
    pub points: Vec<f64>,
    /// The value at size 0.
    pub intercept: f64,
    /// What one more of the axis adds, in units.
    pub slope: f64,
    /// Standard error of the slope.
    pub standard_error: f64,
    /// Residual standard error, in units.
    pub residual: f64,
    /// Whether growth is linear: no point further from the line than a tenth of the largest, or nothing grows.
    pub linear: bool,
    /// Whether the values are counted and differed by no more than a hundredth between repeats.
    pub counted: bool,
    /// The largest difference between two repeats of a size, as a share of the larger value.
    pub spread: f64,
    /// Seed of the run.
    pub seed: u64,
}

/// The lines through every quantity of one experiment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlopeFile {
    /// How and where the points were measured.
    #[serde(flatten)]
    pub provenance: Provenance,
    /// One line a quantity.
    pub slopes: Vec<Slope>,
}

/// The values of one quantity over all sizes and repeats.
struct Series<'a> {
    first: &'a Measurement,
    sizes: Vec<u64>,
    points: Vec<f64>,
    spread: f64,
}

impl RunFile {
    /// Fits a line through every quantity that was measured at every size.
    ///
    /// # Errors
    /// There are too few sizes for a line.
    pub fn slopes(&self) -> Result<SlopeFile, FitError> {
        let slopes: Result<Vec<Slope>, FitError> = self
            .quantities()
            .into_iter()
            .map(|quantity| self.slope(&self.series(quantity)))
            .collect();
        Ok(SlopeFile {
            provenance: self.provenance.clone(),
            slopes: slopes?,
        })
    }

    /// Each quantity's first measurement, in the order in which they were measured.
    fn quantities(&self) -> Vec<&Measurement> {
        let mut found: Vec<&Measurement> = Vec::new();
        for measurement in self.points.iter().flat_map(|point| &point.measurements) {
            if !found
                .iter()
                .any(|known| known.quantity == measurement.quantity)
            {
                found.push(measurement);
            }
        }
        found
    }

    fn series<'a>(&'a self, first: &'a Measurement) -> Series<'a> {
        let mut values: BTreeMap<u64, Vec<f64>> = BTreeMap::new();
        for point in &self.points {
            let found = point
                .measurements
                .iter()
                .find(|measurement| measurement.quantity == first.quantity);
            values
                .entry(point.size)
                .or_default()
                .extend(found.map(|found| found.value));
        }
        values.retain(|_, repeats| !repeats.is_empty());
        Series {
            first,
            sizes: values.keys().copied().collect(),
            points: values.values().map(|repeats| min(repeats)).collect(),
            spread: values
                .values()
                .map(|repeats| spread(repeats))
                .fold(0.0, f64::max),
        }
    }

    fn slope(&self, series: &Series<'_>) -> Result<Slope, FitError> {
        let sizes = series.sizes.iter().map(|size| *size as f64);
        let points: Vec<(f64, f64)> = sizes.zip(series.points.iter().copied()).collect();
        let line = Line::through(&points)?;
        let negligible = series
            .points
            .iter()
            .all(|value| value.abs() < series.first.unit.negligible());
        Ok(Slope {
            experiment: self.provenance.experiment.clone(),
            quantity: series.first.quantity.clone(),
            unit: series.first.unit,
            axis: self.provenance.axis.clone(),
            sizes: series.sizes.clone(),
            points: series.points.clone(),
            intercept: line.intercept,
            slope: line.slope,
            standard_error: line.standard_error,
            residual: line.residual,
            linear: line.linear || negligible,
            counted: series.first.counted && series.spread <= EQUAL_WITHIN,
            spread: series.spread,
            seed: self.provenance.seed,
        })
    }
}

fn min(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

/// The largest difference between two values, as a share of the larger one.
fn spread(values: &[f64]) -> f64 {
    let largest = values.iter().copied().fold(f64::NEG_INFINITY, f64::max);
    let difference = largest - min(values);
    if difference > 0.0 {
        difference / values.iter().map(|value| value.abs()).fold(0.0, f64::max)
    } else {
        0.0
    }
}

impl Slope {
    /// Its line.
    pub fn line(&self) -> Line {
        Line {
            intercept: self.intercept,
            slope: self.slope,
            standard_error: self.standard_error,
            residual: self.residual,
            linear: self.linear,
        }
    }
}

/// Writes a value as JSON.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, value: &impl Serialize) -> std::io::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    std::fs::write(path, text)
}

/// Reads a value from JSON.
///
/// # Errors
/// The file cannot be read, or is not of this form; the error names it.
pub fn read<T: DeserializeOwned>(path: &Path) -> std::io::Result<T> {
    let named = |e: &dyn std::fmt::Display| {
        Error::new(ErrorKind::InvalidData, format!("{}: {e}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|e| named(&e))?;
    serde_json::from_str(&text).map_err(|e| named(&e))
}

/// The JSON files of a folder, by name.
///
/// # Errors
/// The folder cannot be read.
pub fn json_files(folder: &Path) -> std::io::Result<Vec<PathBuf>> {
    let entries: Result<Vec<_>, Error> = std::fs::read_dir(folder)?
        .map(|entry| entry.map(|entry| entry.path()))
        .collect();
    let mut files = entries?;
    files.retain(|path| {
        path.extension()
            .is_some_and(|extension| extension == "json")
    });
    files.sort();
    Ok(files)
}
