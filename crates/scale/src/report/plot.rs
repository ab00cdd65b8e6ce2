//! Plots of measured points and their fitted line, as SVG files.

use crate::results::Slope;
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::Path;

/// Width of a plot in pixels.
const WIDTH_PX: u32 = 640;
/// Height of a plot in pixels.
const HEIGHT_PX: u32 = 400;
const MARGIN: u32 = 12;
const LABEL_WIDTH: u32 = 90;
const LABEL_HEIGHT: u32 = 40;
const POINT_RADIUS: u32 = 4;
/// Ratio of the top of the vertical axis to the largest value.
const HEADROOM: f64 = 1.1;

/// Why a plot could not be drawn.
#[derive(Debug, thiserror::Error)]
#[error("cannot draw a plot: {0}")]
pub struct PlotError(String);

/// Draws the points of a quantity and the line fitted through them.
///
/// # Errors
/// The file cannot be written.
pub fn draw(path: &Path, slope: &Slope) -> Result<(), PlotError> {
    let area = SVGBackend::new(path, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
    draw_on(&area, slope).map_err(|e| PlotError(e.to_string()))
}

fn draw_on<B: DrawingBackend>(
    area: &DrawingArea<B, Shift>,
    slope: &Slope,
) -> Result<(), DrawingAreaErrorKind<B::ErrorType>> {
    let points: Vec<(f64, f64)> = slope
        .sizes
        .iter()
        .map(|size| *size as f64)
        .zip(slope.points.iter().copied())
        .collect();
    let line = slope.line();
    let right = points.last().map_or(1.0, |(size, _)| *size);
    let ends = [(0.0, line.at(0.0)), (right, line.at(right))];
    let heights = || points.iter().chain(&ends).map(|(_, value)| *value);
    let bottom = heights().fold(0.0, f64::min);
    let top = heights().fold(0.0, f64::max).max(f64::MIN_POSITIVE);

    area.fill(&WHITE)?;
    let caption = format!("{}: {}", slope.experiment, slope.quantity);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(MARGIN)
        .x_label_area_size(LABEL_HEIGHT)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(0.0..right, bottom..top * HEADROOM)?;
    chart
        .configure_mesh()
        .x_desc(&slope.axis)
        .y_desc(slope.unit.label())
        .draw()?;
    chart.draw_series(LineSeries::new(ends, &BLUE))?;
    chart.draw_series(
        points
            .iter()
            .map(|point| Circle::new(*point, POINT_RADIUS, RED.filled())),
    )?;
    area.present()
}
