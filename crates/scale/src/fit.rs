//! Least-squares lines through measured points, and whether a line describes them.

use linregress::fit_low_level_regression_model;
use serde::{Deserialize, Serialize};

/// Growth is called linear where no point lies further from the line than this share of the largest value.
const LINEAR_WITHIN: f64 = 0.1;
/// A line has two parameters; its errors take one point more.
const FEWEST_POINTS: usize = 3;
/// Columns of the regression's matrix: the value, 1 for the intercept, the size.
const COLUMNS: usize = 3;

/// Why no line can be put through points.
#[derive(Debug, thiserror::Error)]
pub enum FitError {
    /// There are too few of them.
    #[error("{0} points, {FEWEST_POINTS} at least are needed")]
    TooFewPoints(usize),
    /// All of them have the same size.
    #[error("all points have the same size")]
    OneSize,
    /// The regression failed.
    #[error("regression: {0}")]
    Regression(#[from] linregress::Error),
}

/// A line through points.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// What one more adds.
    pub slope: f64,
    /// Standard error of the slope.
    pub standard_error: f64,
    /// Residual standard error: how far points lie from the line, in the unit of the values.
    pub residual: f64,
    /// Whether every point lies within a tenth of the largest value from the line.
    pub linear: bool,
}

impl Line {
    /// Fits a line through `(size, value)` points.
    ///
    /// # Errors
    /// There are too few points, or all have the same size.
    pub fn through(points: &[(f64, f64)]) -> Result<Line, FitError> {
        if points.len() < FEWEST_POINTS {
            return Err(FitError::TooFewPoints(points.len()));
        }
        if points.iter().all(|(size, _)| *size == points[0].0) {
            return Err(FitError::OneSize);
        }
        let rows: Vec<f64> = points
            .iter()
            .flat_map(|(size, value)| [*value, 1.0, *size])
            .collect();
        let model = fit_low_level_regression_model(&rows, points.len(), COLUMNS)?;
        let (parameters, errors) = (model.parameters(), model.se());
        let largest = points
            .iter()
            .map(|(_, value)| value.abs())
            .fold(0.0, f64::max);
        let furthest = model
            .residuals()
            .iter()
            .map(|residual| residual.abs())
            .fold(0.0, f64::max);
        Ok(Line {
            intercept: parameters[0],
            slope: parameters[1],
            standard_error: errors[1],
            residual: model.scale().max(0.0).sqrt(),
            linear: furthest <= LINEAR_WITHIN * largest,
        })
    }

    /// The value that the line gives at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
