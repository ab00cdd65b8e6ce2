//! Tests of the module `error`.

use super::*;

#[test]
fn a_fault_is_shown_under_its_line_and_in_one_line() {
    let text = "a &&\n  b.c ==\n 3";
    let error = Error::new(7..10, "no such name")
        .help("did you mean b.d?")
        .located(text);
    let origin = Origin {
        line: 40,
        column: 9,
    };
    assert_eq!(
        error.line("r.toml", origin),
        "r.toml:41:3: no such name; did you mean b.d?"
    );
    let want = "r.toml:41:3: no such name\n   |\n41 |   b.c ==\n   |   ^^^\n   = did you mean b.d?";
    assert_eq!(error.render("r.toml", origin), want);
    assert_eq!(Error::new(0..1, "x").located(text).position(origin), origin);
}

#[test]
fn spans_beyond_the_text_and_long_lines_are_met() {
    let text = "é".repeat(5000);
    for span in [0..1, 1..3, 4999..5001, 9999..20_000, 10_000..10_000] {
        let shown = Error::new(span, "x")
            .located(&text)
            .render("f", Origin::default());
        assert!(
            shown.lines().all(|line| line.chars().count() < 140),
            "{shown}"
        );
    }
}
