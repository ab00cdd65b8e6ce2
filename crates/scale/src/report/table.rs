//! Tables of fitted slopes in Markdown.

use crate::results::{Slope, SlopeFile};
use std::fmt::Write;

/// Returns a section with a table for each experiment.
pub fn tables(files: &[SlopeFile]) -> String {
    let mut text = String::new();
    for file in files {
        // Writing to a string does not fail.
        let _ = section(&mut text, file);
    }
    text
}

fn section(text: &mut String, file: &SlopeFile) -> std::fmt::Result {
    let source = &file.provenance;
    writeln!(
        text,
        "## {}\n\n{}.\n",
        source.experiment, source.description
    )?;
    let sizes = if source.quick {
        "quick sizes"
    } else {
        "full sizes"
    };
    writeln!(
        text,
        "Commit {}, seed {}, {sizes}; {} cores, {:.0} GB, load average {:.1}.\n",
        source.commit,
        source.seed,
        source.machine.cores,
        source.machine.memory_bytes as f64 / 1e9,
        source.machine.load_average
    )?;
    writeln!(
        text,
        "| quantity | unit | sizes | at the largest | for each | +- | at 0 | residual | growth | counted |"
    )?;
    writeln!(
        text,
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | --- | --- |"
    )?;
    for slope in &file.slopes {
        row(text, slope)?;
    }
    writeln!(text)
}

fn row(text: &mut String, slope: &Slope) -> std::fmt::Result {
    let (first, last) = (
        slope.sizes.first().unwrap_or(&0),
        slope.sizes.last().unwrap_or(&0),
    );
    writeln!(
        text,
        "| {} | {} | {first} to {last} {} | {} | {} | {} | {} | {} | {} | {} |",
        slope.quantity,
        slope.unit.label(),
        slope.axis,
        number(slope.points.last().copied().unwrap_or(0.0)),
        number(slope.slope),
        number(slope.standard_error),
        number(slope.intercept),
        number(slope.residual),
        if slope.linear { "linear" } else { "not linear" },
        if slope.counted { "yes" } else { "no" },
    )
}

/// Smaller absolute values are rounding errors and are written as 0.
const ZERO_BELOW: f64 = 1e-7;

/// Formats a number with four significant digits and thousands separated by commas.
fn number(value: f64) -> String {
    if value.abs() < ZERO_BELOW {
        return "0".into();
    }
    let digits = 3 - value.abs().log10().floor() as i32;
    if digits > 0 {
        return format!("{value:.*}", digits.min(9) as usize);
    }
    let integer = format!("{:.0}", value.abs());
    let mut grouped = String::new();
    for (position, digit) in integer.chars().enumerate() {
        if position > 0 && (integer.len() - position) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if value < 0.0 {
        format!("-{grouped}")
    } else {
        grouped
    }
}
