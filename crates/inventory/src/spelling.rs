//! Names that are spelled nearly like a known one.

/// Longest name that is compared, bytes: the comparison takes the square of it.
const MAX_COMPARED_BYTES: usize = 64;
/// Most letters in which a name may differ, and one for each so many of its letters.
const MAX_DIFFERENCES: usize = 2;
const LETTERS_PER_DIFFERENCE: usize = 3;

/// The known name that a wrong one nearly is.
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
