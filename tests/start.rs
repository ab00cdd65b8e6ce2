//! Configuration faults that keep the program from starting: exit status 2 and one line that names
//! the field.

use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::Command;

const SETTINGS: &str = include_str!("stage/settings.json");

/// Starts the program with these texts, checks that it refuses to start, and returns its error
/// line.
fn start_error(name: &str, config: &str, operator: &str) -> String {
    start_error_with(name, config, operator, None)
}

/// As [`start_error`], with an additional environment variable.
fn start_error_with(
    name: &str,
    config: &str,
    operator: &str,
    variable: Option<(&str, &str)>,
) -> String {
    let folder = std::env::temp_dir().join(format!("driftgap-start-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = |name: &str, text: &str| -> PathBuf {
        std::fs::write(folder.join(name), text).unwrap();
        folder.join(name)
    };
    file("bad.rhai", "fn decide(c) {\n  let = 1;\n}\n");
    file("bad.csv", "name,address\na,here\n");
    let out = Command::new(env!("CARGO_BIN_EXE_driftgap"))
        .env("EDGE_CONFIG", file("config.json", config))
        .env("DRIFTGAP_OPERATOR", file("operator.toml", operator))
        .envs(variable)
        .output()
        .unwrap();
    let printed = String::from_utf8(out.stderr).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(
        (out.status.code(), printed.lines().count()),
        (Some(2), 1),
        "{printed}"
    );
    printed
}

#[test]
fn invalid_configuration_field_is_named() {
    let config_with = |from: &str, to: &str| {
        let valid = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
        assert!(valid.contains(from), "{from}");
        valid.replacen(from, to, 1)
    };
    let cases = [
        ("{".to_string(), "not JSON"),
        (r#"{"settings":{}}"#.to_string(), "listen is missing"),
        (
            r#"{"listen":"127.0.0.1:0"}"#.to_string(),
            "settings is missing",
        ),
        (config_with("127.0.0.1:0", "localhost"), "listen"),
        (
            config_with(r#""listen""#, r#""counter":"x","listen""#),
            "counter",
        ),
        (
            config_with(r#""listen""#, r#""seed":"xyz","listen""#),
            "seed",
        ),
        (
            config_with(r#""listen""#, r#""limits":{"sockets":3},"listen""#),
            "limits.sockets",
        ),
        (
            config_with(r#""listen""#, r#""known":{"version":1},"listen""#),
            "known: servers",
        ),
        (
            config_with(r#""effect": "pure""#, r#""effect": "magic""#),
            "request_classes[0].effect",
        ),
        (
            config_with(r#""units_per_s": 0.97"#, r#""units_per_s": -1"#),
            "plans[0].rate",
        ),
        (
            config_with(r#""balancers": 1"#, r#""balancers": 0"#),
            "balancers: must be at least 1",
        ),
        (
            config_with(r#""conn_idle": 15.0"#, r#""conn_idle": 0"#),
            "limits.conn_idle",
        ),
        (
            config_with(r#""dial_timeout": 0.25"#, r#""dial_timeout": 1e300"#),
            "limits.dial_timeout",
        ),
        (
            config_with(r#""count_wait": 0.08"#, r#""count_wait": -1"#),
            "family_info.count_wait",
        ),
        (
            config_with(r#""listen""#, r#""limits":{"memory_mb":-5},"listen""#),
            "limits.memory_mb",
        ),
    ];
    for (i, (config, expected)) in cases.iter().enumerate() {
        let printed = start_error(&format!("config{i}"), config, "");
        assert!(
            printed.contains(expected),
            "{printed} should name {expected}"
        );
    }
}

#[test]
fn invalid_operator_file_field_is_named() {
    let config = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    let cases = [
        ("[http2]\nlisten = 7\n", "http2.listen"),
        ("[http3]\n", "http3"),
        ("[plugin]\nscript = \"none.rhai\"\n", "none.rhai"),
        ("[plugin]\nscript = \"bad.rhai\"\n", "bad.rhai, line 2"),
        ("[inventory]\nfile = \"bad.csv\"\n", "row 2: address"),
    ];
    for (i, (operator, expected)) in cases.iter().enumerate() {
        let printed = start_error(&format!("operator{i}"), &config, operator);
        assert!(
            printed.contains(expected),
            "{printed} should name {expected}"
        );
    }
}

#[test]
fn invalid_environment_variable_is_named() {
    let config = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    let file = std::fs::File::open("/dev/null").unwrap();
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    // The program does not inherit the test's descriptors: there these numbers are unused, or not
    // sockets.
    let (not_a_socket, used_address) = (
        file.as_raw_fd().to_string(),
        listener.local_addr().unwrap().to_string(),
    );
    let cases = [
        ("EDGE_OPERATOR", "here"),
        ("EDGE_OPERATOR", "127.0.0.1"),
        ("EDGE_ACCEPT_FD", "five"),
        ("EDGE_ACCEPT_FD", "1"),
        ("EDGE_ACCEPT_FD", "-1"),
        ("EDGE_ACCEPT_FD", "999"),
        ("EDGE_ACCEPT_FD", not_a_socket.as_str()),
    ];
    for (i, (name, value)) in cases.iter().enumerate() {
        let printed = start_error_with(&format!("handed{i}"), &config, "", Some((name, value)));
        assert!(printed.contains(name), "{printed} should name {name}");
    }
    // Another process listens at the administration address.
    let printed = start_error_with(
        "taken",
        &config,
        "",
        Some(("EDGE_OPERATOR", used_address.as_str())),
    );
    assert!(printed.contains("operator: 127.0.0.1"), "{printed}");
}

#[test]
fn invalid_administration_address_is_named() {
    let config =
        format!(r#"{{"listen":"127.0.0.1:0","operator":"nowhere","settings":{SETTINGS}}}"#);
    let printed = start_error("operator", &config, "");
    assert!(printed.contains("operator"), "{printed}");
}

#[test]
fn check_lists_all_faults_and_accepts_valid_files() {
    let folder = std::env::temp_dir().join(format!("driftgap-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let check = |config: &str, operator: &str| {
        for (name, text) in [("config.json", config), ("operator.toml", operator)] {
            std::fs::write(folder.join(name), text).unwrap();
        }
        std::fs::write(folder.join("bad.csv"), "name,address\na,here\n").unwrap();
        let out = Command::new(env!("CARGO_BIN_EXE_driftgap"))
            .arg("check")
            .env("EDGE_CONFIG", folder.join("config.json"))
            .env("DRIFTGAP_OPERATOR", folder.join("operator.toml"))
            .output()
            .unwrap();
        (out.status.code(), String::from_utf8(out.stderr).unwrap())
    };
    let config = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    assert_eq!(check(&config, ""), (Some(0), String::new()));
    let unknown = config.replace("drain_grace", "drain_grase");
    let warning = "warning: settings.rules.drain_grase: unknown, and not read\n";
    assert_eq!(check(&unknown, ""), (Some(0), warning.to_string()));
    for (good, bad, field) in [
        (r#""balancers": 1"#, r#""balancers": 1.5"#, "balancers"),
        (r#""at_once": 0"#, r#""at_once": -1"#, "plans[0].at_once"),
        (
            r#""most_tries": 4"#,
            r#""most_tries": "4""#,
            "limits.most_tries",
        ),
        (
            r#""effect": "pure""#,
            r#""effect": "poor""#,
            "request_classes[0].effect",
        ),
    ] {
        let (code, printed) = check(&config.replace(good, bad), "");
        assert_eq!((code, printed.lines().count()), (Some(2), 1), "{printed}");
        assert!(printed.contains(field), "{printed} should name {field}");
    }
    let operator = "[plugin]\nscript = \"none.rhai\"\n[inventory]\nfile = \"bad.csv\"\n";
    let (code, printed) = check(&config, operator);
    assert_eq!((code, printed.lines().count()), (Some(2), 2), "{printed}");
    assert!(
        printed.contains("none.rhai") && printed.contains("row 2: address"),
        "{printed}"
    );
    let (code, printed) = check("{", "[http3]\n");
    assert_eq!((code, printed.lines().count()), (Some(2), 2), "{printed}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn rules_commands_check_explain_and_bench() {
    let folder = std::env::temp_dir().join(format!("driftgap-rules-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let config = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    std::fs::write(folder.join("config.json"), config).unwrap();
    let example = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    let bad = std::fs::read_to_string(example.join("rules.toml")).unwrap();
    let bad = bad
        .replace(r#"request.method == "POST" && "#, "")
        .replace("book-rebroadcast", "fetch-episode");
    std::fs::write(folder.join("bad.toml"), bad).unwrap();
    let run = |words: &[&str], file: PathBuf| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_driftgap"));
        command
            .arg("--config")
            .arg(folder.join("config.json"))
            .arg("rules")
            .arg(words[0])
            .arg(file);
        if words.len() > 1 {
            command.arg("--request").arg(example.join(words[1]));
        }
        let out = command.output().unwrap();
        (
            out.status.code(),
            String::from_utf8(out.stdout).unwrap() + &String::from_utf8(out.stderr).unwrap(),
        )
    };
    let (code, printed) = run(&["check"], example.join("rules.toml"));
    assert!(
        code == Some(0) && printed.starts_with("ok: 3 rules, 1 of them"),
        "{printed}"
    );
    let (code, printed) = run(&["explain", "request.json"], example.join("rules.toml"));
    for expected in [
        "per-partner: matches",
        "audio: matches",
        "booking: behind",
        "command fetch-episode",
        "\"7\"",
    ] {
        assert!(
            code == Some(0) && printed.contains(expected),
            "{expected} in {printed}"
        );
    }
    let (code, printed) = run(&["bench", "request.json"], example.join("rules.toml"));
    assert!(code == Some(0) && printed.lines().count() == 3, "{printed}");
    let (code, printed) = run(&["check"], folder.join("bad.toml"));
    assert!(
        code == Some(2) && printed.contains("safe to repeat") && printed.contains("^^^"),
        "{printed}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
