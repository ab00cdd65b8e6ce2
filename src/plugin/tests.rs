use super::*;

use std::time::{Duration, Instant};

const SETTINGS: &str = include_str!("../../tests/stage/settings.json");
/// Longest time for which an ingress may be held up.
const MAX_HOLD: Duration = Duration::from_millis(150);

fn settings(on_error: OnError) -> PluginSettings {
    PluginSettings {
        script: PathBuf::new(),
        on_error,
        operations: 5000,
        size: 1000,
    }
}

/// The settings of an operator's file that names only the script.
fn default_settings() -> PluginSettings {
    PluginSettings {
        operations: default_operations(),
        size: default_size(),
        ..settings(OnError::Reject)
    }
}

fn decide(script: &str, on_error: OnError) -> PluginVerdict {
    decide_with(script, &settings(on_error))
}

fn decide_with(script: &str, settings: &PluginSettings) -> PluginVerdict {
    let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    let platform = crate::config::settings::Config::parse(&config)
        .unwrap()
        .platform;
    let list = "c=book-rebroadcast,t=city,d=900,units=2,spread=1,first=0".to_string();
    let request = ClientRequest::new(&platform, "0000000000000007", "k1", list, None).unwrap();
    let plugin = Plugin::new(settings, "hook.rhai".into(), script).unwrap();
    plugin.decide(0.0, &platform, &request)
}

/// Each result of a hook must have its effect, and changes to the script's copy must not reach the
/// request.
#[test]
fn hook_passes_rejects_and_annotates() {
    let script = r#"fn decide(command) {
        if command.plan == "city" && command.units > 1.0 { return #{ nack: 250 }; }
    }"#;
    assert_eq!(decide(script, OnError::Pass), PluginVerdict::Reject(250.0));
    assert_eq!(
        decide("fn decide(c) { c.units = 0.0; }", OnError::Reject),
        PluginVerdict::Pass(vec![])
    );
    let noted = PluginVerdict::Pass(vec![("origin".into(), "0000000000000007".into())]);
    assert_eq!(
        decide(
            "fn decide(c) { #{ notes: #{ origin: c.partner } } }",
            OnError::Pass
        ),
        noted
    );
}

/// A script loops, fills memory or fails. The engine must stop it, so that it cannot block or end
/// the ingress, and the operator's setting must decide about the request.
#[test]
fn runaway_or_failing_script_is_stopped_and_setting_decides() {
    for script in [
        "fn decide(c) { loop {} }",
        "fn decide(c) { let s = \"x\"; loop { s += s; } }",
        "fn decide(c) { let a = []; loop { a.push(a); } }",
        "fn decide(c) { decide(c) }",
        "fn decide(c) { c.no_such() }",
        "fn decide(c) { 42 }",
        "fn decide(c) { #{ nack: -1 } }",
        "fn decide(c) { #{ notes: #{ x: \"a\\nb\" } } }",
    ] {
        assert_eq!(
            decide(script, OnError::Pass),
            PluginVerdict::Pass(vec![]),
            "{script}"
        );
        assert_eq!(
            decide(script, OnError::Reject),
            PluginVerdict::Reject(1000.0),
            "{script}"
        );
    }
}

/// Native functions block, or work for long, or call back, each as one operation. The script must be
/// stopped within the time for which an ingress may be held up, at the default limits.
#[test]
fn script_that_holds_the_thread_within_native_functions_is_stopped() {
    let list = "let a = []; a.pad(4000, 1); let s = \"\"; s.pad(4000, 'x');";
    for body in [
        "loop { sleep(1); }",
        "sleep(0.3)",
        "Fn(\"sleep\").call(1)",
        "a.for_each(Fn(\"sleep\"))",
        "[1, 2].map(|seconds| sleep(seconds))",
        "loop { a.reduce(|sum, entry| sum); }",
        "loop { a.filter(|entry| true); }",
        "loop { let b = a; b.drain(|entry| true); }",
        "a.map(|x| a.map(|y| a.map(|z| a.map(|w| w))))",
        "a.sort(|x, y| { let n = 0; loop { n += 1; } })",
        "loop { 2 in a; }",
        "let b = a; loop { a == b; }",
        "loop { let b = a; b.dedup(); }",
        "let t = s; t.replace(\"x\", s); t",
        "let t = s; t.replace('x', s); t",
        "let t = s; t.replace(\"\", s); t",
        "loop { s.split(\"x\"); }",
        "let n = []; loop { n = [n]; }",
        "let n = #{}; loop { n = #{ n: n }; }",
    ] {
        let script = format!("fn decide(c) {{ {list} {body} }}");
        let started = Instant::now();
        let verdict = decide_with(&script, &default_settings());
        let held = started.elapsed();
        assert_eq!(verdict, PluginVerdict::Reject(1000.0), "{body}");
        assert!(held <= MAX_HOLD, "{body}: {held:?}");
    }
}

/// A function pointer that is curried with itself doubles with each call, in one operation that no limit
/// ends. The script must not load, or the call must fail.
#[test]
fn function_pointer_cannot_be_curried_with_itself() {
    let settings = default_settings();
    let curried = "fn decide(c) { let f = Fn(\"x\"); loop { f = f.curry(f); } }";
    let error = Plugin::new(&settings, "hook.rhai".into(), curried)
        .err()
        .unwrap()
        .to_string();
    assert!(error.starts_with("hook.rhai, line 1: "), "{error}");
    let by_name = "fn decide(c) { let f = Fn(\"x\"); loop { f = Fn(\"curry\").call(f, f); } }";
    let verdict = decide_with(by_name, &settings);
    assert_eq!(verdict, PluginVerdict::Reject(1000.0));
}

/// Constants that each contain the one before twice are evaluated at load if the compiler optimizes:
/// 26 of them took all memory. The script must load at once, and fail on a request.
#[test]
fn constants_that_double_in_size_are_not_evaluated_at_load() {
    let doubled = |i: usize| format!("const A{i} = [A{0}, A{0}];", i - 1);
    let constants: String = (1..22).map(doubled).collect();
    let script = format!("fn decide(c) {{ const A0 = [1, 2]; {constants} }}");
    let started = Instant::now();
    let verdict = decide_with(&script, &default_settings());
    let held = started.elapsed();
    assert_eq!(verdict, PluginVerdict::Reject(1000.0));
    assert!(held <= MAX_HOLD, "{held:?}");
}

/// `replace` is bounded by its result: it must work as before where the result is short enough.
#[test]
fn replace_gives_the_same_results_within_the_bound() {
    let script = r#"fn decide(c) {
        let a = "abcabc"; a.replace("bc", "-");
        let b = "abcabc"; b.replace('b', "12");
        let d = "abc"; d.replace("", ".");
        let e = "abc"; e.replace('b', 'x');
        let f = "abc"; f.replace("bc", 'y');
        let g = ""; g.replace("", "z");
        #{ notes: #{ a: a, b: b, d: d, e: e, f: f, g: g } }
    }"#;
    let expected = [
        ("a", "a-a-"),
        ("b", "a12ca12c"),
        ("d", ".a.b.c."),
        ("e", "axc"),
        ("f", "ay"),
        ("g", ""),
    ];
    let notes = expected.map(|(name, value)| (name.to_string(), value.to_string()));
    let verdict = decide_with(script, &default_settings());
    assert_eq!(verdict, PluginVerdict::Pass(notes.to_vec()));
}

/// The script's path names a pipe, which nobody writes to, or a file that is too long to be compiled in
/// time. Loading must fail at once.
#[test]
fn script_that_is_no_regular_file_or_too_long_is_not_read() {
    let folder = std::env::temp_dir().join(format!("driftgap-script-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut make_pipe = std::process::Command::new("mkfifo");
    let made = make_pipe.arg(folder.join("pipe.rhai")).status().unwrap();
    assert!(made.success());
    std::fs::write(folder.join("long.rhai"), "// ".repeat(30_000)).unwrap();
    for (name, expected) in [("pipe.rhai", "regular file"), ("long.rhai", "65536 bytes")] {
        let settings = PluginSettings {
            script: name.into(),
            ..default_settings()
        };
        let error = Plugin::load(&settings, &folder).err().unwrap().to_string();
        assert!(error.contains(name) && error.contains(expected), "{error}");
    }
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn load_error_names_the_script_and_the_line() {
    let load = |text| {
        Plugin::new(&settings(OnError::Pass), "hook.rhai".into(), text)
            .err()
            .unwrap()
    };
    assert!(load("fn decide(c) {\n  let x = ;\n}")
        .to_string()
        .starts_with("hook.rhai, line 2: "));
    assert!(load("fn other(c) {}")
        .to_string()
        .contains("no function decide(command)"));
    assert!(load("fn decide(c) { eval(\"1\") }")
        .to_string()
        .starts_with("hook.rhai, line 1: "));
}
