//! Numbers as the page writes them: three significant digits, thousands separated by commas.

use super::Share;

/// Number of significant digits.
const SIGNIFICANT_DIGITS: i32 = 3;

/// Formats a number with three significant digits.
pub(super) fn number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return if value == 0.0 {
            "0".into()
        } else {
            value.to_string()
        };
    }
    let decimals = SIGNIFICANT_DIGITS - 1 - value.abs().log10().floor() as i32;
    let step = 10f64.powi(decimals);
    let rounded = (value * step).round() / step;
    let text = format!("{rounded:.*}", decimals.max(0) as usize);
    group_thousands(if decimals > 0 {
        text.trim_end_matches('0').trim_end_matches('.')
    } else {
        &text
    })
}

/// Groups the digits of the integer part by thousands.
fn group_thousands(text: &str) -> String {
    let (sign, digits) = text
        .strip_prefix('-')
        .map_or(("", text), |digits| ("-", digits));
    let (integer, fraction) = digits.split_once('.').unwrap_or((digits, ""));
    let mut grouped = String::from(sign);
    for (position, digit) in integer.chars().enumerate() {
        if position > 0 && (integer.len() - position) % 3 == 0 {
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

/// Formats a share of the target as a percentage.
pub(super) fn share(share: Share) -> String {
    match share {
        Share::AtNoLoad => "0%".into(),
        Share::At(share) => format!("{}%", number(100.0 * share)),
        Share::Beyond => "over 1,000%".into(),
    }
}

#[cfg(test)]
mod tests;
