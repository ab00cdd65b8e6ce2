//! The memory limit for reading a file of rules, and the faults of a file that exceeds it.

mod common;

use common::{read_with_options, read_with_previous, route, routes};
use driftgap_routes::{ReadOptions, Rules, DEFAULT_MAX_BYTES};

/// Reads a file with a memory limit of `max_bytes`.
fn read_within_limit(
    text: &str,
    previous: Option<&Rules>,
    max_bytes: usize,
) -> Result<Rules, Vec<String>> {
    read_with_options(
        text,
        &ReadOptions {
            previous,
            max_bytes,
        },
    )
}

/// The number of rules is bounded by memory alone, not by a fixed number.
#[test]
fn more_than_ten_thousand_rules_are_read() {
    let rules: String = (0..10_100)
        .map(|i| format!("[[rule]]\nname = 'r{i}'\nwhen = 'request.path == \"/{i}\"'\n"))
        .collect();
    assert_eq!(read_with_previous(&rules, None).unwrap().len(), 10_100);
}

/// A huge file is configured by mistake. It must be refused by its length before any of it is
/// parsed.
#[test]
fn file_larger_than_memory_limit_is_refused_unparsed() {
    let text = routes(10);
    let want = format!(
        "rules.toml: the file has {} bytes; the limit is 100",
        text.len()
    );
    assert_eq!(read_within_limit(&text, None, 100).unwrap_err(), [want]);
    assert!(read_within_limit(&text, None, DEFAULT_MAX_BYTES).is_ok());
}

/// A file has more rules than fit into memory. Reading must stop at the rule that exceeds the limit
/// and report it, rather than exhaust the memory of the ingress.
#[test]
fn rules_over_memory_limit_are_refused_with_line() {
    const RULES: usize = 400;
    let text = routes(RULES);
    let in_force = read_with_previous(&text, None).unwrap();
    let needed = text.len() + in_force.heap_bytes();
    assert!(read_within_limit(&text, None, needed + needed / 4).is_ok());
    let faults = read_within_limit(&text, None, needed - in_force.heap_bytes() / 2).unwrap_err();
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

/// A reload holds the old and the new rules at the same time. A file in which every rule has
/// changed needs twice the memory and must be refused if that exceeds the limit; a file with one
/// changed rule must not.
#[test]
fn reload_counts_changed_rules_in_addition_to_old_ones() {
    const RULES: usize = 400;
    let text = routes(RULES);
    let in_force = read_with_previous(&text, None).unwrap();
    let max_bytes = text.len() + in_force.heap_bytes() * 3 / 2;
    assert!(read_within_limit(&text, None, max_bytes).is_ok());
    assert!(read_within_limit(&text, Some(&in_force), max_bytes).is_ok());
    let one_changed = text.replace("/programmes/7/", "/programmes/seven/");
    assert!(read_within_limit(&one_changed, Some(&in_force), max_bytes).is_ok());
    let other: String = (RULES..2 * RULES).map(route).collect();
    let faults = read_within_limit(
        &format!("{}{other}", common::POOLS),
        Some(&in_force),
        max_bytes,
    )
    .unwrap_err();
    assert!(faults[0].contains("for the rules in force"), "{faults:?}");
}

/// The table of a limit is allocated with its first request. If it did not count before that, a
/// file would be accepted and the ingress would run out of memory later, under load.
#[test]
fn limit_tables_count_before_first_request() {
    let limits = |count: usize, keys: usize| -> String {
        let limit = |i| {
            format!("[[rule]]\nname = 'l{i}'\nwhen = 'request.path == \"/{i}\"'\nlimit = {{ key = 'request.id.orValue(\"\")', rate = 1, keys = {keys} }}\n")
        };
        (0..count).map(limit).collect()
    };
    // 16,384 buckets of 16 bytes are 256 KiB.
    assert!(read_with_previous(&limits(200, 16_384), None).is_ok());
    let faults = read_with_previous(&limits(300, 16_384), None).unwrap_err();
    assert!(faults[0].contains("fewer keys of limits"), "{faults:?}");
    assert!(read_with_previous(&limits(300, 64), None).is_ok());
    let in_force = read_with_previous(&limits(1, 16_384), None).unwrap();
    assert!(in_force.heap_bytes() > 16_384 * 16);
}

/// A file cannot be split into rules, because they are in an inline array or a bracket is not
/// closed. Parsing takes about a hundred times the length of the text, so the length of such a
/// piece must be limited before it is parsed.
#[test]
fn text_parsed_in_one_piece_is_bounded_by_memory() {
    let inline = |count: usize| -> String {
        let rule = |i| format!("  {{ name = 'r{i}', when = 'request.path == \"/{i}\"' }},\n");
        format!("rule = [\n{}]\n", (0..count).map(rule).collect::<String>())
    };
    assert_eq!(read_with_previous(&inline(100), None).unwrap().len(), 100);
    let text = inline(2_000);
    let faults = read_within_limit(&text, None, text.len() * 64).unwrap_err();
    assert!(
        faults[0].contains("would be parsed in one piece"),
        "{faults:?}"
    );
    assert!(faults[0].contains("[[rule]]"), "{faults:?}");
    // Split into rules, the same number of rules passes with the same limit.
    let sections: String = (0..2_000)
        .map(|i| format!("[[rule]]\nname = 'r{i}'\n"))
        .collect();
    assert!(read_within_limit(&sections, None, text.len() * 64).is_ok());
    // An unclosed bracket makes one rule of all text that follows.
    let unclosed = sections.replacen("name = 'r7'", "name = 'r7'\npool = [", 1);
    let faults = read_within_limit(&unclosed, None, unclosed.len() * 64).unwrap_err();
    assert!(
        faults[0].starts_with("rules.toml:15:1: ") && faults[0].contains("an unclosed bracket"),
        "{faults:?}"
    );
    // A single rule of that length.
    let long = format!(
        "[[rule]]\nname = 'a'\nnotes = {{ n = '\"{}\"' }}\n",
        "x".repeat(300_000)
    );
    let faults = read_within_limit(&long, None, 4 << 20).unwrap_err();
    assert!(
        faults[0].contains("would be parsed in one piece"),
        "{faults:?}"
    );
}
