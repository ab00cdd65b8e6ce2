//! Properties of all expressions. A well-typed one never fails with a type error and never exceeds
//! its computed maximum cost, and its facts hold. No text causes a panic or takes long to check.
//! Each run prints its seed.

mod common;
mod generators;

use common::{schema, Request};
use driftgap_expr::{
    Chosen, Expression, Fault, Interner, Path, Scratch, SelectKey, Selector, Texts, Type, Value,
};
use generators::{bool_text, request, typed};
use proptest::prelude::*;
use proptest::sample::select;
use std::time::{Duration, Instant};

fn holds(facts: &driftgap_expr::Facts, request: &Request) -> bool {
    use driftgap_expr::Input;
    facts.iter().all(|(path, fact)| {
        let value = match path {
            Path::Field(field) => request
                .get(*field)
                .or_else(|| request.size(*field).map(|n| Value::Int(n as i64))),
            Path::Key(field, key) => request.lookup(*field, key),
            Path::Item(field, index) => usize::try_from(*index)
                .ok()
                .and_then(|i| request.item(*field, i)),
            Path::Local(_) => return true,
        };
        if fact
            .present
            .is_some_and(|present| present != value.is_some())
        {
            return false;
        }
        let Some(Value::Text(text)) = value else {
            return true;
        };
        let listed = match &fact.texts {
            Texts::In(texts) => texts.contains(text),
            Texts::NotIn(texts) => !texts.contains(text),
        };
        let begins = fact
            .prefixes
            .as_ref()
            .is_none_or(|all| all.iter().any(|p| text.starts_with(&**p)));
        listed && begins && !fact.not_prefixes.iter().any(|p| text.starts_with(&**p))
    })
}

proptest! {
    #![proptest_config(generators::cases(400))]

    #[test]
    fn well_typed_expressions_keep_type_and_cost(
        (text, ty) in typed(),
        requests in prop::collection::vec(request(), 4),
    ) {
        let expression = match Expression::new(&text, &schema()) {
            Ok(expression) => expression,
            // Constant arithmetic may fail for every input, concatenated texts may be too long, and
            // a generated has() or orValue() may apply to a value that is always present. No other
            // error is allowed.
            Err(e) => {
                let message = e.to_string();
                let allowed = ["for every input", "the limit is", "always present"];
                prop_assert!(allowed.iter().any(|a| message.contains(a)), "{text}: {message}");
                return Ok(());
            }
        };
        prop_assert_eq!(expression.ty(), &ty, "{}", text);
        let mut scratch = Scratch::default();
        for request in &requests {
            let fits = match expression.eval(request, &mut scratch) {
                Ok(Some(Value::Bool(_))) => ty == Type::Bool,
                Ok(Some(Value::Int(_))) => ty == Type::Int,
                Ok(Some(Value::Text(t))) => ty == Type::Text && t.len() <= expression.bound().bytes as usize,
                Ok(Some(Value::Duration(_))) => ty == Type::Duration,
                Ok(Some(Value::Double(v))) => ty == Type::Double && v.is_finite(),
                Err(Fault::Overflow | Fault::DivisionByZero) => true,
                _ => false,
            };
            prop_assert!(fits, "{text} on {request:?}");
            prop_assert!(scratch.spent() <= expression.cost(), "{text} on {request:?}");
        }
    }

    #[test]
    fn facts_hold_and_index_finds_every_true_test(
        texts in prop::collection::vec(bool_text(2), 1..80),
        request in request(),
    ) {
        let tests: Vec<Expression> =
            texts.iter().filter_map(|text| Expression::new(text, &schema()).ok()).collect();
        let mut interner = Interner::new();
        let keys: Vec<SelectKey> = tests.iter().map(|test| test.select_key(&mut interner)).collect();
        let selector = Selector::new(keys.iter());
        let mut chosen = Chosen::default();
        selector.choose(&request, &mut chosen);
        let chosen: Vec<usize> = chosen.iter().collect();
        let mut scratch = Scratch::default();
        for (i, test) in tests.iter().enumerate() {
            match test.test(&request, &mut scratch) {
                Ok(true) => {
                    prop_assert!(test.when_true().is_some_and(|f| holds(f, &request)), "{} on {request:?}", test.text());
                    prop_assert!(chosen.contains(&i), "{} on {request:?}", test.text());
                }
                Ok(false) => {
                    prop_assert!(test.when_false().is_some_and(|f| holds(f, &request)), "{} on {request:?}", test.text());
                }
                Err(_) => {}
            }
        }
    }

    #[test]
    fn no_text_panics(text in "[ -~é\n]{0,200}") {
        let _ = Expression::new(&text, &schema());
    }

    #[test]
    fn no_token_sequence_panics(words in prop::collection::vec(select(WORDS.to_vec()), 0..60)) {
        if let Ok(expression) = Expression::new(&words.join(" "), &schema()) {
            let _ = expression.eval(&Request::default(), &mut Scratch::default());
            let _ = expression.explain(&Request::default());
        }
    }
}

const WORDS: [&str; 40] = [
    "request",
    ".path",
    ".method",
    ".tags",
    ".headers",
    "request.path",
    "request.partner",
    "request.tags",
    "load",
    "has",
    "size",
    "int",
    "(",
    ")",
    "(",
    ")",
    "[",
    "]",
    "{",
    "}",
    "&&",
    "||",
    "!",
    "-",
    "+",
    "*",
    "/",
    "==",
    "<",
    "in",
    "?",
    ":",
    ",",
    "let x =",
    "; x",
    "'a'",
    "1",
    "2.5",
    ".exists(y,",
    ".orValue(",
];

/// Maximum time to check a text: 100 ms in an optimised build, 2 s in a debug build.
fn max_check_time() -> Duration {
    Duration::from_millis(if cfg!(debug_assertions) { 2000 } else { 100 })
}

/// Guards against texts that make checking take quadratic or exponential time: deep nesting, long
/// chains, large lists, huge patterns and doubled conditionals.
#[test]
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn hostile_texts_are_checked_in_time() {
    let nested =
        |open: &str, close: &str, n: usize| format!("{}1{}", open.repeat(n), close.repeat(n));
    let mut doubled = "request.retry".to_string();
    for _ in 0..11 {
        doubled = format!("({doubled}) ? ({doubled}) : ({doubled})");
        if doubled.len() > 20_000 {
            break;
        }
    }
    let mut tests = "request.retry".to_string();
    for i in 0..40 {
        tests = format!("({tests} ? request.size == {i} : request.retry)");
    }
    let mut ins = "true".to_string();
    for _ in 0..30 {
        ins = format!("({ins} in [{ins}, request.retry])");
        if ins.len() > 30_000 {
            break;
        }
    }
    let lists = (0..40).fold("true".to_string(), |inner, _| {
        format!("(true in [{inner}])")
    });
    let mut texts = vec![
        nested("(", ")", 30_000),
        nested("[", "]", 30_000),
        nested("!", "", 60_000),
        nested("size(", ")", 10_000),
        "a.".repeat(30_000),
        "1+".repeat(30_000),
        "x ? y : ".repeat(8000),
        format!("'{}'", "a".repeat(60_000)),
        "9".repeat(60_000),
        "a".repeat(1_000_000),
        format!("request.path.matches('{}')", "(a{99}){99}".repeat(40)),
        format!("request.path.matches(r'{}')", r"\w{50}".repeat(60)),
        format!(
            "request.path.matches('{}a{}')",
            "(".repeat(200),
            ")*".repeat(200)
        ),
        (0..1000)
            .map(|i| format!("request.path == '/e/{i}'"))
            .collect::<Vec<_>>()
            .join(" || "),
        (0..1000)
            .map(|i| format!("request.path.startsWith('/e/{i}')"))
            .collect::<Vec<_>>()
            .join(" || "),
        (0..1000)
            .map(|i| format!("request.path != '/e/{i}'"))
            .collect::<Vec<_>>()
            .join(" && "),
        (0..800)
            .map(|i| format!("request.path.contains('/e/{i}')"))
            .collect::<Vec<_>>()
            .join(" || "),
        format!(
            "request.path in [{}]",
            (0..4000)
                .map(|i| format!("'{i}'"))
                .collect::<Vec<_>>()
                .join(",")
        ),
        format!(
            "request.path in [{}request.method]",
            "request.method,".repeat(4000)
        ),
        "let x = request.path + request.path; ".to_string() + &"x + ".repeat(60) + "x",
        (0..60)
            .map(|i| format!("let v{i} = request.retry; "))
            .collect::<String>()
            + "v1",
        "request.tags.exists(a, ".repeat(9) + "true" + &")".repeat(9),
    ];
    texts.extend([doubled, tests, ins, lists]);
    for text in texts {
        let begun = Instant::now();
        let _ = Expression::new(&text, &schema());
        let took = begun.elapsed();
        assert!(
            took < max_check_time(),
            "{took:?} for {}",
            &text[..text.len().min(80)]
        );
    }
}

#[test]
fn cost_error_points_at_the_costliest_part() {
    let loops =
        "request.method == 'GET' && request.tags.exists(a, request.tags.exists(b, request.tags.exists(c, \
                 (a + b + c).matches('(x|y)+z'))))";
    let facts = driftgap_expr::Facts::default();
    let read = |text: &str| Expression::within(text, &schema(), &facts, &Type::Bool, 2000);
    let error = read(loops).unwrap_err();
    let rendered = error.render("rules.toml", driftgap_expr::Origin::default());
    assert!(rendered.contains("the limit is 2000"), "{rendered}");
    assert_eq!(
        &loops[error.span.clone()],
        "(a + b + c).matches('(x|y)+z')",
        "{rendered}"
    );
    assert!(read("request.method == 'GET' && request.tags.exists(a, a == 'news')").is_ok());
    let cost = |text| Expression::new(text, &schema()).unwrap().cost();
    assert!(cost("request.path == '/a' || request.path == '/b' || request.path == '/c'") < 20);
}

#[test]
fn many_alternatives_merge_into_one_look_up() {
    let any = |test: &str| {
        let all: Vec<String> = (0..1000)
            .map(|i| test.replace('#', &i.to_string()))
            .collect();
        Expression::new(&all.join(" || "), &schema()).unwrap()
    };
    assert!(any("request.path == '/e/#'").cost() < 20);
    assert!(any("request.path.startsWith('/e/#')").cost() < 100);
    assert!(any("request.path.contains('/e/#')").cost() > 10_000);
}

#[test]
fn oversized_input_stops_at_the_maximum_cost() {
    let expression = Expression::new("request.tags.all(t, t != 'x')", &schema()).unwrap();
    let request = Request {
        tags: vec!["a".into(); 100_000],
        ..Request::default()
    };
    let mut scratch = Scratch::default();
    assert_eq!(expression.test(&request, &mut scratch), Err(Fault::Cost));
    assert!(scratch.spent() <= expression.cost() + 10);
}

#[test]
fn ways_list_each_value_with_its_facts() {
    use driftgap_expr::Outcome;
    let ways = |text: &str| -> Vec<(String, String)> {
        let expression = Expression::new(text, &schema()).unwrap();
        let schema = schema();
        let method = Path::Field(schema.id("request.method").unwrap());
        let ways = expression.ways().unwrap().iter().map(|way| {
            let outcome = match &way.outcome {
                Outcome::Text(text) => text.clone(),
                other => format!("{other:?}"),
            };
            let known = way
                .facts
                .texts(&method)
                .map_or("any".into(), |all| all.collect::<Vec<_>>().join("|"));
            (outcome, known)
        });
        ways.collect()
    };
    let pair = |a: &str, b: &str| (a.to_string(), b.to_string());
    assert_eq!(
        ways("request.method == 'GET' ? 'a' : 'b'"),
        [pair("a", "GET"), pair("b", "any")]
    );
    let table = "{'GET': 'a', 'POST': 'b'}[request.method].orValue('c')";
    assert_eq!(
        ways(table),
        [pair("a", "GET"), pair("b", "POST"), pair("c", "any")]
    );
    let named = "let m = request.method; let get = m in ['GET', 'HEAD']; get ? 'a' : 'b'";
    assert_eq!(ways(named), [pair("a", "GET|HEAD"), pair("b", "any")]);
    // A branch that is never taken gives no alternative.
    assert_eq!(
        ways("request.method == 'GET' ? request.method == 'PUT' ? 'x' : 'a' : 'b'").len(),
        2
    );
}

#[test]
fn explanation_lists_reached_and_unreached_parts() {
    let text = "request.method == 'POST' && request.path.startsWith('/e')";
    let steps = Expression::new(text, &schema())
        .unwrap()
        .explain(&Request::default());
    let parts: Vec<(usize, &str, &str)> = steps
        .iter()
        .map(|s| (s.depth, &s.text[..], &s.value[..]))
        .collect();
    assert_eq!(parts[0], (0, text, "false"));
    assert!(
        parts.contains(&(1, "request.method == 'POST'", "false")),
        "{parts:?}"
    );
    assert!(
        parts.contains(&(2, "request.method", "\"GET\"")),
        "{parts:?}"
    );
    assert!(
        parts.contains(&(1, "request.path.startsWith('/e')", "not reached")),
        "{parts:?}"
    );
}
