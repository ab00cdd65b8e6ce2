//! How large a file of rules may be: as large as the memory that is given for it, and what is reported beyond.

mod common;

use common::{read_on, read_with, route, routes};
use driftgap_routes::{ReadOptions, Rules, DEFAULT_MAX_BYTES};

/// Reads a file with so much memory, bytes.
fn within(text: &str, previous: Option<&Rules>, max_bytes: usize) -> Result<Rules, Vec<String>> {
    read_with(
        text,
        &ReadOptions {
            previous,
            max_bytes,
        },
    )
}

/// A fleet has more routes than a round figure in the code. Only memory bounds their number.
#[test]
fn more_rules_than_ten_thousand_are_read() {
    let rules: String = (0..10_100)
        .map(|i| format!("[[rule]]\nname = 'r{i}'\nwhen = 'request.path == \"/{i}\"'\n"))
        .collect();
    assert_eq!(read_on(&rules, None).unwrap().len(), 10_100);
}

/// Somebody names a huge file by mistake. It is refused by its length, before anything of it is parsed.
#[test]
fn a_file_that_is_longer_than_the_memory_is_refused_at_once() {
    let text = routes(10);
    let want = format!(
        "rules.toml: the file has {} bytes; the limit is 100",
        text.len()
    );
    assert_eq!(within(&text, None, 100).unwrap_err(), [want]);
    assert!(within(&text, None, DEFAULT_MAX_BYTES).is_ok());
}

/// A file has more rules than there is memory for. Reading stops at the rule where the bound is reached and names it,
/// rather than taking the ingress out of memory.
#[test]
fn rules_beyond_the_memory_are_refused_where_they_stand() {
    const RULES: usize = 400;
    let text = routes(RULES);
    let whole = read_on(&text, None).unwrap();
    let needed = text.len() + whole.heap_bytes();
    assert!(within(&text, None, needed + needed / 4).is_ok());
    let faults = within(&text, None, needed - whole.heap_bytes() / 2).unwrap_err();
    assert_eq!(faults.len(), 1, "{faults:?}");
    assert!(
        faults[0].contains("the rules up to this one need more memory than is available"),
        "{faults:?}"
    );
    let line: usize = faults[0].split(':').nth(1).unwrap().parse().unwrap();
    // About half of the rules fit.
    assert!(
        line > text.lines().count() / 4 && line < text.lines().count() * 3 / 4,
        "{line}"
    );
    assert!(text.lines().nth(line - 1).unwrap().starts_with("[[rule]]"));
}

/// A reload holds the old and the new rules at once. A file that has changed throughout takes twice the memory and is
/// refused where that is too much; one changed rule is not.
#[test]
fn a_wholly_changed_file_counts_beside_the_rules_in_force_and_one_change_does_not() {
    const RULES: usize = 400;
    let text = routes(RULES);
    let in_force = read_on(&text, None).unwrap();
    let room = text.len() + in_force.heap_bytes() * 3 / 2;
    assert!(within(&text, None, room).is_ok());
    assert!(within(&text, Some(&in_force), room).is_ok());
    let one = text.replace("/programmes/7/", "/programmes/seven/");
    assert!(within(&one, Some(&in_force), room).is_ok());
    let other: String = (RULES..2 * RULES).map(route).collect();
    let faults = within(&format!("{}{other}", common::POOLS), Some(&in_force), room).unwrap_err();
    assert!(faults[0].contains("for the rules in force"), "{faults:?}");
}

/// The table of a limit is allocated with its first request. If it did not count before, a file would be accepted, and
/// the ingress would run out of memory later, under load.
#[test]
fn the_tables_of_limits_count_before_any_request_meets_them() {
    let limits = |count: usize, keys: usize| -> String {
        let limit = |i| {
            format!("[[rule]]\nname = 'l{i}'\nwhen = 'request.path == \"/{i}\"'\nlimit = {{ key = 'request.id.orValue(\"\")', rate = 1, keys = {keys} }}\n")
        };
        (0..count).map(limit).collect()
    };
    // 16,384 buckets of 16 bytes are 256 KiB.
    assert!(read_on(&limits(200, 16_384), None).is_ok());
    let faults = read_on(&limits(300, 16_384), None).unwrap_err();
    assert!(faults[0].contains("fewer keys of limits"), "{faults:?}");
    assert!(read_on(&limits(300, 64), None).is_ok());
    let in_force = read_on(&limits(1, 16_384), None).unwrap();
    assert!(in_force.heap_bytes() > 16_384 * 16);
}

/// A file's rules cannot be parsed one by one: they stand in an inline array, or a bracket does not end. Parsing takes a
/// hundred times the text's length, so that such a piece is bounded before it is parsed.
#[test]
fn what_cannot_be_cut_into_rules_is_parsed_as_far_as_memory_allows() {
    let inline = |count: usize| -> String {
        let rule = |i| format!("  {{ name = 'r{i}', when = 'request.path == \"/{i}\"' }},\n");
        format!("rule = [\n{}]\n", (0..count).map(rule).collect::<String>())
    };
    assert_eq!(read_on(&inline(100), None).unwrap().len(), 100);
    let text = inline(2_000);
    let faults = within(&text, None, text.len() * 64).unwrap_err();
    assert!(
        faults[0].contains("would be parsed in one piece"),
        "{faults:?}"
    );
    assert!(faults[0].contains("[[rule]]"), "{faults:?}");
    // Cut into rules it passes with as much.
    let cut: String = (0..2_000)
        .map(|i| format!("[[rule]]\nname = 'r{i}'\n"))
        .collect();
    assert!(within(&cut, None, text.len() * 64).is_ok());
    // A bracket that does not end takes all that follows into one rule.
    let torn = cut.replacen("name = 'r7'", "name = 'r7'\npool = [", 1);
    let faults = within(&torn, None, torn.len() * 64).unwrap_err();
    assert!(
        faults[0].starts_with("rules.toml:15:1: ") && faults[0].contains("an unclosed bracket"),
        "{faults:?}"
    );
    // One rule that is as long.
    let long = format!(
        "[[rule]]\nname = 'a'\nnotes = {{ n = '\"{}\"' }}\n",
        "x".repeat(300_000)
    );
    let faults = within(&long, None, 4 << 20).unwrap_err();
    assert!(
        faults[0].contains("would be parsed in one piece"),
        "{faults:?}"
    );
}
