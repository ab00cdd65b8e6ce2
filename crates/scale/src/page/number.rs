//! Numbers as the page writes them: three digits that count, thousands apart.

use super::Share;

/// Digits that count.
const DIGITS: i32 = 3;

/// A number with three digits that count.
pub(super) fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return if value == 0.0 {
            "0".into()
        } else {
            value.to_string()
        };
    }
    let places = DIGITS - 1 - value.abs().log10().floor() as i32;
    let step = 10f64.powi(places);
    let rounded = (value * step).round() / step;
    let text = format!("{rounded:.*}", places.max(0) as usize);
    apart(if places > 0 {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        &text
    })
}

/// A number with its whole part in groups of three digits.
fn apart(text: &str) -> String {
    let (sign, digits) = text
        .strip_prefix('-')
        .map_or(("", text), |digits| ("-", digits));
    let (whole, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let mut grouped = String::from(sign);
    for (place, digit) in whole.chars().enumerate() {
        if place > 0 && (whole.len() - place) % 3 == 0 {
            grouped.push(',');
        }
        grouped.push(digit);
    }
    if !fraction.is_empty() {
        grouped.push('.');
        grouped.push_str(fraction);
    }
    grouped
}

/// A share of the target.
pub(super) fn share(share: Share) -> String {
    match share {
        Share::Never => "0%".into(),
        Share::At(share) => format!("{}%", number(100.0 * share)),
        Share::Beyond => "over 1,000%".into(),
    }
}

#[cfg(test)]
mod tests;
