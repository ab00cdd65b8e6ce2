//! Conformance of the language with the table of cases in `conformance.txt`.

mod common;

use common::{schema, Request};
use driftgap_expr::{Expression, Origin, Scratch, Type};

const CASES: &str = include_str!("conformance.txt");

/// The outcome of an expression in the notation of the table: a value (`=>`), an error when the
/// expression is checked (`!!`) or a fault when it is evaluated (`~~`).
fn value(text: &str) -> (&'static str, String) {
    let expression = match Expression::new(text, &schema()) {
        Ok(expression) => expression,
        Err(e) => return ("!!", e.to_string()),
    };
    if let Type::Optional(_) = expression.ty() {
        return ("!!", format!("this is of type {}", expression.ty()));
    }
    let request = Request::default();
    let mut scratch = Scratch::default();
    let result = match expression.eval(&request, &mut scratch) {
        Ok(Some(value)) => ("=>", value.to_string()),
        Ok(None) => ("=>", "absent".into()),
        Err(fault) => ("~~", fault.to_string()),
    };
    assert!(scratch.spent() <= expression.cost(), "{text}");
    result
}

#[test]
fn every_case_of_the_table_holds() {
    let (mut count, mut failed) = (0, Vec::new());
    for (number, line) in CASES.lines().enumerate() {
        let comment =
            line.starts_with("##") || line.starts_with("# ") && !line.contains("!! no meaning");
        if line.trim().is_empty() || comment {
            continue;
        }
        let kinds = ["=>", "!!", "~~"].into_iter();
        let mut found =
            kinds.filter_map(|kind| Some((kind, line.rsplit_once(&format!(" {kind} "))?)));
        let Some((kind, (text, want))) = found.next_back() else {
            failed.push(format!("line {}: no case: {line}", number + 1));
            continue;
        };
        let (got, got_text) = value(text);
        let holds = got == kind
            && if kind == "=>" {
                got_text == want
            } else {
                got_text.contains(want)
            };
        if !holds {
            failed.push(format!(
                "line {}: {text}: want {kind} {want}, got {got} {got_text}",
                number + 1
            ));
        }
        count += 1;
    }
    assert!(
        failed.is_empty(),
        "{} of {count} fail:\n{}",
        failed.len(),
        failed.join("\n")
    );
    assert!(count > 300, "{count} cases");
}

#[test]
fn error_shows_its_position_in_the_file() {
    let text = "request.method == \"GET\" &&\n  request.pth.startsWith(\"/episodes/\")";
    let error = Expression::new(text, &schema()).unwrap_err();
    let origin = Origin {
        line: 12,
        column: 8,
    };
    let want = "rules.toml:13:3: there is no `request.pth`\n   |\n\
                13 |   request.pth.startsWith(\"/episodes/\")\n   |   ^^^^^^^^^^^\n   = did you mean `request.path`?";
    assert_eq!(error.render("rules.toml", origin), want);
}

#[test]
fn hashes_stay_the_same() {
    // The expected values come from this implementation. Rules route partners to pools by these
    // hashes: a changed algorithm would move partners between pools, so it needs a function with a
    // new name.
    for (text, want) in [
        ("", "12586"),
        ("0000000000000007", "876660"),
        ("/episodes/123/audio", "221886"),
    ] {
        let (_, got) = value(&format!("hash({text:?}, 1000000)"));
        assert_eq!(got, want, "{text:?}");
    }
}
