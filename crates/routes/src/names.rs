//! Names in a file of rules: which may be used, and which known one is nearest to an unknown one.

use crate::reader::{Text, Values};
use std::ops::Range;
use toml::de::DeTable;

/// Longest name of a rule or a pool, bytes.
const MAX_NAME: usize = 64;
/// Most known names that are listed where none is near.
const MAX_LISTED_NAMES: usize = 12;

fn is_valid(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain)
}

/// The name of a rule or a pool. A missing or unusable one is noted, at `span` or where it is.
pub(crate) fn name(
    values: &mut Values<'_, '_>,
    fields: &DeTable<'_>,
    span: Range<usize>,
) -> Option<Text> {
    let Some(name) = fields.get("name") else {
        values.fault(span, "`name` is missing", None);
        return None;
    };
    let name = values.string(name)?;
    if !is_valid(&name.text) {
        let help = Some(format!("letters, digits, - _ and . up to {MAX_NAME}"));
        values.fault(name.span, "the name cannot be used", help);
        return None;
    }
    Some(name)
}

/// Help for an unknown name: the known one that is nearest, or the first of the known ones.
pub(crate) fn nearest<'a>(wrong: &str, known: impl Iterator<Item = &'a str> + Clone) -> String {
    let nearest = known
        .clone()
        .map(|name| (strsim::damerau_levenshtein(wrong, name), name))
        .min();
    match nearest {
        Some((distance, name)) if distance <= (wrong.len() / 3).clamp(1, 2) => {
            format!("did you mean {name:?}?")
        }
        _ => format!(
            "known are {}",
            known.take(MAX_LISTED_NAMES).collect::<Vec<_>>().join(", ")
        ),
    }
}
