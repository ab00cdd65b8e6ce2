//! Tests of `.ci/tests`, with prepared output in place of a test run.

use std::process::Command;

const PASSED: &str =
    "     Running unittests src/lib.rs\ntest a::one ... ok\ntest a::two ... ok\ntest result: ok. 2 passed";
const FAILED: &str =
    "     Running unittests src/lib.rs\ntest a::one ... FAILED\ntest a::two ... ok\ntest result: FAILED.";
const INTERRUPTED: &str =
    "     Running unittests src/lib.rs\ntest a::one ... FAILED\ntest a::two ... ok";

/// Runs `.ci/tests` on a command that prints `output` and ends with `status`, with this list of
/// known failures. Returns whether it passed, and what it printed.
fn run_ci_tests(name: &str, output: &str, status: i32, known_red: Option<&str>) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("driftgap-ci-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("output"), format!("{output}\n")).unwrap();
    std::fs::write(
        folder.join("run"),
        format!("cat $(dirname $0)/output; exit {status}\n"),
    )
    .unwrap();
    // `.ci/tests` appends `--no-fail-fast`.
    let run = format!("bash {}/run", folder.display());
    if let Some(known_red) = known_red {
        std::fs::write(folder.join("red"), known_red).unwrap();
    }
    let tests = concat!(env!("CARGO_MANIFEST_DIR"), "/.ci/tests");
    let out = Command::new("bash")
        .args([tests, &run])
        .env("KNOWN_RED", folder.join("red"))
        .output()
        .unwrap();
    let _ = std::fs::remove_dir_all(&folder);
    (
        out.status.success(),
        String::from_utf8_lossy(&out.stdout).to_string(),
    )
}

#[test]
fn known_failure_is_printed_and_any_other_fails_the_run() {
    let known_red = "a::one | cargo test one, seed 7 | the counter is slow | issue 32\n";
    let (passed, printed) = run_ci_tests("known", FAILED, 101, Some(known_red));
    assert!(
        passed
            && printed.contains(
                "KNOWN-RED: a::one | cargo test one, seed 7 | the counter is slow | issue 32"
            ),
        "{printed}"
    );
    let (passed, printed) = run_ci_tests(
        "other",
        FAILED,
        101,
        Some("a::two | cargo test two | the counter is slow | issue 32\n"),
    );
    assert!(!passed && printed.contains("failed: a::one"), "{printed}");
    assert!(!run_ci_tests("none", FAILED, 101, None).0);
    assert!(run_ci_tests("passed", PASSED, 0, None).0);
    let (passed, printed) = run_ci_tests("mended", PASSED, 0, Some(known_red));
    assert!(passed && printed.contains("passes now"), "{printed}");
}

#[test]
fn invalid_list_fails_the_run() {
    let line = |test: &str| format!("{test} | cargo test | why | issue 32\n");
    for (name, known_red) in [
        ("unknown", line("a::three")),
        ("part", line("one")),
        ("bare", "a::one\n".into()),
        ("issue", "a::one | cargo test | why\n".into()),
        ("command", "a::one | why | issue 32\n".into()),
        ("seen", "a::one | cargo test |  | issue 32\n".into()),
        ("old form", "a::one: why: issue 32\n".into()),
        ("empty", "\n".into()),
        (
            "four",
            [
                line("a::one"),
                line("a::two"),
                line("a::one"),
                line("a::two"),
            ]
            .concat(),
        ),
    ] {
        assert!(
            !run_ci_tests(name, FAILED, 101, Some(&known_red)).0,
            "{name}"
        );
    }
}

#[test]
fn every_failure_counts_with_an_empty_or_absent_list() {
    for (name, known_red) in [("blank", Some("")), ("absent", None)] {
        let (passed, printed) = run_ci_tests(name, FAILED, 101, known_red);
        assert!(
            !passed && printed.contains("failed: a::one"),
            "{name}: {printed}"
        );
        let (passed, printed) = run_ci_tests(name, PASSED, 0, known_red);
        assert!(
            passed && !printed.contains("KNOWN-RED"),
            "{name}: {printed}"
        );
        assert!(
            !run_ci_tests(name, INTERRUPTED, 101, known_red).0,
            "{name}: passed without a result line"
        );
        assert!(
            !run_ci_tests(name, PASSED, 101, known_red).0,
            "{name}: passed with status 101, as after a compile error"
        );
    }
}

#[test]
fn incomplete_run_fails_despite_known_failures() {
    let known_red = "a::one | cargo test | why | issue 32\n";
    assert!(!run_ci_tests("ended", INTERRUPTED, 101, Some(known_red)).0);
    assert!(
        !run_ci_tests("status", PASSED, 101, Some(known_red)).0,
        "passed with status 101, as after a compile error"
    );
}
