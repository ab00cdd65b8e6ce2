//! Files of rules and the ways of requests through them.

use driftgap_routes::{
    Catalog, Effect, Endpoint, Explainer, Headers, Mapped, ReadOptions, Request, Router, Rules,
    Verdict, ALL,
};
use std::collections::BTreeMap;
use std::net::IpAddr;

struct Map(BTreeMap<String, Vec<u8>>);

impl Headers for Map {
    fn get(&self, name: &str) -> Option<&[u8]> {
        self.0.get(name).map(Vec::as_slice)
    }

    fn count(&self) -> usize {
        self.0.len()
    }
}

fn catalog() -> Catalog {
    let classes = [
        ("fetch-episode", Effect::Pure),
        ("rate-episode", Effect::Token),
        ("book-rebroadcast", Effect::SideEffect),
    ];
    Catalog {
        classes: classes
            .map(|(name, effect)| (name.to_string(), effect))
            .into(),
        plans: vec!["district".into(), "city".into()],
        max_units: 4.0,
    }
}

fn read(text: &str) -> Result<Rules, Vec<String>> {
    Rules::read(text, "rules.toml", &catalog())
        .map_err(|faults| faults.into_iter().map(|f| f.line).collect())
}

/// Reads a file that replaces the rules of a router.
fn read_again(text: &str, router: &Router) -> Rules {
    let options = ReadOptions {
        previous: Some(router.rules()),
        ..ReadOptions::default()
    };
    Rules::read_part(text, "rules.toml", None, &catalog(), &options).unwrap()
}

fn router(text: &str) -> Router {
    Router::new(read(text).unwrap())
}

fn headers(pairs: &[(&str, &str)]) -> Map {
    Map(pairs
        .iter()
        .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
        .collect())
}

fn request<'a>(method: &'a str, path: &'a str, headers: &'a Map) -> Request<'a> {
    Request {
        protocol: "http2",
        method,
        path,
        query: None,
        host: None,
        headers,
        class: None,
        plan: None,
        partner: Some("0000000000000007"),
        id: None,
        units: None,
        deadline_ms: None,
        retry: false,
        length: None,
        client: IpAddr::from([127, 0, 0, 1]),
    }
}

/// A rule that makes a command of a request, with these lines changed or added.
fn mapping(when: &str, class: &str, more: &str) -> String {
    format!(
        "[[rule]]\nname = 'r'\nwhen = '''{when}'''\nclass = '''{class}'''\nplan = '\"city\"'\n\
         partner = '\"0000000000000007\"'\n{more}\n"
    )
}

const UNITS: &str = "units = 'request.units.orValue(1.0)'";

fn go(verdict: Verdict) -> driftgap_routes::Route {
    match verdict {
        Verdict::Go(route) => *route,
        other => panic!("{other:?}"),
    }
}

#[test]
fn a_request_without_the_platforms_headers_becomes_a_command() {
    let text = mapping(
        "request.method == 'GET' && request.path.matches('^/episodes/[0-9]+/audio$') && request.path.startsWith('/episodes/')",
        "\"fetch-episode\"",
        "units = 'request.units.orValue(2.0)'\nid = '\"e\" + request.path.split(\"/\")[2].orValue(\"\")'\n\
         deadline = 'duration(\"800ms\")'\nterms = { episode = 'request.path.split(\"/\")[2].orValue(\"0\")' }",
    );
    let (mut router, none) = (router(&text), headers(&[]));
    let route = go(router.route(&request("GET", "/episodes/123/audio", &none), 0.0));
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
        go(router.route(&request("GET", "/episodes/x/audio", &none), 0.0)).command,
        None
    );
    assert_eq!(
        go(router.route(&request("POST", "/episodes/1/audio", &none), 0.0)).command,
        None
    );
    // Units that the client names itself stay.
    let named = Request {
        units: Some(3.0),
        ..request("GET", "/episodes/123/audio", &none)
    };
    assert_eq!(
        go(router.route(&named, 0.0)).command.unwrap().units,
        Some(3.0)
    );
}

#[test]
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn no_branch_may_make_a_booking_safe_to_repeat() {
    let wrong = |when: &str, class: &str, head: &str| {
        let faults = read(&format!("{head}\n{}", mapping(when, class, UNITS))).unwrap_err();
        assert!(
            faults.iter().any(|f| f.contains("safe to repeat")),
            "{when} {class}: {faults:?}"
        );
    };
    let right = |when: &str, class: &str, head: &str| {
        read(&format!("{head}\n{}", mapping(when, class, UNITS)))
            .unwrap_or_else(|f| panic!("{when} {class}: {f:?}"));
    };
    let safe = "\"fetch-episode\"";
    let bookings = "[effects.paths]\n'/bookings/' = 'side_effect'\n'/ratings/' = 'token'";
    // The method may be any.
    wrong("request.path.startsWith('/episodes/')", safe, "");
    wrong(
        "request.path.startsWith('/episodes/') && request.method != 'POST'",
        safe,
        "",
    );
    wrong(
        "request.path.startsWith('/episodes/') && request.method in ['GET', 'DELETE']",
        safe,
        "",
    );
    wrong(
        "request.path.startsWith('/episodes/') && (request.method == 'GET' || request.retry)",
        safe,
        "",
    );
    right(
        "request.path.startsWith('/episodes/') && request.method == 'GET'",
        safe,
        "",
    );
    right(
        "request.path.startsWith('/episodes/') && request.method in ['GET', 'HEAD']",
        safe,
        "",
    );
    // On one branch only.
    let branch = "request.retry ? \"book-rebroadcast\" : \"fetch-episode\"";
    wrong("request.path.startsWith('/x/')", branch, "");
    let by_method = "request.method == 'GET' ? \"fetch-episode\" : \"book-rebroadcast\"";
    right("request.path.startsWith('/x/')", by_method, "");
    wrong(
        "request.path.startsWith('/x/')",
        "request.method != 'GET' ? \"fetch-episode\" : \"book-rebroadcast\"",
        "",
    );
    let table = "{'GET': 'fetch-episode', 'PUT': 'rate-episode'}[request.method].orValue('book-rebroadcast')";
    wrong("request.path.startsWith('/x/')", table, "");
    let put = format!(
        "[effects.methods]\nPUT = 'token'\n{}",
        mapping(
            "request.path.startsWith('/x/')",
            table,
            &format!("{UNITS}\nid = '\"x\"'")
        )
    );
    assert!(read(&put).is_ok(), "{:?}", read(&put));
    wrong(
        "request.path.startsWith('/x/')",
        "{'GET': 'fetch-episode'}[request.method].orValue('fetch-episode')",
        "",
    );
    let named =
        "let m = request.method; let get = m == \"GET\"; get ? \"fetch-episode\" : \"book-rebroadcast\"";
    right("request.path.startsWith('/x/')", named, "");
    // A path that is declared to have an effect has it whatever the method.
    let get = |path: &str| format!("request.method == 'GET' && {path}");
    wrong(
        &get("request.path.startsWith('/bookings/')"),
        safe,
        bookings,
    );
    wrong(&get("request.path.startsWith('/b')"), safe, bookings);
    wrong(
        &get("request.path.startsWith('/bookings/new/')"),
        safe,
        bookings,
    );
    wrong(&get("request.path == '/bookings/7'"), safe, bookings);
    wrong(
        &get("request.path.endsWith('/audio') && !request.path.startsWith('/commands/')"),
        safe,
        bookings,
    );
    wrong(
        &get("(request.path.startsWith('/e/') || request.path.startsWith('/bookings/'))"),
        safe,
        bookings,
    );
    right(&get("request.path.startsWith('/e/')"), safe, bookings);
    right(&get("request.path == '/bookings'"), safe, bookings);
    let others = get("!request.path.startsWith('/bookings/') && !request.path.startsWith('/ratings/') && !request.path.startsWith('/commands/')");
    right(&others, safe, bookings);
    // A class whose repeats are discarded is not enough for what must never run twice.
    let id = format!("{UNITS}\nid = '\"x\"'");
    let rated = |path: &str| {
        mapping(
            &get(&format!("request.path.startsWith('{path}')")),
            "\"rate-episode\"",
            &id,
        )
    };
    assert!(read(&format!("{bookings}\n{}", rated("/ratings/"))).is_ok());
    assert!(read(&format!("{bookings}\n{}", rated("/bookings/"))).is_err());
    // A class that is not written out has no effect that is known.
    let faults = read(&mapping(
        &get("request.path.startsWith('/e/')"),
        "request.headers['x'].orValue('fetch-episode')",
        UNITS,
    ));
    assert!(faults
        .unwrap_err()
        .iter()
        .any(|f| f.contains("not known before use")));
    // The platform's own commands keep the class that their client names.
    let faults = read(&mapping("request.method == 'GET'", safe, UNITS)).unwrap_err();
    assert!(
        faults.iter().any(|f| f.contains("platform's own")),
        "{faults:?}"
    );
    let faults = read(&mapping(
        &get("request.path.startsWith('/comm')"),
        safe,
        UNITS,
    ))
    .unwrap_err();
    assert!(
        faults.iter().any(|f| f.contains("platform's own")),
        "{faults:?}"
    );
}

#[test]
fn no_rule_drops_or_changes_the_units_that_a_client_names() {
    let get = "request.method == 'GET' && request.path.startsWith('/e/')";
    let class = "\"fetch-episode\"";
    let faults = |when: &str, units: &str| match read(&mapping(when, class, units)) {
        Ok(_) => String::new(),
        Err(faults) => faults.join("\n"),
    };
    assert!(faults(get, "").contains("a command needs `units`"));
    for changed in [
        "1.0",
        "request.units.orValue(1.0) * 2.0",
        "request.retry ? request.units.orValue(1.0) : 1.0",
    ] {
        assert!(
            faults(get, &format!("units = '{changed}'")).contains("change the units"),
            "{changed}"
        );
    }
    assert!(faults(get, "units = 'request.units.orValue(0.0)'").contains("0 units"));
    assert!(faults(get, "units = 'request.units.orValue(5.0)'").contains("5 units"));
    assert_eq!(faults(get, UNITS), "");
    assert_eq!(
        faults(get, "units = 'has(request.units) ? request.units : 2.0'"),
        ""
    );
    assert_eq!(
        faults(&format!("{get} && !has(request.units)"), "units = '2.0'"),
        ""
    );
    assert_eq!(faults(&format!("{get} && has(request.units)"), ""), "");
}

#[test]
fn every_fault_of_a_file_is_named_with_its_line() {
    let text = r#"
[cost]
expresion = 5

[[pool]]
name = "dar"
when = 'instance.zon == "dar"'

[[pool]]
name = "dar"
when = 'true'
fallback = "tanga"

[[rule]]
name = "one"
when = 'request.path.startsWth("/a")'
pool = '"dodoma"'

[[rule]]
name = "one"
when = '''
  request.method == "GET" &&
  request.size > 1
'''
limit = { key = 'request.partner', rate = -1 }
notes = { "Bad Name" = '"x"' }

[[rule]]
name = "two"
nack = '"soon"'
go_on = 1

[[rule]]
when = 'false'
"#;
    let faults = read(text).unwrap_err();
    let want = [
        "rules.toml:3:1: `expresion` is not known here; did you mean `expression`?",
        "rules.toml:10:8: no further pool can be named \"dar\"",
        "rules.toml:7:9: there is no `instance.zon`; did you mean `instance.zone`?",
        "rules.toml:12:12: there is no pool \"tanga\"",
        "rules.toml:16:9: there is no `.startsWth()` for a string; did you mean `startsWith`?",
        "rules.toml:17:9: there is no pool \"dodoma\"",
        "rules.toml:20:8: there is a rule \"one\" already",
        "rules.toml:23:3: there is no `request.size`",
        "rules.toml:25:18: this is of type optional(string); string was expected",
        "rules.toml:25:43: the number is out of range",
        "rules.toml:26:11: the name cannot stand in `notes`",
        "rules.toml:30:9: this is of type string; duration was expected",
        "rules.toml:31:9: `go_on` is true or false",
        "rules.toml:33:1: `name` is missing",
        "rules.toml:34:9: this is never true; the rule has no effect",
    ];
    for line in want {
        assert!(
            faults.iter().any(|f| f.starts_with(line)),
            "{line}\nnot among\n{}",
            faults.join("\n")
        );
    }
    assert_eq!(faults.len(), want.len(), "{}", faults.join("\n"));
    let broken = read("[[rule]\nname = 1\n").unwrap_err();
    assert!(
        !broken.is_empty() && broken[0].starts_with("rules.toml:1:"),
        "{broken:?}"
    );
}

#[test]
fn hostile_files_are_refused() {
    let deep = format!(
        "[[rule]]\nname = 'a'\nwhen = '{}true{}'\n",
        "(".repeat(8000),
        ")".repeat(8000)
    );
    let many = "[[rule]]\nname = 'a'\n".repeat(10_002);
    let tables = format!("a = {}1{}", "{b=".repeat(5000), "}".repeat(5000));
    let arrays = format!("rule = {}1{}", "[".repeat(5000), "]".repeat(5000));
    let dear =
        "[[rule]]\nname = 'a'\nwhen = 'request.query.orValue(\"\").matches(\"(a|b|c|d|e|f|g|h)+z\")'\n";
    let sum: String = (0..400)
        .map(|i| format!("[[rule]]\nname = 'r{i}'\nwhen = 'request.path.contains(\"{i}\") && request.path.contains(\"x\")'\ngo_on = true\nnack='duration(\"1s\")'\n"))
        .collect();
    for (text, want) in [
        (deep, "nested deeper"),
        (many, "already"),
        (tables, ""),
        (arrays, ""),
        (
            format!("[cost]\nexpression = 1000\n\n{dear}"),
            "this part of it costs",
        ),
        (sum, "all rules together may cost"),
        ("x".repeat(5 << 20), "are the most"),
        ("\u{0}\u{1}".into(), ""),
    ] {
        let faults = read(&text).unwrap_err();
        assert!(
            faults.iter().any(|f| f.contains(want)) && faults.len() <= 100,
            "{want}: {:?}",
            faults.first()
        );
        assert!(faults.iter().all(|f| f.len() < 600), "{want}");
    }
}

const POOLS: &str = r#"
[[pool]]
name = "dar"
when = 'instance.zone == "dar" && instance.labels["disk"].orValue("") != "slow"'
fallback = "coast"
[[pool]]
name = "coast"
when = 'instance.zone in ["dar", "tanga"]'
[[pool]]
name = "big"
when = 'instance.weight >= 2.0 || instance.ip.inCidr("10.9.0.0/16")'
fallback = "any"
after = "3s"
[[rule]]
name = "to-dar"
when = 'request.headers["x-station"].orValue("") == "dar"'
pool = '"dar"'
[[rule]]
name = "to-big"
when = 'request.path == "/big"'
pool = '"big"'
"#;

#[test]
fn pools_take_endpoints_by_their_attributes_and_fall_back_as_stated() {
    let mut router = router(POOLS);
    let slow = [("disk".to_string(), "slow".to_string())];
    let mut bits = |zone: &str, weight: f64, labels: &[(String, String)]| {
        let ip = IpAddr::from([10, 0, 0, 1]);
        router.pools_of(&Endpoint {
            name: "n",
            zone,
            cell: 1,
            weight,
            protocol: "resp",
            ip,
            labels,
        })
    };
    assert_eq!(bits("dar", 1.0, &[]), ALL | 0b011);
    assert_eq!(bits("dar", 1.0, &slow), ALL | 0b010);
    assert_eq!(bits("tanga", 2.0, &[]), ALL | 0b110);
    assert_eq!(bits("mbeya", 1.0, &[]), ALL);
    let station = headers(&[("x-station", "dar")]);
    let none = headers(&[]);
    let mut pools = |ready: &[u64], headers: &Map, path: &str| {
        router.ready(ready.iter().copied());
        match router.route(&request("GET", path, headers), 0.0) {
            Verdict::Go(route) => Ok(route.pools),
            Verdict::Reject { retry_after_ms, by } => Err((retry_after_ms, by)),
            bad => panic!("{bad:?}"),
        }
    };
    assert_eq!(pools(&[ALL | 0b011, ALL], &station, "/"), Ok(0b001));
    assert_eq!(
        pools(&[ALL | 0b010, ALL], &station, "/"),
        Ok(0b010),
        "falls back on the coast"
    );
    assert_eq!(
        pools(&[ALL], &station, "/"),
        Err((1000.0, "coast".into())),
        "no silent spill"
    );
    assert_eq!(
        pools(&[ALL], &none, "/big"),
        Ok(ALL),
        "any by the file's word"
    );
    assert_eq!(pools(&[], &none, "/"), Ok(ALL), "no rule, no pool");
    let ring =
        "[[pool]]\nname='a'\nwhen='true'\nfallback='b'\n[[pool]]\nname='b'\nwhen='true'\nfallback='a'\n";
    assert!(read(ring)
        .unwrap_err()
        .iter()
        .all(|f| f.contains("falls back on itself")));
}

#[test]
fn limits_hold_by_key_with_exact_times_and_survive_a_new_file() {
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
            Verdict::Go(_) => 0.0,
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
    // Another rule beside it: the limit keeps its state. Another rate: it begins anew.
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

#[test]
fn what_a_later_limit_refuses_costs_an_earlier_one_nothing() {
    let text = "[[rule]]\nname = 'a'\ngo_on = true\nlimit = { key = '\"all\"', rate = 1, burst = 2 }\n\
                [[rule]]\nname = 'b'\nlimit = { key = 'request.partner.orValue(\"\")', at_once = 1, after = \"70ms\" }\n";
    let (mut router, none) = (router(text), headers(&[]));
    let held = go(router.route(&request("GET", "/", &none), 0.0));
    assert_eq!(held.tickets.len(), 1);
    for _ in 0..10 {
        assert!(matches!(
            router.route(&request("GET", "/", &none), 0.0),
            Verdict::Reject {
                retry_after_ms: 70.0,
                ..
            }
        ));
    }
    drop(held);
    let held = go(router.route(&request("GET", "/", &none), 0.0));
    drop(held);
    assert!(matches!(
        router.route(&request("GET", "/", &none), 0.0),
        Verdict::Reject {
            retry_after_ms: 1000.0,
            ..
        }
    ));
}

#[test]
fn a_hundred_thousand_keys_take_no_more_memory() {
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
fn rules_go_in_order_and_what_is_set_first_stays() {
    let text = "[[rule]]\nname = 'a'\ngo_on = true\nnotes = { x = '\"1\"' }\n\
                [[rule]]\nname = 'b'\nwhen = 'request.method == \"GET\"'\ngo_on = true\nnotes = { x = '\"2\"', y = '\"é\" + request.path' }\n\
                [[rule]]\nname = 'c'\nwhen = 'request.path == \"/stop\"'\nnotes = { z = '\"3\"' }\n\
                [[rule]]\nname = 'd'\nnack = 'duration(\"250ms\")'\n";
    let (mut router, none) = (router(text), headers(&[]));
    let route = go(router.route(&request("GET", "/stop", &none), 0.0));
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
    let told: Vec<(&str, bool, bool)> = explained
        .iter()
        .map(|e| (&e.rule[..], e.matched, e.behind))
        .collect();
    assert_eq!(
        told,
        [
            ("a", true, false),
            ("b", true, false),
            ("c", true, false),
            ("d", true, true)
        ]
    );
    let put = explainer.explain(&request("PUT", "/", &none));
    assert!(put[2].ruled_out && !put[2].matched && put[2].parts[0].1[0].value == "false");
}

#[test]
fn what_a_rule_cannot_read_is_turned_away_and_not_taken_for_absent() {
    let text = "[[rule]]\nname = 'a'\nwhen = '!(\"x-deny\" in request.headers)'\ngo_on = true\nnotes = { ok = '\"1\"' }\n\
                [[rule]]\nname = 'div'\nwhen = 'request.length.orValue(1) / request.headers.size() > 5'\nnack = 'duration(\"1s\")'\n";
    let mut router = router(text);
    let long = headers(&[("x-deny", &"a".repeat(600)), ("y", "1")]);
    assert!(
        matches!(router.route(&request("GET", "/", &long), 0.0), Verdict::Bad { rule, .. } if rule == "a")
    );
    let mut binary = headers(&[("y", "1")]);
    binary.0.insert("x-deny".into(), vec![0xff, 0xfe]);
    assert!(
        matches!(router.route(&request("GET", "/", &binary), 0.0), Verdict::Bad { rule, .. } if rule == "a")
    );
    // A division by zero.
    assert!(
        matches!(router.route(&request("GET", "/", &headers(&[])), 0.0), Verdict::Bad { rule, .. } if rule == "div")
    );
    let path = "/".repeat(2000);
    assert!(matches!(
        router.route(&request("GET", &path, &headers(&[])), 0.0),
        Verdict::Bad { .. }
    ));
    assert_eq!(router.faults(), 3);
}

#[test]
fn a_thousand_rules_that_test_the_path_are_found_by_it() {
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
        let route = go(router.route(&request("GET", &format!("/p{i}/x"), &none), 0.0));
        assert_eq!(route.notes, [("n".to_string(), i.to_string())]);
    }
    assert!(go(router.route(&request("GET", "/p1000/x", &none), 0.0))
        .notes
        .is_empty());
}

#[test]
fn commands_end_under_the_pools_that_they_began_with() {
    let pools = |names: &[&str]| -> Rules {
        let pool = |name: &&str| {
            format!("[[pool]]\nname = '{name}'\nwhen = 'instance.zone == \"{name}\"'\n")
        };
        let first = names[0];
        let rule = format!("[[rule]]\nname = 'r'\npool = '\"{first}\"'\n");
        read(&(names.iter().map(pool).collect::<String>() + &rule)).unwrap()
    };
    let ip = IpAddr::from([10, 0, 0, 1]);
    let at = |zone| Endpoint {
        name: "n",
        zone,
        cell: 1,
        weight: 1.0,
        protocol: "resp",
        ip,
        labels: &[],
    };
    let none = headers(&[]);
    let mut router = Router::new(pools(&["dar", "tanga"]));
    let chosen = |router: &mut Router, zone: &'static str| {
        let bits = router.pools_of(&at(zone));
        router.ready([bits].into_iter());
        (
            go(router.route(&request("GET", "/", &none), 0.0)).pools,
            bits,
        )
    };
    let (dar, of_dar) = chosen(&mut router, "dar");
    assert_eq!(dar & of_dar, dar);
    // Another order, and one pool less: the bits stay, those of the one that is gone as long as it may be needed.
    drop(
        router
            .replace(pools(&["mbeya", "dar"]), 1000.0, 3000.0)
            .unwrap(),
    );
    assert_eq!(router.pools_of(&at("dar")) & dar, dar);
    let tanga = router.pools_of(&at("tanga")) & !ALL;
    let (mbeya, _) = chosen(&mut router, "mbeya");
    assert!(tanga != 0 && mbeya & (dar | tanga) == 0);
    drop(
        router
            .replace(pools(&["mbeya", "dar"]), 4001.0, 3000.0)
            .unwrap(),
    );
    assert_eq!(router.pools_of(&at("tanga")), ALL);
    // No bit is given anew that commands under way still need.
    let many: Vec<String> = (0..40).map(|i| format!("z{i}")).collect();
    let many: Vec<&str> = many.iter().map(String::as_str).collect();
    drop(router.replace(pools(&many), 5000.0, 3000.0).unwrap());
    let other: Vec<String> = (0..40).map(|i| format!("y{i}")).collect();
    let other: Vec<&str> = other.iter().map(String::as_str).collect();
    assert_eq!(
        router.replace(pools(&other), 5001.0, 3000.0).err(),
        Some(driftgap_routes::TooSoon)
    );
    assert_eq!(
        router.pools_of(&at("z7")).count_ones(),
        2,
        "the old rules stay"
    );
}
