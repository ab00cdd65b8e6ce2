//! What keeps the program from starting: exit status 2 and one line that names the field.

use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::Command;

const SETTINGS: &str = include_str!("stage/settings.json");

/// Starts the program with these texts; what it says.
fn refused(name: &str, config: &str, operator: &str) -> String {
    refused_with(name, config, operator, None)
}

/// The same with a variable of the environment.
fn refused_with(
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
    let said = String::from_utf8(out.stderr).unwrap();
    std::fs::remove_dir_all(&folder).unwrap();
    assert_eq!(
        (out.status.code(), said.lines().count()),
        (Some(2), 1),
        "{said}"
    );
    said
}

#[test]
fn a_wrong_configuration_is_named_by_its_field() {
    let with = |from: &str, to: &str| {
        let whole = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
        assert!(whole.contains(from), "{from}");
        whole.replacen(from, to, 1)
    };
    let cases = [
        ("{".to_string(), "not JSON"),
        (r#"{"settings":{}}"#.to_string(), "listen is missing"),
        (
            r#"{"listen":"127.0.0.1:0"}"#.to_string(),
            "settings is missing",
        ),
        (with("127.0.0.1:0", "localhost"), "listen"),
        (with(r#""listen""#, r#""counter":"x","listen""#), "counter"),
        (with(r#""listen""#, r#""seed":"xyz","listen""#), "seed"),
        (
            with(r#""listen""#, r#""limits":{"sockets":3},"listen""#),
            "limits.sockets",
        ),
        (
            with(r#""listen""#, r#""known":{"version":1},"listen""#),
            "known: servers",
        ),
        (
            with(r#""effect": "pure""#, r#""effect": "magic""#),
            "request_classes[0].effect",
        ),
        (
            with(r#""units_per_s": 0.97"#, r#""units_per_s": -1"#),
            "plans[0].rate",
        ),
        (with(r#""balancers": 1"#, r#""balancers": 0"#), "gateways"),
        (
            with(r#""conn_idle": 15.0"#, r#""conn_idle": 0"#),
            "limits.conn_idle",
        ),
        (
            with(r#""dial_timeout": 0.25"#, r#""dial_timeout": 1e300"#),
            "limits.dial_timeout",
        ),
        (
            with(r#""count_wait": 0.08"#, r#""count_wait": -1"#),
            "family_info.count_wait",
        ),
        (
            with(r#""listen""#, r#""limits":{"memory_mb":-5},"listen""#),
            "limits.memory_mb",
        ),
    ];
    for (i, (config, want)) in cases.iter().enumerate() {
        let said = refused(&format!("config{i}"), config, "");
        assert!(said.contains(want), "{said} should name {want}");
    }
}

#[test]
fn a_wrong_operators_file_is_named_by_its_field() {
    let config = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    let cases = [
        ("[http2]\nlisten = 7\n", "http2.listen"),
        ("[http3]\n", "http3"),
        ("[plugin]\nscript = \"none.rhai\"\n", "none.rhai"),
        ("[plugin]\nscript = \"bad.rhai\"\n", "bad.rhai, line 2"),
        ("[inventory]\nfile = \"bad.csv\"\n", "row 2: address"),
    ];
    for (i, (operator, want)) in cases.iter().enumerate() {
        let said = refused(&format!("operator{i}"), &config, operator);
        assert!(said.contains(want), "{said} should name {want}");
    }
}

#[test]
fn what_the_platform_hands_over_is_named_where_it_makes_no_sense() {
    let config = format!(r#"{{"listen":"127.0.0.1:0","settings":{SETTINGS}}}"#);
    let file = std::fs::File::open("/dev/null").unwrap();
    let other = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    // Tests' descriptors are not inherited: these numbers are free in the program, or no sockets.
    let (null, port) = (
        file.as_raw_fd().to_string(),
        other.local_addr().unwrap().to_string(),
    );
    let cases = [
        ("EDGE_OPERATOR", "here"),
        ("EDGE_OPERATOR", "127.0.0.1"),
        ("EDGE_ACCEPT_FD", "five"),
        ("EDGE_ACCEPT_FD", "1"),
        ("EDGE_ACCEPT_FD", "-1"),
        ("EDGE_ACCEPT_FD", "999"),
        ("EDGE_ACCEPT_FD", null.as_str()),
    ];
    for (i, (name, value)) in cases.iter().enumerate() {
        let said = refused_with(&format!("handed{i}"), &config, "", Some((name, value)));
        assert!(said.contains(name), "{said} should name {name}");
    }
    // Where staff are to call, somebody else listens.
    let said = refused_with("taken", &config, "", Some(("EDGE_OPERATOR", port.as_str())));
    assert!(said.contains("operator: 127.0.0.1"), "{said}");
}

#[test]
fn a_wrong_address_for_calls_is_named() {
    let config =
        format!(r#"{{"listen":"127.0.0.1:0","operator":"nowhere","settings":{SETTINGS}}}"#);
    let said = refused("operator", &config, "");
    assert!(said.contains("operator"), "{said}");
}

#[test]
fn check_names_every_fault_and_passes_what_serves() {
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
        let (code, said) = check(&config.replace(good, bad), "");
        assert_eq!((code, said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains(field), "{said} should name {field}");
    }
    let operator = "[plugin]\nscript = \"none.rhai\"\n[inventory]\nfile = \"bad.csv\"\n";
    let (code, said) = check(&config, operator);
    assert_eq!((code, said.lines().count()), (Some(2), 2), "{said}");
    assert!(
        said.contains("none.rhai") && said.contains("row 2: address"),
        "{said}"
    );
    let (code, said) = check("{", "[http3]\n");
    assert_eq!((code, said.lines().count()), (Some(2), 2), "{said}");
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn rules_are_checked_explained_and_measured() {
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
    let (code, said) = run(&["check"], example.join("rules.toml"));
    assert!(
        code == Some(0) && said.starts_with("ok: 3 rules, 1 of them"),
        "{said}"
    );
    let (code, said) = run(&["explain", "request.json"], example.join("rules.toml"));
    for want in [
        "per-partner: matches",
        "audio: matches",
        "booking: behind",
        "command fetch-episode",
        "\"7\"",
    ] {
        assert!(code == Some(0) && said.contains(want), "{want} in {said}");
    }
    let (code, said) = run(&["bench", "request.json"], example.join("rules.toml"));
    assert!(code == Some(0) && said.lines().count() == 3, "{said}");
    let (code, said) = run(&["check"], folder.join("bad.toml"));
    assert!(
        code == Some(2) && said.contains("safe to repeat") && said.contains("^^^"),
        "{said}"
    );
    std::fs::remove_dir_all(&folder).unwrap();
}
