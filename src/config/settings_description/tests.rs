use super::*;

/// A setting is added in one place only. The table here and the one in the operators' page must
/// both list every key of the stage's settings file, with the same text.
#[test]
fn every_setting_is_in_this_table_and_in_the_operators_page() {
    let settings: Value =
        serde_json::from_str(include_str!("../../../tests/stage/settings.json")).unwrap();
    assert_eq!(unknown(&settings), Vec::<String>::new());
    let page = include_str!("../../../docs/deployments.md");
    for SettingDescription { key, reader } in SETTINGS {
        assert!(
            page.contains(&format!("| `{key}` | {reader} |")),
            "{key} is not in docs/deployments.md with the same text"
        );
    }
}

/// A key of the platform's file is misspelt, so that its value is ignored. `driftgap check` must
/// name it, once for all items of a list.
#[test]
fn unknown_keys_are_named_once() {
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
