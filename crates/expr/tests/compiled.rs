//! Compiled expressions evaluate like the expressions that they were compiled from, and equal ones
//! share memory.

mod common;
mod generators;

use common::{schema, Request};
use driftgap_expr::{Compiled, Expression, Fault, Interner, Scratch, Value};
use generators::{request, typed};
use proptest::prelude::*;

fn compiled(text: &str, interner: &mut Interner) -> Compiled {
    Expression::new(text, &schema())
        .unwrap_or_else(|error| panic!("{text}: {error}"))
        .compile(interner)
}

/// The result of an evaluation as text, which outlives the scratch.
fn result_text(result: Result<Option<Value<'_>>, Fault>) -> String {
    format!("{result:?}")
}

proptest! {
    #![proptest_config(generators::cases(400))]

    #[test]
    fn compiled_form_gives_same_results_and_costs(
        texts in prop::collection::vec(typed(), 1..6),
        requests in prop::collection::vec(request(), 3),
    ) {
        let mut interner = Interner::new();
        let read = |(text, _): &(String, _)| Expression::new(text, &schema()).ok();
        let expressions: Vec<Expression> = texts.iter().filter_map(read).collect();
        let all: Vec<Compiled> = expressions.iter().map(|one| one.compile(&mut interner)).collect();
        // Shared data must stay usable after the interner is dropped.
        interner.sweep();
        drop(interner);
        let (mut scratch, mut other) = (Scratch::default(), Scratch::default());
        for (expression, compiled) in expressions.iter().zip(&all) {
            prop_assert_eq!(expression.cost(), compiled.cost(), "{}", expression.text());
            for request in &requests {
                let want = result_text(expression.eval(request, &mut scratch));
                let got = result_text(compiled.eval(request, &mut other));
                prop_assert_eq!(want, got, "{} on {:?}", expression.text(), request);
                prop_assert_eq!(scratch.spent(), other.spent(), "{} on {:?}", expression.text(), request);
                prop_assert!(other.spent() <= compiled.cost(), "{} on {:?}", expression.text(), request);
                let want = expression.test(request, &mut scratch);
                prop_assert_eq!(want, compiled.test(request, &mut other), "{}", expression.text());
            }
        }
    }
}

#[test]
fn expressions_that_differ_in_constants_share_their_shape() {
    let mut interner = Interner::new();
    let test = |path: &str| format!("request.path.startsWith('{path}') && request.method == 'GET'");
    let first = compiled(&test("/radio-1/"), &mut interner);
    let second = compiled(&test("/radio-2/"), &mut interner);
    assert!(first.same_shape(&second) && !first.same(&second));
    let mut scratch = Scratch::default();
    let request = Request {
        path: "/radio-2/live".into(),
        ..Request::default()
    };
    assert_eq!(first.test(&request, &mut scratch), Ok(false));
    assert_eq!(second.test(&request, &mut scratch), Ok(true));
    // Similar programs with another operator, field or number of parts have another shape.
    for other in [
        "request.path == '/radio-1/' && request.method == 'GET'",
        "request.method.startsWith('/radio-1/') && request.method == 'GET'",
        "request.path.startsWith('/radio-1/') || request.method == 'GET'",
        "request.path.startsWith('/radio-1/')",
    ] {
        assert!(
            !first.same_shape(&compiled(other, &mut interner)),
            "{other}"
        );
    }
}

#[test]
fn longer_constant_has_its_own_cost() {
    let mut interner = Interner::new();
    let test = |path: String| format!("request.path == '{path}'");
    let short = compiled(&test("a".into()), &mut interner);
    let long = compiled(&test("a".repeat(60)), &mut interner);
    assert!(short.cost() < long.cost());
    let request = Request {
        path: "a".repeat(60),
        ..Request::default()
    };
    let mut scratch = Scratch::default();
    assert_eq!(long.test(&request, &mut scratch), Ok(true));
    assert!(scratch.spent() <= long.cost());
    assert_eq!(short.test(&request, &mut scratch), Ok(false));
    assert!(scratch.spent() <= short.cost());
}

#[test]
fn equal_expressions_share_one_program() {
    let mut interner = Interner::new();
    for text in [
        "request.method == 'GET'",
        "request.method in ['GET', 'HEAD']",
        "request.size in [1, 2, 3]",
        "request.path.matches('^/a[0-9]+')",
        "request.path.startsWith('/a') || request.path.startsWith('/b')",
        "request.ip.inCidr(['10.0.0.0/8'])",
        "{'GET': 'a'}[request.method].orValue('b')",
        "[1, 2].exists(n, n == request.size)",
        "'always'",
    ] {
        let first = compiled(text, &mut interner);
        assert!(first.same(&compiled(text, &mut interner)), "{text}");
        assert!(!first.same(&compiled(text, &mut Interner::new())), "{text}");
    }
}

#[test]
fn different_constants_are_not_shared() {
    let mut interner = Interner::new();
    for (a, b) in [
        ("string(0.0 * load)", "string(-0.0 * load)"),
        (
            "request.method in ['GET', 'HEAD']",
            "request.method in ['GET', 'POST']",
        ),
        ("request.size in [1, 2]", "request.size in [1, 3]"),
        (
            "{'GET': 'a'}[request.method].orValue('c')",
            "{'GET': 'b'}[request.method].orValue('c')",
        ),
        ("request.path.matches('a')", "request.path.matches('b')"),
        (
            "request.ip.inCidr(['10.0.0.0/8'])",
            "request.ip.inCidr(['11.0.0.0/8'])",
        ),
        (
            "request.path.startsWith('/a') || request.path.startsWith('/b')",
            "request.path.startsWith('/a') || request.path.startsWith('/c')",
        ),
    ] {
        assert!(
            !compiled(a, &mut interner).same(&compiled(b, &mut interner)),
            "{a} and {b}"
        );
    }
}

#[test]
fn sets_and_maps_are_shared_in_any_order() {
    let mut interner = Interner::new();
    for (a, b) in [
        (
            "request.method in ['GET', 'HEAD', 'PUT']",
            "request.method in ['PUT', 'GET', 'HEAD']",
        ),
        ("request.size in [1, 2, 3]", "request.size in [3, 1, 2]"),
        (
            "{'GET': 'a', 'PUT': 'b'}[request.method].orValue('c')",
            "{'PUT': 'b', 'GET': 'a'}[request.method].orValue('c')",
        ),
    ] {
        assert!(
            compiled(a, &mut interner).same(&compiled(b, &mut interner)),
            "{a} and {b}"
        );
    }
}

#[test]
fn texts_are_shared() {
    let mut interner = Interner::new();
    let (first, second) = (interner.text("news"), interner.text("news"));
    assert!(std::sync::Arc::ptr_eq(&first, &second));
    assert!(!std::sync::Arc::ptr_eq(&first, &interner.text("sport")));
}

#[test]
fn sweep_drops_only_unreferenced_data() {
    let mut interner = Interner::new();
    let held = compiled("request.path == '/held'", &mut interner);
    let dropped = std::sync::Arc::downgrade(&interner.text("/dropped"));
    drop(compiled("request.path == '/dropped'", &mut interner));
    assert!(dropped.upgrade().is_some());
    interner.sweep();
    assert!(dropped.upgrade().is_none());
    assert!(held.same(&compiled("request.path == '/held'", &mut interner)));
}

#[test]
fn compiled_is_sync_and_interner_is_send() {
    fn assert_sync<T: Send + Sync>() {}
    fn assert_send<T: Send>() {}
    assert_sync::<Compiled>();
    assert_send::<Interner>();
    assert!(size_of::<Compiled>() <= 24);
}
