//! The tables: one for each role, and the ranking of all rows by the share of the target at which they give out.

use super::need::{Basis, Need, Part, Share};
use super::number::{number, share};
use super::targets::{Owner, Row, Targets, Term};
use super::{Measurements, PageError};
use std::fmt::Write;

/// The table of all rows that have a budget.
const RANKING: &str = "ranking";
/// The same for the program before the last mechanism was built.
const RANKING_BEFORE: &str = "ranking-before";
/// The table of targets and assumptions.
const NUMBERS: &str = "numbers";

/// Errors under this share of their value are not written.
const ROUNDING: f64 = 1e-9;

/// What stands where nothing carries a need.
const MISSING: &str = "**missing**";

/// The text of a table by its name.
pub(super) fn render(
    name: &str,
    targets: &Targets,
    measurements: &Measurements,
) -> Result<String, PageError> {
    match name {
        RANKING => ranking(
            targets.rows.iter().filter(|row| !row.before),
            targets,
            measurements,
        ),
        RANKING_BEFORE => ranking(targets.rows_before(), targets, measurements),
        NUMBERS => Ok(numbers(targets)),
        _ => role(name, targets, measurements),
    }
}

fn numbers(targets: &Targets) -> String {
    let mut text = String::from("| name | at the target | grows with the share of the target |\n");
    text.push_str("| --- | ---: | --- |\n");
    let rows = targets.targets.iter().map(|entry| (entry, "yes"));
    for ((name, value), grows) in rows.chain(targets.assumptions.iter().map(|entry| (entry, "no")))
    {
        let _ = writeln!(
            text,
            "| {} | {} | {grows} |",
            name.replace('_', " "),
            number(*value)
        );
    }
    text
}

fn role(name: &str, targets: &Targets, measurements: &Measurements) -> Result<String, PageError> {
    let mut text = String::from(
        "| what | need at the target | from | budget | need / budget | gives out at | carried by |\n",
    );
    text.push_str("| --- | ---: | --- | ---: | ---: | ---: | --- |\n");
    let mut rows = targets
        .rows
        .iter()
        .filter(|row| row.table == name)
        .peekable();
    if rows.peek().is_none() {
        return Err(PageError::Markers(format!("table {name:?} has no rows")));
    }
    for row in rows {
        let need = Need::of(row, targets, measurements)?;
        let budget = row.budget.map_or("-".into(), |budget| {
            format!("{} {}", number(budget), row.unit)
        });
        let ratio = row
            .budget
            .map_or("-".into(), |budget| number(need.at_share(1.0) / budget));
        let gives_out = row
            .budget
            .map_or("-".into(), |budget| share(need.gives_out(budget)));
        let _ = writeln!(
            text,
            "| {} | {} | {} | {budget} | {ratio} | {gives_out} | {} |",
            row.name,
            need_text(row, &need),
            formula(row, &need),
            row.mechanism.as_deref().unwrap_or(MISSING)
        );
    }
    Ok(text)
}

fn ranking<'a>(
    ranked: impl Iterator<Item = &'a Row>,
    targets: &Targets,
    measurements: &Measurements,
) -> Result<String, PageError> {
    let mut rows: Vec<(Share, &Row, Need)> = Vec::new();
    for row in ranked {
        if let Some(budget) = row.budget {
            let need = Need::of(row, targets, measurements)?;
            rows.push((need.gives_out(budget), row, need));
        }
    }
    rows.sort_by(|a, b| a.0.order().total_cmp(&b.0.order()));
    let mut text = String::from("| | gives out at | role | what | decided by | basis |\n");
    text.push_str("| ---: | ---: | --- | --- | --- | --- |\n");
    for (place, (gives_out, row, need)) in rows.iter().enumerate() {
        let owner = match row.owner {
            Owner::Program => "program",
            Owner::Platform => "platform",
        };
        let basis = match need.basis {
            Basis::Measured => "measured",
            Basis::Stated => "stated",
            Basis::NotMeasured => "*not measured*",
        };
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {owner} | {basis} |",
            place + 1,
            share(*gives_out),
            row.table.replace('-', " "),
            row.name
        );
    }
    Ok(text)
}

/// An error, or 0 where it is a rounding error of the arithmetic.
fn visible(error: f64, value: f64) -> f64 {
    if error > ROUNDING * value.abs() {
        error
    } else {
        0.0
    }
}

/// The need with its error, and whether a run stands behind it.
fn need_text(row: &Row, need: &Need) -> String {
    let mut text = format!("{} {}", number(need.at_share(1.0)), row.unit);
    let error = visible(need.error(), need.at_share(1.0));
    if error > 0.0 {
        let _ = write!(text, " ± {}", number(error));
    }
    if need.basis == Basis::NotMeasured {
        text.push_str(", *not measured*");
    }
    text
}

/// Slopes, errors, runs and sources that the need is added up from.
fn formula(row: &Row, need: &Need) -> String {
    let terms = row
        .terms
        .iter()
        .zip(&need.parts)
        .map(|(term, part)| term_text(term, part));
    terms.collect::<Vec<_>>().join("; ")
}

fn term_text(term: &Term, part: &Part) -> String {
    match (term, &part.line) {
        (
            Term::Measured {
                experiment,
                quantity,
                at,
                times,
                ..
            },
            Some((line, _)),
        ) => {
            let bent = if line.linear { "" } else { ", not linear" };
            format!(
                "{} + {} ± {} {}{}{} (`{experiment}/{quantity}`{bent})",
                number(line.intercept),
                number(line.slope),
                number(visible(line.standard_error, line.slope)),
                line.unit.label(),
                multiplied(at),
                multiplied(times),
            )
        }
        (
            Term::Given {
                value,
                times,
                source,
                ..
            },
            _,
        ) => {
            format!("{}{} ({source})", number(*value), multiplied(times))
        }
        (
            Term::Measured {
                experiment,
                quantity,
                ..
            },
            None,
        ) => format!("`{experiment}/{quantity}`"),
    }
}

fn multiplied(times: &[String]) -> String {
    times
        .iter()
        .map(|name| format!(" x {}", name.replace('_', " ")))
        .collect()
}
