//! The JSON files of the tool: measured points, and the lines fitted through them.

use crate::experiment::{Measurement, Unit};
use crate::fit::{FitError, Line};
use crate::machine::Machine;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind};
use std::path::{Path, PathBuf};

/// Version of both file formats. It changes when a field is removed or changes its meaning.
pub const FORMAT: u32 = 1;

/// Largest spread between repeats, as a share, at which counted values are treated as equal. Hash
/// tables are seeded randomly, and a table that had entries removed grows slightly sooner or later.
const MAX_COUNTED_SPREAD: f64 = 0.01;

/// How and where an experiment was run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Provenance {
    /// Version of the file format.
    pub format: u32,
    /// Name of the experiment.
    pub experiment: String,
    /// What the experiment measures.
    pub description: String,
    /// What the sizes count.
    pub axis: String,
    /// Seed of the run.
    pub seed: u64,
    /// Whether the sizes of a quick run were measured.
    pub quick: bool,
    /// Commit of the measured program.
    pub commit: String,
    /// Machine of the run.
    pub machine: Machine,
}

/// One repeat of one size.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// Size of the measured point.
    pub size: u64,
    /// Index of the repeat, from 0.
    pub repeat: u32,
    /// Peak resident memory of the measuring process, bytes.
    pub peak_resident: u64,
    /// Measured quantities.
    pub measurements: Vec<Measurement>,
}

/// All points of one run of one experiment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunFile {
    /// How and where the run was made.
    #[serde(flatten)]
    pub provenance: Provenance,
    /// Measured points in rising order of size.
    pub points: Vec<Point>,
}

/// The line fitted through the points of one quantity.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Slope {
    /// Name of the experiment.
    pub experiment: String,
    /// Name of the quantity.
    pub quantity: String,
    /// Unit of the quantity.
    pub unit: Unit,
    /// What the sizes count.
    pub axis: String,
    /// Sizes in rising order.
    pub sizes: Vec<u64>,
    /// Value at each size: the smallest of all repeats.
    pub points: Vec<f64>,
    /// Value of the line at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub standard_error: f64,
    /// Residual standard error, in the unit of the quantity.
    pub residual: f64,
    /// Whether growth is linear: no point is farther from the line than a tenth of the largest
    /// value, or all values are negligible.
    pub linear: bool,
    /// Whether the values are counted and differ by at most one per cent between repeats.
    pub counted: bool,
    /// Largest difference between two repeats of one size, as a share of the larger value.
    pub spread: f64,
    /// Seed of the run.
    pub seed: u64,
}

/// The lines through all quantities of one experiment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct SlopeFile {
    /// How and where the points were measured.
    #[serde(flatten)]
    pub provenance: Provenance,
    /// One line for each quantity.
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
    /// Fits a line through the points of every quantity.
    ///
    /// # Errors
    /// A quantity has measurements at too few sizes for a line.
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

    /// Returns the first measurement of each quantity, in the order of measurement.
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
            counted: series.first.counted && series.spread <= MAX_COUNTED_SPREAD,
            spread: series.spread,
            seed: self.provenance.seed,
        })
    }
}

fn min(values: &[f64]) -> f64 {
    values.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Returns the largest difference between two values, as a share of the largest absolute value.
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
    /// Returns the fitted line.
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

/// Writes a value to a file as JSON.
///
/// # Errors
/// The file cannot be written.
pub fn write(path: &Path, value: &impl Serialize) -> std::io::Result<()> {
    let mut text = serde_json::to_string_pretty(value)?;
    text.push('\n');
    std::fs::write(path, text)
}

/// Reads a value from a JSON file.
///
/// # Errors
/// The file cannot be read or has another format; the error contains the path.
pub fn read<T: DeserializeOwned>(path: &Path) -> std::io::Result<T> {
    let with_path = |e: &dyn std::fmt::Display| {
        Error::new(ErrorKind::InvalidData, format!("{}: {e}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|e| with_path(&e))?;
    serde_json::from_str(&text).map_err(|e| with_path(&e))
}

/// Returns the paths of a folder's JSON files, sorted by name.
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
