use super::*;
use crate::decision::EndpointState;
use std::collections::BTreeMap;
use std::path::PathBuf;

fn inventory(name: &str) -> (Inventory, PathBuf) {
    let path = std::env::temp_dir().join(format!(
        "driftgap-inventory-{}-{name}.csv",
        std::process::id()
    ));
    let settings = InventorySettings {
        file: path.clone(),
        columns: BTreeMap::new(),
        shorter: 0.3,
        taken_out: 0.3,
        confirm_after_ms: 5000.0,
    };
    (Inventory::new(settings, Path::new("")), path)
}

fn list(hosts: std::ops::Range<u8>, state: &str) -> String {
    let rows = hosts.map(|i| format!("n{i},10.0.0.{i}:1,{state}\n"));
    format!("name,address,state\n{}", rows.collect::<String>())
}

/// A configuration tool writes only half of its list, in valid form; half of the endpoints would
/// drain at once. The list must be applied only after it has been read again, unchanged, some time
/// later. A different list in between restarts the wait.
#[test]
fn suspicious_list_is_applied_only_when_read_again_unchanged_later() {
    let (mut inventory, path) = inventory("suspicious");
    let mut registry = EndpointRegistry::new(vec![]);
    let mut load = |text: &str, now: f64| {
        std::fs::write(&path, text).unwrap();
        inventory
            .load(&mut registry, now)
            .map(|(entries, _)| entries.len())
    };
    assert_eq!(load(&list(0..20, "active"), 0.0).unwrap(), 20);
    let half = list(0..10, "active");
    assert!(matches!(
        load(&half, 1000.0),
        Err(InventoryError::Unconfirmed(_))
    ));
    assert!(matches!(
        load(&half, 5000.0),
        Err(InventoryError::Unconfirmed(_))
    ));
    // A different list in between restarts the wait.
    assert_eq!(load(&list(0..19, "active"), 5500.0).unwrap(), 20);
    assert!(matches!(
        load(&half, 6500.0),
        Err(InventoryError::Unconfirmed(_))
    ));
    assert_eq!(
        load(&half, 11_500.0).unwrap(),
        19,
        "ten hosts of the list and nine that drain"
    );
    std::fs::remove_file(&path).unwrap();
}

/// An operator saves a list with an invalid address in two rows. The error must name the first and
/// the number of further errors, and the endpoints in service must not change.
#[test]
fn host_states_reach_the_registry_and_an_invalid_file_changes_nothing() {
    let (mut inventory, path) = inventory("states");
    let mut registry = EndpointRegistry::new(vec!["z".into()]);
    std::fs::write(
        &path,
        "name,address,state,started\na,10.0.0.1:1,active,7\nb,10.0.0.2:1,draining,\nc,10.0.0.3:1,out,\n",
    )
    .unwrap();
    let (entries, _) = inventory.load(&mut registry, 0.0).unwrap();
    let states: Vec<(EndpointState, f64)> =
        entries.iter().map(|e| (e.state, e.started_at)).collect();
    assert_eq!(
        states,
        [
            (EndpointState::Ready, 7.0),
            (EndpointState::Draining, 0.0),
            (EndpointState::Gone, 0.0)
        ]
    );
    std::fs::write(&path, "name,address\na,10.0.0.1:1\nb,here\nc,there\n").unwrap();
    let error = inventory.load(&mut registry, 0.0).unwrap_err();
    assert!(
        error.to_string().contains("row 3: address") && error.to_string().ends_with("(and 1 more)"),
        "{error}"
    );
    assert_eq!(error.lines().len(), 1, "{:?}", error.lines());
    std::fs::remove_file(&path).unwrap();
}
