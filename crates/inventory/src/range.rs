//! Ranges in host names as Ansible writes them: `node-[01:40].example`, `rack-[a:f]`, `n[0:10:2]`. It owns their
//! unfolding and its bound.

/// Most names that one pattern unfolds to.
pub const MAX_NAMES: usize = 100_000;

/// The names that a pattern stands for.
///
/// # Errors
/// What is wrong with a range.
pub(crate) fn names(pattern: &str) -> Result<Vec<String>, String> {
    let mut found = vec![String::new()];
    let mut rest = pattern;
    while let Some(open) = rest.find('[') {
        let Some(close) = rest[open..].find(']').map(|at| open + at) else {
            break;
        };
        // An IPv6 address in brackets is no range.
        let inner = &rest[open + 1..close];
        if inner.matches(':').count() > 2 || inner.parse::<std::net::Ipv6Addr>().is_ok() {
            break;
        }
        let items = range(inner)?;
        if found.len().saturating_mul(items.len()) > MAX_NAMES {
            return Err(format!("the ranges stand for more than {MAX_NAMES} names"));
        }
        let before = &rest[..open];
        found = found
            .iter()
            .flat_map(|name| {
                items
                    .iter()
                    .map(move |item| format!("{name}{before}{item}"))
            })
            .collect();
        rest = &rest[close + 1..];
    }
    found.iter_mut().for_each(|name| name.push_str(rest));
    Ok(found)
}

fn range(inner: &str) -> Result<Vec<String>, String> {
    let wrong = || {
        format!(
            "[{}] is no range: [01:40], [a:f] or [0:10:2]",
            inner.chars().take(40).collect::<String>()
        )
    };
    let parts: Vec<&str> = inner.split(':').collect();
    let (from, to, step) = match parts.as_slice() {
        [from, to] => (*from, *to, 1),
        [from, to, step] => (
            *from,
            *to,
            step.parse().ok().filter(|s| *s > 0).ok_or_else(wrong)?,
        ),
        _ => return Err(wrong()),
    };
    let letter = |text: &str| {
        let mut all = text.chars();
        all.next()
            .filter(|c| c.is_ascii_alphabetic() && all.next().is_none())
    };
    let items: Vec<String> = match (letter(from), letter(to)) {
        (Some(from), Some(to))
            if from <= to && from.is_ascii_lowercase() == to.is_ascii_lowercase() =>
        {
            (from..=to).step_by(step).map(String::from).collect()
        }
        _ => {
            let digits = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
            // An empty beginning is 0, as in Ansible.
            let from = if from.is_empty() { "0" } else { from };
            if !digits(from)
                || !digits(to)
                || from.starts_with('0') && from.len() > 1 && from.len() != to.len()
            {
                return Err(wrong());
            }
            let width = if from.starts_with('0') { from.len() } else { 0 };
            let (from, to): (u32, u32) = (
                from.parse().map_err(|_| wrong())?,
                to.parse().map_err(|_| wrong())?,
            );
            if from > to {
                return Err(wrong());
            }
            if (to - from) as usize / step >= MAX_NAMES {
                return Err(format!("the range stands for more than {MAX_NAMES} names"));
            }
            (from..=to)
                .step_by(step)
                .map(|n| format!("{n:0width$}"))
                .collect()
        }
    };
    Ok(items)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ranges_unfold_with_width_letters_and_steps() {
        let told = |pattern| {
            names(pattern)
                .map(|names| names.join(" "))
                .unwrap_or_else(|e| format!("!{e}"))
        };
        assert_eq!(told("n[01:03].x"), "n01.x n02.x n03.x");
        assert_eq!(told("n[8:11]"), "n8 n9 n10 n11");
        assert_eq!(told("r[a:c]-[1:2]"), "ra-1 ra-2 rb-1 rb-2 rc-1 rc-2");
        assert_eq!(told("n[0:10:5]"), "n0 n5 n10");
        assert_eq!(told("plain"), "plain");
        assert_eq!(told("[fd00::1]:6379"), "[fd00::1]:6379");
        for wrong in [
            "n[3:1]",
            "n[a:3]",
            "n[01:100]",
            "n[1:2:0]",
            "n[0:4000000000]",
            "n[0:999][0:999]",
            "n[x]",
        ] {
            assert!(told(wrong).starts_with('!'), "{wrong}: {}", told(wrong));
        }
    }
}
