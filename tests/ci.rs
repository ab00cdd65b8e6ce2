//! What `.ci/tests` makes of a run: played with the output of a run in place of one.

use std::process::Command;

const PASSED: &str =
    "     Running unittests src/lib.rs\ntest a::one ... ok\ntest a::two ... ok\ntest result: ok. 2 passed";
const FAILED: &str =
    "     Running unittests src/lib.rs\ntest a::one ... FAILED\ntest a::two ... ok\ntest result: FAILED.";
const ENDED: &str = "     Running unittests src/lib.rs\ntest a::one ... FAILED\ntest a::two ... ok";

/// Whether a run that prints this and ends with this status passes under this list, and what was said.
fn judged(name: &str, output: &str, status: i32, red: Option<&str>) -> (bool, String) {
    let folder = std::env::temp_dir().join(format!("driftgap-ci-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    std::fs::write(folder.join("output"), format!("{output}\n")).unwrap();
    std::fs::write(
        folder.join("run"),
        format!("cat $(dirname $0)/output; exit {status}\n"),
    )
    .unwrap();
    // `--no-fail-fast` comes behind it.
    let run = format!("bash {}/run", folder.display());
    if let Some(red) = red {
        std::fs::write(folder.join("red"), red).unwrap();
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
fn a_known_failure_is_passed_over_and_printed_and_any_other_is_not() {
    let red = "a::one | cargo test one, seed 7 | the counter is slow | issue 32\n";
    let (passed, said) = judged("known", FAILED, 101, Some(red));
    assert!(
        passed
            && said.contains(
                "KNOWN-RED: a::one | cargo test one, seed 7 | the counter is slow | issue 32"
            ),
        "{said}"
    );
    let (passed, said) = judged(
        "other",
        FAILED,
        101,
        Some("a::two | cargo test two | the counter is slow | issue 32\n"),
    );
    assert!(!passed && said.contains("failed: a::one"), "{said}");
    assert!(!judged("none", FAILED, 101, None).0);
    assert!(judged("passed", PASSED, 0, None).0);
    let (passed, said) = judged("mended", PASSED, 0, Some(red));
    assert!(passed && said.contains("passes now"), "{said}");
}

#[test]
fn a_list_that_is_not_in_order_fails_the_run() {
    let line = |test: &str| format!("{test} | cargo test | why | issue 32\n");
    for (name, red) in [
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
        assert!(!judged(name, FAILED, 101, Some(&red)).0, "{name}");
    }
}

#[test]
fn with_an_empty_or_absent_list_every_failure_counts() {
    for (name, red) in [("blank", Some("")), ("absent", None)] {
        let (passed, said) = judged(name, FAILED, 101, red);
        assert!(!passed && said.contains("failed: a::one"), "{name}: {said}");
        let (passed, said) = judged(name, PASSED, 0, red);
        assert!(passed && !said.contains("KNOWN-RED"), "{name}: {said}");
        assert!(
            !judged(name, ENDED, 101, red).0,
            "{name}: it does not come to its end"
        );
        assert!(
            !judged(name, PASSED, 101, red).0,
            "{name}: it does not compile, for one"
        );
    }
}

#[test]
fn a_run_that_does_not_come_to_its_end_fails_whatever_is_known() {
    let red = "a::one | cargo test | why | issue 32\n";
    assert!(!judged("ended", ENDED, 101, Some(red)).0);
    assert!(
        !judged("status", PASSED, 101, Some(red)).0,
        "it does not compile, for one"
    );
}
