//! Tests of operator precedence and of the limit on nesting.

use super::*;

#[test]
fn operators_bind_as_in_cel() {
    for (flat, grouped) in [
        (
            "1 + 2 * 3 == 7 && a || b",
            "(((1 + (2 * 3)) == 7) && a) || b",
        ),
        ("a ? b : c ? d : e", "a ? b : (c ? d : e)"),
        ("-a.b[0] - 1", "(-(a.b[0])) - 1"),
        ("!a && b in [1]", "(!a) && (b in [1])"),
        ("8 - 4 - 2", "(8 - 4) - 2"),
    ] {
        let plain = |text| {
            let shape = format!("{:?}", parse(text).unwrap());
            shape
                .split("span: ")
                .map(|part| part.split_once(',').map_or(part, |p| p.1))
                .collect::<String>()
        };
        assert_eq!(plain(flat), plain(grouped), "{flat}");
    }
}

/// Deep nesting must be refused with an error before the recursive parser overflows its stack. Long
/// flat chains of `||` are allowed.
#[test]
fn no_text_overflows_the_stack() {
    for (open, close) in [
        ("(", ")"),
        ("[", "]"),
        ("!", ""),
        ("-", ""),
        ("f(", ")"),
        ("{1:", "}"),
        ("a?", ":b"),
    ] {
        let text = format!("{}1{}", open.repeat(15_000), close.repeat(15_000));
        assert!(parse(&text).is_err(), "{open}");
    }
    for chain in ["a.", "1+", "a[0]", "let a=1;", "a?b:", "a.f()."] {
        let text = chain.repeat(8000);
        assert!(parse(&text[..text.len().min(60_000)]).is_err(), "{chain}");
    }
    let long = vec!["a"; 5000].join(" || ");
    assert!(matches!(parse(&long).unwrap().kind, TreeKind::Or(parts) if parts.len() == 5000));
}
