//! The follower's copy on its disk.

use super::*;

/// A file may be cut short by a crash or changed by a bad disk. A follower that took such bytes for a copy would keep
/// out endpoints that nobody excluded: it must find the damage wherever it is.
#[test]
fn a_copy_comes_back_whole_or_not_at_all() {
    let copy = Replica {
        group: 7,
        applied: 12,
        excluded: ["a".to_string()].into(),
        ..Replica::default()
    };
    let bytes = encode(&copy);
    assert_eq!(decode(&bytes), Some(copy));
    for at in 0..bytes.len() {
        assert_eq!(decode(&bytes[..at]), None, "cut at {at}");
        let mut spoilt = bytes.clone();
        spoilt[at] ^= 4;
        assert_eq!(decode(&spoilt), None, "a bit at {at}");
    }
}

/// What is shown as stored must be on the disk: a follower that is killed after it showed a number starts again with
/// all that the group had agreed on up to there.
#[test]
fn a_number_is_shown_as_stored_once_the_copy_is_on_the_disk() {
    let folder = std::env::temp_dir().join(format!("driftgap-copy-{}", std::process::id()));
    let copy = |applied, out: &str| Replica {
        group: 7,
        applied,
        excluded: [out.to_string()].into(),
        ..Replica::default()
    };
    let replica = CachedReplica::open(&folder).unwrap();
    let mut writer = replica.into_writer(None).unwrap();
    assert_eq!(writer.stored(0), None, "nothing is on the disk");
    writer.store(copy(5, "a"));
    writer.store(copy(9, "b"));
    while writer.stored(9) != Some(9) {
        std::thread::yield_now();
    }
    let bytes = std::fs::read(folder.join(COPY_FILE)).unwrap();
    assert_eq!(decode(&bytes), Some(copy(9, "b")));
    // An entry that changed nothing in the copy needs no write.
    assert_eq!(writer.stored(11), Some(11));
    drop(writer);

    let read_only = CachedReplica {
        folder: folder.join("missing"),
        _lock: File::open(folder.join(LOCK_FILE)).unwrap(),
    };
    let mut writer = read_only.into_writer(Some(&copy(9, "b"))).unwrap();
    assert_eq!(writer.stored(9), Some(9), "an earlier process wrote it");
    writer.store(copy(12, "c"));
    assert_eq!(
        writer.stored(12),
        Some(9),
        "what cannot be written is not stored"
    );
    drop(writer);
    std::fs::remove_dir_all(&folder).unwrap();
}
