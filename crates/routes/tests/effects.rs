//! Which classes and units a rule may give: a file by which a request that must not run twice could be retried, or
//! by which a client's units could be changed, is refused when it is read.

mod common;

use common::rules::{mapping, read, UNITS};

const SAFE: &str = "\"fetch-episode\"";
/// Paths that are declared to have an effect.
const DECLARED_PATHS: &str = "[effects.paths]\n'/bookings/' = 'side_effect'\n'/ratings/' = 'token'";

/// A file of one mapping rule is refused, since a request with an effect could become safe to repeat.
#[track_caller]
fn assert_refused(when: &str, class: &str, head: &str) {
    let faults = read(&format!("{head}\n{}", mapping(when, class, UNITS))).unwrap_err();
    assert!(
        faults.iter().any(|f| f.contains("safe to repeat")),
        "{when} {class}: {faults:?}"
    );
}

/// A file of one mapping rule is read without fault.
#[track_caller]
fn assert_accepted(when: &str, class: &str, head: &str) {
    read(&format!("{head}\n{}", mapping(when, class, UNITS)))
        .unwrap_or_else(|f| panic!("{when} {class}: {f:?}"));
}

/// A test that holds for GET alone.
fn get(path: &str) -> String {
    format!("request.method == 'GET' && {path}")
}

/// A rule gives a class whose requests are retried, and its test leaves the method open. A POST would match as well,
/// and a lost answer would make the ingress run it a second time.
#[test]
fn a_rule_that_may_match_a_request_with_an_effect_may_not_give_a_safe_class() {
    assert_refused("request.path.startsWith('/episodes/')", SAFE, "");
    assert_refused(
        "request.path.startsWith('/episodes/') && request.method != 'POST'",
        SAFE,
        "",
    );
    assert_refused(
        "request.path.startsWith('/episodes/') && request.method in ['GET', 'DELETE']",
        SAFE,
        "",
    );
    assert_refused(
        "request.path.startsWith('/episodes/') && (request.method == 'GET' || request.retry)",
        SAFE,
        "",
    );
    assert_accepted(
        "request.path.startsWith('/episodes/') && request.method == 'GET'",
        SAFE,
        "",
    );
    assert_accepted(
        "request.path.startsWith('/episodes/') && request.method in ['GET', 'HEAD']",
        SAFE,
        "",
    );
}

/// A rule chooses between two classes. One branch could give the retried class to a request that must not run twice;
/// that the other branch is right does not help.
#[test]
fn no_branch_may_make_a_booking_safe_to_repeat() {
    let branch = "request.retry ? \"book-rebroadcast\" : \"fetch-episode\"";
    assert_refused("request.path.startsWith('/x/')", branch, "");
    let by_method = "request.method == 'GET' ? \"fetch-episode\" : \"book-rebroadcast\"";
    assert_accepted("request.path.startsWith('/x/')", by_method, "");
    assert_refused(
        "request.path.startsWith('/x/')",
        "request.method != 'GET' ? \"fetch-episode\" : \"book-rebroadcast\"",
        "",
    );
    let named =
        "let m = request.method; let get = m == \"GET\"; get ? \"fetch-episode\" : \"book-rebroadcast\"";
    assert_accepted("request.path.startsWith('/x/')", named, "");
}

/// A rule looks the class up in a table by the method. Every entry and the default must be as strict as the methods
/// that reach them.
#[test]
fn a_class_that_is_looked_up_is_checked_for_every_value() {
    let table = "{'GET': 'fetch-episode', 'PUT': 'rate-episode'}[request.method].orValue('book-rebroadcast')";
    assert_refused("request.path.startsWith('/x/')", table, "");
    let put = format!(
        "[effects.methods]\nPUT = 'token'\n{}",
        mapping(
            "request.path.startsWith('/x/')",
            table,
            &format!("{UNITS}\nid = '\"x\"'")
        )
    );
    assert!(read(&put).is_ok(), "{:?}", read(&put));
    assert_refused(
        "request.path.startsWith('/x/')",
        "{'GET': 'fetch-episode'}[request.method].orValue('fetch-episode')",
        "",
    );
}

/// A service runs bookings by GET. The operator declares the path, and no rule that may match it gives a safe class,
/// whichever way its test describes paths.
#[test]
fn a_path_that_is_declared_to_have_an_effect_has_it_whatever_the_method() {
    assert_refused(
        &get("request.path.startsWith('/bookings/')"),
        SAFE,
        DECLARED_PATHS,
    );
    assert_refused(&get("request.path.startsWith('/b')"), SAFE, DECLARED_PATHS);
    assert_refused(
        &get("request.path.startsWith('/bookings/new/')"),
        SAFE,
        DECLARED_PATHS,
    );
    assert_refused(&get("request.path == '/bookings/7'"), SAFE, DECLARED_PATHS);
    assert_refused(
        &get("request.path.endsWith('/audio') && !request.path.startsWith('/commands/')"),
        SAFE,
        DECLARED_PATHS,
    );
    assert_refused(
        &get("(request.path.startsWith('/e/') || request.path.startsWith('/bookings/'))"),
        SAFE,
        DECLARED_PATHS,
    );
    assert_accepted(&get("request.path.startsWith('/e/')"), SAFE, DECLARED_PATHS);
    assert_accepted(&get("request.path == '/bookings'"), SAFE, DECLARED_PATHS);
    let others = get("!request.path.startsWith('/bookings/') && !request.path.startsWith('/ratings/') && !request.path.startsWith('/commands/')");
    assert_accepted(&others, SAFE, DECLARED_PATHS);
}

/// Endpoints discard repeats by a key for a while only. That is enough for a path declared `token`, and not for one
/// declared `side_effect`.
#[test]
fn a_class_with_a_key_is_not_enough_for_what_must_never_run_twice() {
    let id = format!("{UNITS}\nid = '\"x\"'");
    let rated = |path: &str| {
        mapping(
            &get(&format!("request.path.startsWith('{path}')")),
            "\"rate-episode\"",
            &id,
        )
    };
    assert!(read(&format!("{DECLARED_PATHS}\n{}", rated("/ratings/"))).is_ok());
    assert!(read(&format!("{DECLARED_PATHS}\n{}", rated("/bookings/"))).is_err());
}

/// A rule takes the class from a header. Its effect is not known before the request comes, so the file is refused.
#[test]
fn a_class_that_a_client_could_choose_is_refused() {
    let faults = read(&mapping(
        &get("request.path.startsWith('/e/')"),
        "request.headers['x'].orValue('fetch-episode')",
        UNITS,
    ));
    assert!(faults
        .unwrap_err()
        .iter()
        .any(|f| f.contains("not known before use")));
}

/// A rule with a class may match the paths of the platform's protocol. There the client names the class and counts on
/// what it means for retries, so the file is refused.
#[test]
fn requests_of_the_platforms_own_protocol_keep_their_class() {
    let faults = read(&mapping("request.method == 'GET'", SAFE, UNITS)).unwrap_err();
    assert!(
        faults.iter().any(|f| f.contains("platform's own")),
        "{faults:?}"
    );
    let faults = read(&mapping(
        &get("request.path.startsWith('/comm')"),
        SAFE,
        UNITS,
    ))
    .unwrap_err();
    assert!(
        faults.iter().any(|f| f.contains("platform's own")),
        "{faults:?}"
    );
}

/// A client names the units that its request counts against the tenant's quota. A rule that replaced them would charge
/// the tenant wrongly, so every branch must keep them, or be proved to see none.
#[test]
fn no_rule_drops_or_changes_the_units_that_a_client_names() {
    let get = "request.method == 'GET' && request.path.startsWith('/e/')";
    let class = "\"fetch-episode\"";
    let faults = |when: &str, units: &str| match read(&mapping(when, class, units)) {
        Ok(_) => String::new(),
        Err(faults) => faults.join("\n"),
    };
    assert!(faults(get, "").contains("a mapped request needs `units`"));
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
