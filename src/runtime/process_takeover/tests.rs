use super::*;

/// The older of two processes is killed and cannot announce its end. The newer one must detect that
/// it is alone, so that it uses all descriptors again.
#[test]
fn processes_detect_each_other_until_one_remains() {
    let base = std::env::temp_dir().join(format!("driftgap-beside-{}", std::process::id()));
    let open = || ProcessTakeover::open(&base, "n0").unwrap();
    let old = open();
    assert!(!old.peer_runs() && !old.peer_runs());
    let new = open();
    assert!(new.peer_runs() && old.peer_runs() && new.peer_runs() && old.peer_runs());
    let third = open();
    assert!(third.peer_runs());
    drop(old);
    assert!(!new.peer_runs(), "the third process has not checked yet");
    assert!(third.peer_runs() && new.peer_runs());
    drop(new);
    assert!(!third.peer_runs() && !third.peer_runs());
    std::fs::remove_dir_all(&base).unwrap();
}

/// The folder cannot be written, or is removed while the process runs. Operators were notified that
/// their call holds at least in this process, and the next call must create the folder again.
#[test]
fn any_name_is_shared_and_failed_writes_hold_locally() {
    let base = std::env::temp_dir().join(format!("driftgap-handover-{}", std::process::id()));
    let (old, new) = (
        ProcessTakeover::open(&base, "n/0").unwrap(),
        ProcessTakeover::open(&base, "n/0").unwrap(),
    );
    let names = ["s-1", "../../etc/x", "a b", "ü"];
    names
        .iter()
        .for_each(|name| old.persist(name, true).unwrap());
    std::fs::write(old.path.join("no hex"), "").unwrap();
    assert_eq!(new.read().unwrap(), names.map(String::from).into());
    new.persist("s-1", false).unwrap();
    new.persist("s-1", false).unwrap();
    assert!(!old.read().unwrap().contains("s-1"));
    assert!(ProcessTakeover::open(&base, "n1")
        .unwrap()
        .read()
        .unwrap()
        .is_empty());
    // A folder with the name of the file: the file can be neither created nor removed.
    std::fs::create_dir(old.path.join(file_name("s-9"))).unwrap();
    assert!(old.persist("s-9", false).is_err() && !old.read().unwrap().contains("s-9"));
    assert!(old.persist("s-9", true).is_err() && old.read().unwrap().contains("s-9"));
    std::fs::remove_dir_all(&base).unwrap();
    assert!(old.read().is_err());
    old.persist("s-8", true).unwrap();
    assert!(new.read().unwrap().contains("s-8"));
    std::fs::remove_dir_all(&base).unwrap();
}
