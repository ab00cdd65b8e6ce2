use super::*;

/// A process is started beside another, and the older one is killed. The younger has to see that it is alone, and may
/// use all descriptors again, though nobody told it.
#[test]
fn two_processes_see_each_other_and_the_last_is_alone() {
    let base = std::env::temp_dir().join(format!("driftgap-beside-{}", std::process::id()));
    let open = || ProcessTakeover::open(&base, "n0").unwrap();
    let old = open();
    assert!(!old.peer_runs() && !old.peer_runs());
    let new = open();
    assert!(new.peer_runs() && old.peer_runs() && new.peer_runs() && old.peer_runs());
    let third = open();
    assert!(third.peer_runs());
    drop(old);
    assert!(!new.peer_runs(), "the next look of the third has not come");
    assert!(third.peer_runs() && new.peer_runs());
    drop(new);
    assert!(!third.peer_runs() && !third.peer_runs());
    std::fs::remove_dir_all(&base).unwrap();
}

/// The folder cannot be written, or is removed while the process runs. Staff have been told that their call holds at
/// least here, and the next call makes the folder again.
#[test]
fn names_go_over_as_they_are_and_what_cannot_be_written_holds_here() {
    let base = std::env::temp_dir().join(format!("driftgap-handover-{}", std::process::id()));
    let (old, new) = (
        ProcessTakeover::open(&base, "n/0").unwrap(),
        ProcessTakeover::open(&base, "n/0").unwrap(),
    );
    let names = ["s-1", "../../etc/x", "a b", "ü"];
    names.iter().for_each(|name| old.keep(name, true).unwrap());
    std::fs::write(old.path.join("no hex"), "").unwrap();
    assert_eq!(new.read().unwrap(), names.map(String::from).into());
    new.keep("s-1", false).unwrap();
    new.keep("s-1", false).unwrap();
    assert!(!old.read().unwrap().contains("s-1"));
    assert!(ProcessTakeover::open(&base, "n1")
        .unwrap()
        .read()
        .unwrap()
        .is_empty());
    // A folder in the place of the file: it can be neither made nor removed.
    std::fs::create_dir(old.path.join(file_name("s-9"))).unwrap();
    assert!(old.keep("s-9", false).is_err() && !old.read().unwrap().contains("s-9"));
    assert!(old.keep("s-9", true).is_err() && old.read().unwrap().contains("s-9"));
    std::fs::remove_dir_all(&base).unwrap();
    assert!(old.read().is_err());
    old.keep("s-8", true).unwrap();
    assert!(new.read().unwrap().contains("s-8"));
    std::fs::remove_dir_all(&base).unwrap();
}
