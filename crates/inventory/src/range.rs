//! Expands ranges in host names as Ansible writes them: `node-[01:40].example`, `rack-[a:f]`,
//! `n[0:10:2]`.

/// Maximum number of names that one pattern expands to; bounds the memory that a short pattern can
/// require.
pub const MAX_NAMES: usize = 100_000;
/// Maximum length of the invalid range that an error quotes, in characters.
const MAX_SHOWN_CHARS: usize = 40;

/// An error in a pattern of host names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RangeError {
    #[error("[{0}] is not a range such as [01:40], [a:f] or [0:10:2]")]
    NotARange(String),
    #[error("the range expands to more than {MAX_NAMES} names")]
    RangeTooLong,
    #[error("the ranges expand to more than {MAX_NAMES} names")]
    TooManyNames,
}

/// Returns the names that a pattern expands to.
///
/// # Errors
/// A range is malformed, or the pattern expands to more than [`MAX_NAMES`] names.
pub(crate) fn names(pattern: &str) -> Result<Vec<String>, RangeError> {
    let mut names = vec![String::new()];
    let mut rest = pattern;
    while let Some((before, range, after)) = next_range(rest) {
        let items = expand(range)?;
        if names.len().saturating_mul(items.len()) > MAX_NAMES {
            return Err(RangeError::TooManyNames);
        }
        names = names
            .iter()
            .flat_map(|name| {
                items
                    .iter()
                    .map(move |item| format!("{name}{before}{item}"))
            })
            .collect();
        rest = after;
    }
    names.iter_mut().for_each(|name| name.push_str(rest));
    Ok(names)
}

/// Returns the text before the next range, the content of its brackets, and the text after it.
fn next_range(pattern: &str) -> Option<(&str, &str, &str)> {
    let (before, rest) = pattern.split_once('[')?;
    let (range, after) = rest.split_once(']')?;
    // An IPv6 address in brackets is not a range.
    let is_address = range.matches(':').count() > 2 || range.parse::<std::net::Ipv6Addr>().is_ok();
    (!is_address).then_some((before, range, after))
}

fn expand(range: &str) -> Result<Vec<String>, RangeError> {
    let not_a_range = || RangeError::NotARange(range.chars().take(MAX_SHOWN_CHARS).collect());
    let parts: Vec<&str> = range.split(':').collect();
    let (from, to, step) = match parts.as_slice() {
        [from, to] => (*from, *to, "1"),
        [from, to, step] => (*from, *to, *step),
        _ => return Err(not_a_range()),
    };
    let step: Option<usize> = step.parse().ok();
    let step = step.filter(|step| *step > 0).ok_or_else(not_a_range)?;
    if let Some((from, to)) = letters(from, to) {
        return Ok((from..=to).step_by(step).map(String::from).collect());
    }
    let numbers = Numbers::parse(from, to).ok_or_else(not_a_range)?;
    numbers.expand(step)
}

/// Returns the first and last letter of a range of letters, which must have the same case.
fn letters(from: &str, to: &str) -> Option<(char, char)> {
    let (from, to) = (single_letter(from)?, single_letter(to)?);
    let one_case = from.is_ascii_lowercase() == to.is_ascii_lowercase();
    (from <= to && one_case).then_some((from, to))
}

fn single_letter(text: &str) -> Option<char> {
    let mut chars = text.chars();
    let letter = chars.next().filter(char::is_ascii_alphabetic)?;
    chars.next().is_none().then_some(letter)
}

/// A range of numbers, and the width to which they are padded with zeros.
struct Numbers {
    from: u32,
    to: u32,
    width: usize,
}

impl Numbers {
    fn parse(from: &str, to: &str) -> Option<Numbers> {
        // An omitted start is 0, as in Ansible.
        let from = if from.is_empty() { "0" } else { from };
        let has_width = from.starts_with('0');
        if !is_digits(from) || !is_digits(to) {
            return None;
        }
        if has_width && from.len() > 1 && from.len() != to.len() {
            return None;
        }
        let numbers = Numbers {
            from: from.parse().ok()?,
            to: to.parse().ok()?,
            width: if has_width { from.len() } else { 0 },
        };
        (numbers.from <= numbers.to).then_some(numbers)
    }

    fn expand(&self, step: usize) -> Result<Vec<String>, RangeError> {
        let Numbers { from, to, width } = *self;
        if (to - from) as usize / step >= MAX_NAMES {
            return Err(RangeError::RangeTooLong);
        }
        let numbers = (from..=to).step_by(step);
        Ok(numbers.map(|n| format!("{n:0width$}")).collect())
    }
}

fn is_digits(text: &str) -> bool {
    !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit())
}

#[cfg(test)]
mod tests;
