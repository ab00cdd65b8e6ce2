//! Tests of the follower's cached replica.

use super::*;

/// A crash may truncate the file, and a bad disk may change bits in it. A follower that accepted
/// such bytes would exclude endpoints that nobody excluded, so damage at any position must be
/// detected.
#[test]
fn truncated_or_corrupt_copy_is_rejected() {
    let copy = Replica {
        group: 7,
        applied: 12,
        excluded: ["a".to_string()].into(),
        ..Replica::default()
    };
    let bytes = encode(&copy);
    assert_eq!(decode(&bytes), Some(copy));
    for at in 0..bytes.len() {
        assert_eq!(decode(&bytes[..at]), None, "cut at byte {at}");
        let mut damaged = bytes.clone();
        damaged[at] ^= 4;
        assert_eq!(decode(&damaged), None, "bit changed in byte {at}");
    }
}

/// A follower that is killed after it reported an index as stored must restart with everything that
/// the group committed up to that index. The reported index must therefore never be ahead of the
/// copy on the disk.
#[test]
fn stored_index_advances_once_the_copy_is_written() {
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
    // An entry that does not change the replica needs no write.
    assert_eq!(writer.stored(11), Some(11));
    drop(writer);

    let missing_folder = CachedReplica {
        folder: folder.join("missing"),
        _lock: File::open(folder.join(LOCK_FILE)).unwrap(),
    };
    let mut writer = missing_folder.into_writer(Some(&copy(9, "b"))).unwrap();
    assert_eq!(writer.stored(9), Some(9), "an earlier process wrote it");
    writer.store(copy(12, "c"));
    assert_eq!(
        writer.stored(12),
        Some(9),
        "a copy that cannot be written is not reported as stored"
    );
    drop(writer);
    std::fs::remove_dir_all(&folder).unwrap();
}
