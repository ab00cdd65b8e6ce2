//! Reports in an endpoint's answer, in any protocol: its load report (`rif=3,q=0,...`) and the
//! request's usage (`used=37,cost=4`). Both are lists of names and values. Values that cannot be
//! parsed are treated as absent.

use crate::config::settings::Platform;
use crate::protocol::wire_names;
use crate::request::{parse_decimal, term_pairs};

/// Returns the values of a load report in the order of the settings' columns; empty if one is
/// missing or not a number.
pub fn load_report(platform: &Platform, report: &[u8]) -> Vec<f64> {
    let text = std::str::from_utf8(report).unwrap_or("");
    platform
        .columns
        .iter()
        .map(|column| load_column(text, column))
        .collect::<Option<Vec<f64>>>()
        .unwrap_or_default()
}

fn load_column(report: &str, column: &str) -> Option<f64> {
    let alias = wire_names::load_column_alias(column);
    let (_, value) = term_pairs(report).find(|(name, _)| *name == column || *name == alias)?;
    let value: f64 = value.parse().ok()?;
    (value.is_finite() && value >= 0.0).then_some(value)
}

/// Returns the actual units of a request from its usage, if the settings settle units from answers.
/// To protect quotas, usage is ignored if it gives two values or more units than the settings allow
/// for one request.
pub fn settled_units(platform: &Platform, usage: &[u8]) -> Option<f64> {
    let settings = &platform.decision;
    if !settings.settles_units_later {
        return None;
    }
    let text = std::str::from_utf8(usage).ok()?;
    let mut values = term_pairs(text).filter(|(name, _)| *name == wire_names::SETTLED_UNITS);
    let (_, first) = values.next()?;
    if values.next().is_some() {
        return None;
    }
    parse_decimal(first).filter(|units| *units <= settings.max_units)
}
