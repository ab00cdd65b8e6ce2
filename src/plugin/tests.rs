use super::*;

const SETTINGS: &str = include_str!("../../tests/stage/settings.json");

fn settings(on_error: OnError) -> PluginSettings {
    PluginSettings {
        script: PathBuf::new(),
        on_error,
        operations: 5000,
        size: 1000,
    }
}

fn decide(script: &str, on_error: OnError) -> PluginVerdict {
    let config = format!(r#"{{"listen":"127.0.0.1:1","settings":{SETTINGS}}}"#);
    let platform = crate::config::settings::Config::parse(&config)
        .unwrap()
        .platform;
    let list = "c=book-rebroadcast,t=city,d=900,units=2,spread=1,first=0".to_string();
    let request = ClientRequest::new(&platform, "0000000000000007", "k1", list, None).unwrap();
    let plugin = Plugin::new(&settings(on_error), "hook.rhai".into(), script).unwrap();
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
