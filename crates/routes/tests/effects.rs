//! The checks of the class and the units that a rule sets: a file that would allow retries of a
//! request that must not run twice, or that would change a client's units, is refused.

mod common;

use common::rules::{mapping, read, UNITS};

const SAFE: &str = "\"fetch-episode\"";
/// Paths with declared effects.
const DECLARED_PATHS: &str = "[effects.paths]\n'/bookings/' = 'side_effect'\n'/ratings/' = 'token'";

/// Asserts that a file with one mapping rule is refused because it would make a request with an
/// effect safe to repeat.
#[track_caller]
fn assert_refused(when: &str, class: &str, head: &str) {
    let faults = read(&format!("{head}\n{}", mapping(when, class, UNITS))).unwrap_err();
    assert!(
        faults.iter().any(|f| f.contains("safe to repeat")),
        "{when} {class}: {faults:?}"
    );
}

/// Asserts that a file with one mapping rule is read without a fault.
#[track_caller]
fn assert_accepted(when: &str, class: &str, head: &str) {
    read(&format!("{head}\n{}", mapping(when, class, UNITS)))
        .unwrap_or_else(|f| panic!("{when} {class}: {f:?}"));
}

/// Returns a test that holds only for GET.
fn get(path: &str) -> String {
    format!("request.method == 'GET' && {path}")
}

/// A rule sets a class whose requests are retried, and its test does not restrict the method. A
/// POST would match as well, and after a lost answer the ingress would run it a second time.
#[test]
fn rule_matching_requests_with_effect_cannot_set_safe_class() {
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

/// A rule chooses between two classes. One branch could set the retried class for a request that
/// must not run twice, even if the other branch is correct.
#[test]
fn every_branch_of_class_is_checked() {
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

/// A rule looks up the class in a table by the method. Every entry and the default must be as
/// strict as the methods that reach them.
#[test]
fn every_value_of_class_table_is_checked() {
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

/// A service accepts bookings by GET. The operator declares an effect for the path, and a rule that
/// may match the path must not set a safe class, however its test describes paths.
#[test]
fn declared_path_effect_applies_to_every_method() {
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

/// Endpoints discard repeats by key only for a limited time. That suffices for a path declared
/// `token`, and not for one declared `side_effect`.
#[test]
fn keyed_class_is_refused_for_side_effect_paths() {
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

/// A rule takes the class from a header. The effect is unknown until a request arrives, so the file
/// must be refused.
#[test]
fn class_from_client_header_is_refused() {
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

/// A rule with a class may match paths of the platform's protocol. There the client names the class
/// and relies on its retry behaviour, so the file must be refused.
#[test]
fn rule_with_class_cannot_match_platform_protocol() {
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

/// A client names the units that its request counts against the tenant's quota. A rule that
/// replaced them would charge the tenant wrongly, so every branch must keep them or be proved to
/// see none.
#[test]
fn rules_keep_units_named_by_client() {
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
