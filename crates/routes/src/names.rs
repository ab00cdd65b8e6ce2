//! Names in a file of rules: their syntax, and suggestions for unknown ones.

use crate::reader::{Text, Values};
use std::ops::Range;
use toml::de::DeTable;

/// Maximum length of the name of a rule or pool, in bytes.
const MAX_NAME: usize = 64;
/// Maximum number of known names that are listed if none is similar.
const MAX_LISTED_NAMES: usize = 12;

fn is_valid(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain)
}

/// Reads the name of a rule or pool. A missing name is reported at `span`, an invalid one at its
/// own span.
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
        let help = Some(format!(
            "expected up to {MAX_NAME} letters, digits, - _ and ."
        ));
        values.fault(name.span, "the name cannot be used", help);
        return None;
    }
    Some(name)
}

/// Returns the help text for an unknown name: the most similar known name, or the first known names
/// if none is similar.
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
            "known names: {}",
            known.take(MAX_LISTED_NAMES).collect::<Vec<_>>().join(", ")
        ),
    }
}
