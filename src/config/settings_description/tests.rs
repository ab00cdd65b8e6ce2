use super::*;

#[test]
fn every_setting_has_its_line_here_and_in_the_operators_page() {
    let settings: Value =
        serde_json::from_str(include_str!("../../../tests/stage/settings.json")).unwrap();
    assert_eq!(unknown(&settings), Vec::<String>::new());
    let page = include_str!("../../../docs/deployments.md");
    for SettingDescription { key, reader } in SETTINGS {
        assert!(
            page.contains(&format!("| `{key}` | {reader} |")),
            "{key} is not in docs/deployments.md as here"
        );
    }
}

/// A key of the platform's file is misspelt, so that its value counts for nothing: `driftgap check` names it, once
/// for all items of a list.
#[test]
fn keys_that_nobody_knows_are_named_once() {
    let settings = serde_json::json!({
        "rules": {"drain_grase": 1, "warm_up": 1},
        "plans": [{"rate": 1}, {"rate": 2, "name": "x"}],
        "charges": {"anything": 1},
        "tempo": {"a": 1}
    });
    let mut unknown = unknown(&settings);
    unknown.sort();
    assert_eq!(unknown, ["plans[].rate", "rules.drain_grase", "tempo"]);
}
