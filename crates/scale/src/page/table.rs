//! The tables: one for each role, and the rankings of all rows by the share of the target at which
//! their budgets are exhausted.

use super::need::{Basis, Need, ResolvedTerm, Share};
use super::number::{number, share};
use super::targets::{Owner, Row, Targets, Term};
use super::{Measurements, PageError};
use std::fmt::Write;

/// Name of the table that ranks all rows with a budget.
const RANKING: &str = "ranking";
/// Name of the ranking for the program before the last mechanism was built.
const RANKING_BEFORE: &str = "ranking-before";
/// Name of the table of targets and assumptions.
const NUMBERS: &str = "numbers";

/// Errors below this share of their value are rounding errors and are omitted.
const ROUNDING: f64 = 1e-9;

/// Text for a row without a mechanism.
const MISSING: &str = "**missing**";

/// Returns the text of the table with this name.
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
        let exhausted_at = row
            .budget
            .map_or("-".into(), |budget| share(need.exhausted_at(budget)));
        let _ = writeln!(
            text,
            "| {} | {} | {} | {budget} | {ratio} | {exhausted_at} | {} |",
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
            rows.push((need.exhausted_at(budget), row, need));
        }
    }
    rows.sort_by(|a, b| a.0.order().total_cmp(&b.0.order()));
    let mut text = String::from("| | gives out at | role | what | decided by | basis |\n");
    text.push_str("| ---: | ---: | --- | --- | --- | --- |\n");
    for (position, (exhausted_at, row, need)) in rows.iter().enumerate() {
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
            position + 1,
            share(*exhausted_at),
            row.table.replace('-', " "),
            row.name
        );
    }
    Ok(text)
}

/// Returns an error, or 0 if it is only a rounding error of the arithmetic.
fn without_rounding_error(error: f64, value: f64) -> f64 {
    if error > ROUNDING * value.abs() {
        error
    } else {
        0.0
    }
}

/// Formats the need with its error, and marks a need that was not measured.
fn need_text(row: &Row, need: &Need) -> String {
    let mut text = format!("{} {}", number(need.at_share(1.0)), row.unit);
    let error = without_rounding_error(need.error(), need.at_share(1.0));
    if error > 0.0 {
        let _ = write!(text, " ± {}", number(error));
    }
    if need.basis == Basis::NotMeasured {
        text.push_str(", *not measured*");
    }
    text
}

/// Formats the terms of a need: slopes, errors, measurements and sources.
fn formula(row: &Row, need: &Need) -> String {
    let terms = row
        .terms
        .iter()
        .zip(&need.resolved_terms)
        .map(|(term, resolved)| term_text(term, resolved));
    terms.collect::<Vec<_>>().join("; ")
}

fn term_text(term: &Term, resolved: &ResolvedTerm) -> String {
    match (term, &resolved.line) {
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
            let linearity = if line.linear { "" } else { ", not linear" };
            format!(
                "{} + {} ± {} {}{}{} (`{experiment}/{quantity}`{linearity})",
                number(line.intercept),
                number(line.slope),
                number(without_rounding_error(line.standard_error, line.slope)),
                line.unit.label(),
                multipliers(at),
                multipliers(times),
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
            format!("{}{} ({source})", number(*value), multipliers(times))
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

fn multipliers(times: &[String]) -> String {
    times
        .iter()
        .map(|name| format!(" x {}", name.replace('_', " ")))
        .collect()
}
