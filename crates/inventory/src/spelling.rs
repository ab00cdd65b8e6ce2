//! Finds the known name that is closest to a misspelled one.

/// Maximum length of a compared name, in bytes: the cost of the comparison is quadratic.
const MAX_COMPARED_BYTES: usize = 64;
/// Maximum edit distance of a similar name.
const MAX_DIFFERENCES: usize = 2;
const LETTERS_PER_DIFFERENCE: usize = 3;

/// Returns the known name that is closest to an unknown one, if their edit distance is small: one
/// edit for each [`LETTERS_PER_DIFFERENCE`] letters, at least 1 and at most [`MAX_DIFFERENCES`].
pub(crate) fn closest_name<'a>(
    wrong: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    if wrong.len() > MAX_COMPARED_BYTES {
        return None;
    }
    let letters = wrong.chars().count();
    let max_distance = (letters / LETTERS_PER_DIFFERENCE).clamp(1, MAX_DIFFERENCES);
    let nearest = known
        .map(|name| (strsim::damerau_levenshtein(wrong, name), name))
        .min();
    nearest
        .filter(|(distance, _)| *distance <= max_distance)
        .map(|(_, name)| name)
}
