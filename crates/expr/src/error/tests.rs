//! Tests of the rendering of errors.

use super::*;

#[test]
fn error_renders_as_one_line_and_as_excerpt() {
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

/// A span may end beyond the text or within a character of several bytes. Rendering must not panic,
/// and a long line must be cut to an excerpt.
#[test]
fn out_of_range_spans_and_long_lines_render() {
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
