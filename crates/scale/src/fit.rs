//! Least-squares lines through measured points, and a test of whether growth is linear.

use linregress::fit_low_level_regression_model;
use serde::{Deserialize, Serialize};

/// Growth is linear if no point is farther from the line than this share of the largest value.
const MAX_RELATIVE_RESIDUAL: f64 = 0.1;
/// Fewest points for a fit: a line has two parameters, and its standard error needs one more point.
const MIN_POINTS: usize = 3;
/// Columns of the regression matrix: the value, 1 for the intercept, the size.
const COLUMNS: usize = 3;

/// Why no line can be fitted.
#[derive(Debug, thiserror::Error)]
pub enum FitError {
    /// There are fewer points than a fit needs.
    #[error("a fit needs at least {MIN_POINTS} points, there are {0}")]
    TooFewPoints(usize),
    /// All points have the same size.
    #[error("all points have the same size, a fit needs different sizes")]
    OneSize,
    /// The regression failed.
    #[error("the regression failed: {0}")]
    Regression(#[from] linregress::Error),
}

/// A line fitted through `(size, value)` points.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// The value at size 0.
    pub intercept: f64,
    /// Increase of the value per unit of size.
    pub slope: f64,
    /// Standard error of the slope.
    pub standard_error: f64,
    /// Residual standard error: the typical distance of the points from the line, in the unit of
    /// the values.
    pub residual: f64,
    /// Whether every point is within a tenth of the largest value of the line.
    pub linear: bool,
}

impl Line {
    /// Fits a line through `(size, value)` points.
    ///
    /// # Errors
    /// There are too few points, or all have the same size.
    pub fn through(points: &[(f64, f64)]) -> Result<Line, FitError> {
        if points.len() < MIN_POINTS {
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
            linear: furthest <= MAX_RELATIVE_RESIDUAL * largest,
        })
    }

    /// Returns the line's value at `size`.
    pub fn at(&self, size: f64) -> f64 {
        self.intercept + self.slope * size
    }
}
