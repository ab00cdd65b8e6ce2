//! What rules decide about requests: order, mapping, limits, the index, unreadable requests.

mod common;

use common::rules::{catalog, forwarded_route, headers, mapping, read_again, request, router};
use driftgap_routes::{Explainer, Mapped, Request, Router, Verdict};

#[test]
fn plain_http_request_is_mapped_to_class() {
    let text = mapping(
        "request.method == 'GET' && request.path.matches('^/episodes/[0-9]+/audio$') && request.path.startsWith('/episodes/')",
        "\"fetch-episode\"",
        "units = 'request.units.orValue(2.0)'\nid = '\"e\" + request.path.split(\"/\")[2].orValue(\"\")'\n\
         deadline = 'duration(\"800ms\")'\nterms = { episode = 'request.path.split(\"/\")[2].orValue(\"0\")' }",
    );
    let (mut router, none) = (router(&text), headers(&[]));
    let route = forwarded_route(router.route(&request("GET", "/episodes/123/audio", &none), 0.0));
    let want = Mapped {
        class: 0,
        plan: Some("city".into()),
        partner: Some("0000000000000007".into()),
        units: Some(2.0),
        id: Some("e123".into()),
        deadline_ms: Some(800),
        spread: None,
        first: None,
        terms: vec![("episode".into(), "123".into())],
    };
    assert_eq!(route.command, Some(want));
    assert_eq!(
        forwarded_route(router.route(&request("GET", "/episodes/x/audio", &none), 0.0)).command,
        None
    );
    assert_eq!(
        forwarded_route(router.route(&request("POST", "/episodes/1/audio", &none), 0.0)).command,
        None
    );
    // Units that the client names are kept.
    let named = Request {
        units: Some(3.0),
        ..request("GET", "/episodes/123/audio", &none)
    };
    assert_eq!(
        forwarded_route(router.route(&named, 0.0))
            .command
            .unwrap()
            .units,
        Some(3.0)
    );
}

/// Clients send more requests than their limit allows. Each key has its own bucket, the Retry-After
/// is exact, and a reload that does not change the limit must not reset it.
#[test]
fn limits_apply_per_key_and_survive_reload() {
    let limit = "limit = { key = 'request.partner.orValue(\"\")', rate = 2, burst = 3 }";
    let text = format!("[[rule]]\nname = 'l'\nwhen = 'request.path == \"/a\"'\n{limit}\n");
    let mut first = router(&text);
    let none = headers(&[]);
    let pass = |router: &mut Router, partner: &str, now: f64| {
        let request = Request {
            partner: Some(partner),
            ..request("GET", "/a", &none)
        };
        match router.route(&request, now) {
            Verdict::Forward(_) => 0.0,
            Verdict::Reject { retry_after_ms, by } => {
                assert_eq!(by, "l");
                retry_after_ms
            }
            bad => panic!("{bad:?}"),
        }
    };
    assert_eq!(
        (0..5)
            .map(|_| pass(&mut first, "a", 0.0))
            .collect::<Vec<_>>(),
        [0.0, 0.0, 0.0, 500.0, 500.0]
    );
    assert_eq!(pass(&mut first, "b", 0.0), 0.0);
    // Another rule is added: the limit keeps its state. The rate changes: the limit is reset.
    let more = format!(
        "[[rule]]\nname = 'x'\nwhen = 'request.path == \"/x\"'\nnack = 'duration(\"1s\")'\n{text}"
    );
    drop(
        first
            .replace(read_again(&more, &first), 400.0, 3000.0)
            .unwrap(),
    );
    assert_eq!(pass(&mut first, "a", 400.0), 100.0);
    assert_eq!(pass(&mut first, "a", 500.0), 0.0);
    let faster = read_again(&text.replace("rate = 2", "rate = 4"), &first);
    drop(first.replace(faster, 500.0, 3000.0).unwrap());
    assert_eq!(pass(&mut first, "a", 500.0), 0.0);
}

/// A request repeatedly passes one limit and is rejected by a later one. If each attempt consumed
/// the first limit, the client would find it exhausted without having been served.
#[test]
fn rejection_by_later_limit_does_not_consume_earlier_one() {
    let text = "[[rule]]\nname = 'a'\ngo_on = true\nlimit = { key = '\"all\"', rate = 1, burst = 2 }\n\
                [[rule]]\nname = 'b'\nlimit = { key = 'request.partner.orValue(\"\")', at_once = 1, after = \"70ms\" }\n";
    let (mut router, none) = (router(text), headers(&[]));
    let served = forwarded_route(router.route(&request("GET", "/", &none), 0.0));
    assert_eq!(served.permits.len(), 1);
    for _ in 0..10 {
        assert!(matches!(
            router.route(&request("GET", "/", &none), 0.0),
            Verdict::Reject {
                retry_after_ms: 70.0,
                ..
            }
        ));
    }
    drop(served);
    let served = forwarded_route(router.route(&request("GET", "/", &none), 0.0));
    drop(served);
    assert!(matches!(
        router.route(&request("GET", "/", &none), 0.0),
        Verdict::Reject {
            retry_after_ms: 1000.0,
            ..
        }
    ));
}

/// A client uses a new key for each request. The memory of the limit must be bounded.
#[test]
fn limit_memory_is_bounded_for_many_keys() {
    let text = "[[rule]]\nname = 'l'\nlimit = { key = 'request.path', rate = 1, burst = 1 }\n";
    let (mut router, none) = (router(text), headers(&[]));
    let _ = router.route(&request("GET", "/", &none), 0.0);
    let before = router.limit_bytes();
    for i in 0..100_000 {
        let _ = router.route(&request("GET", &format!("/{i}"), &none), f64::from(i) * 0.1);
    }
    assert_eq!(router.limit_bytes(), before);
    assert!(before < 300_000, "{before}");
}

#[test]
fn rules_apply_in_order_and_first_value_wins() {
    let text = "[[rule]]\nname = 'a'\ngo_on = true\nnotes = { x = '\"1\"' }\n\
                [[rule]]\nname = 'b'\nwhen = 'request.method == \"GET\"'\ngo_on = true\nnotes = { x = '\"2\"', y = '\"é\" + request.path' }\n\
                [[rule]]\nname = 'c'\nwhen = 'request.path == \"/stop\"'\nnotes = { z = '\"3\"' }\n\
                [[rule]]\nname = 'd'\nnack = 'duration(\"250ms\")'\n";
    let (mut router, none) = (router(text), headers(&[]));
    let route = forwarded_route(router.route(&request("GET", "/stop", &none), 0.0));
    let notes: Vec<String> = route
        .notes
        .iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    assert_eq!(notes, ["x=1", "y=?/stop", "z=3"]);
    assert!(matches!(
        router.route(&request("GET", "/", &none), 0.0),
        Verdict::Reject {
            retry_after_ms: 250.0,
            ..
        }
    ));
    let explainer = Explainer::read(text, "rules.toml", None, &catalog())
        .ok()
        .unwrap();
    let explained = explainer.explain(&request("GET", "/stop", &none));
    let outcomes: Vec<(&str, bool, bool)> = explained
        .iter()
        .map(|e| (&e.rule[..], e.matched, e.skipped))
        .collect();
    assert_eq!(
        outcomes,
        [
            ("a", true, false),
            ("b", true, false),
            ("c", true, false),
            ("d", true, true)
        ]
    );
    let put = explainer.explain(&request("PUT", "/", &none));
    assert!(put[2].ruled_out && !put[2].matched && put[2].expressions[0].1[0].value == "false");
}

/// A client sends a header that is not UTF-8 or too long, or a value by which a rule divides by
/// zero. If the rule treated the header as absent, a client could bypass a rule that rejects it, so
/// the request must be invalid.
#[test]
fn unreadable_header_makes_request_invalid() {
    let text = "[[rule]]\nname = 'a'\nwhen = '!(\"x-deny\" in request.headers)'\ngo_on = true\nnotes = { ok = '\"1\"' }\n\
                [[rule]]\nname = 'div'\nwhen = 'request.length.orValue(1) / request.headers.size() > 5'\nnack = 'duration(\"1s\")'\n";
    let mut router = router(text);
    let long = headers(&[("x-deny", &"a".repeat(600)), ("y", "1")]);
    assert!(
        matches!(router.route(&request("GET", "/", &long), 0.0), Verdict::Invalid { rule, .. } if rule == "a")
    );
    let mut binary = headers(&[("y", "1")]);
    binary.0.insert("x-deny".into(), vec![0xff, 0xfe]);
    assert!(
        matches!(router.route(&request("GET", "/", &binary), 0.0), Verdict::Invalid { rule, .. } if rule == "a")
    );
    // The rule divides by zero.
    assert!(
        matches!(router.route(&request("GET", "/", &headers(&[])), 0.0), Verdict::Invalid { rule, .. } if rule == "div")
    );
    let path = "/".repeat(2000);
    assert!(matches!(
        router.route(&request("GET", &path, &headers(&[])), 0.0),
        Verdict::Invalid { .. }
    ));
    assert_eq!(router.failed_evaluations(), 3);
}

#[test]
fn path_rules_are_selected_by_index() {
    let text: String = (0..1000)
        .map(|i| format!("[[rule]]\nname = 'r{i}'\nwhen = 'request.method == \"GET\" && request.path.startsWith(\"/p{i}/\")'\nnotes = {{ n = '\"{i}\"' }}\n"))
        .collect();
    let mut router = router(&text);
    assert_eq!(
        (router.rules().len(), router.rules().unindexed()),
        (1000, 0)
    );
    let none = headers(&[]);
    for i in [0, 7, 77, 777, 999] {
        let route = forwarded_route(router.route(&request("GET", &format!("/p{i}/x"), &none), 0.0));
        assert_eq!(route.notes, [("n".to_string(), i.to_string())]);
    }
    assert!(
        forwarded_route(router.route(&request("GET", "/p1000/x", &none), 0.0))
            .notes
            .is_empty()
    );
}
