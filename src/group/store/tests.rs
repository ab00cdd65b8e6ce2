//! A member's folder on disks that fail, lose what was not synced, or change bits.

use super::*;
use driftgap_group::HardRecord;
use oorandom::Rand64;
use std::sync::{Arc, Mutex};

/// A disk that loses what was not synced when the power goes, as a whole or in parts, and fails when told to.
#[derive(Debug, Default)]
struct Platter {
    now: Vec<u8>,
    safe: Vec<u8>,
    /// Writes since the last sync.
    loose: Vec<(u64, Vec<u8>)>,
    /// So many writes and syncs are still done.
    left: Option<u64>,
    no_room: bool,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Platter>>);

impl Platter {
    fn use_up(&mut self) -> std::io::Result<()> {
        match &mut self.left {
            Some(0) => Err(std::io::Error::other("the disk is gone")),
            Some(left) => {
                *left -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().unwrap().now.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let disk = self.0.lock().unwrap();
        let at = offset as usize;
        let bytes = disk
            .now
            .get(at..at + out.len())
            .ok_or(std::io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.use_up()?;
        if disk.no_room && len as usize > disk.now.len() {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        disk.now.resize(len as usize, 0);
        // The length is kept with the next sync, and what is written before that may be beyond the old end.
        disk.safe.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.use_up()?;
        disk.safe = disk.now.clone();
        disk.loose.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.use_up()?;
        disk.now[offset as usize..][..data.len()].copy_from_slice(data);
        disk.loose.push((offset, data.to_vec()));
        Ok(())
    }
}

impl Disk {
    /// The power goes: of what was not synced some sectors are there, in any order.
    fn power_cut(&self, rand: &mut Rand64) -> Disk {
        let disk = self.0.lock().unwrap();
        let mut bytes = disk.safe.clone();
        for (offset, data) in &disk.loose {
            for (i, sector) in data.chunks(512).enumerate() {
                if rand.rand_range(0..2) == 0 {
                    bytes[*offset as usize + 512 * i..][..sector.len()].copy_from_slice(sector);
                }
            }
        }
        Disk(Arc::new(Mutex::new(Platter {
            now: bytes.clone(),
            safe: bytes,
            ..Platter::default()
        })))
    }
}

fn identity() -> Identity {
    Identity::new(7, "m0", 1, 1)
}

fn batch(index: u64, rand: &mut Rand64) -> Batch {
    let data = vec![index as u8; 1 + rand.rand_range(0..3000) as usize];
    let entry = EntryRecord {
        kind: 0,
        term: 1,
        index,
        data,
        context: Vec::new(),
    };
    let hard = Some(HardRecord {
        term: 1,
        vote: 0,
        commit: index,
    });
    Batch {
        entries: vec![entry],
        hard,
        ..Batch::default()
    }
}

fn begun(disk: &Disk) -> Result<Store, StoreError> {
    let mut store = Store::on(disk.clone())?;
    store.begin(&identity(), &StoredMember::first(7, "m0", "10.0.0.1:1", 1))?;
    Ok(store)
}

#[test]
fn what_was_written_is_there_after_the_power_went_and_half_a_batch_never_is() {
    for seed in 0..300 {
        let mut rand = Rand64::new(seed);
        let disk = Disk::default();
        let mut store = begun(&disk).unwrap();
        disk.0.lock().unwrap().left = Some(rand.rand_range(1..120));
        let mut held = vec![];
        let mut tried = None;
        for index in 2..40 {
            let batch = batch(index, &mut rand);
            if store.write(&batch).is_err() {
                tried = Some(batch);
                break;
            }
            held.extend(batch.entries);
        }
        let after = disk.power_cut(&mut rand);
        let loaded = Store::on(after)
            .and_then(|s| s.load())
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let with: Vec<EntryRecord> = held
            .iter()
            .chain(tried.iter().flat_map(|b| &b.entries))
            .cloned()
            .collect();
        assert!(
            loaded.entries == held || loaded.entries == with,
            "seed {seed}"
        );
        let commit = loaded.entries.last().map_or(1, |e| e.index);
        assert_eq!(loaded.hard.commit, commit, "seed {seed}: a batch is whole");
    }
}

#[test]
fn a_write_that_failed_is_not_tried_again_as_though_nothing_were() {
    for (left, no_room) in [(Some(0), false), (Some(1), false), (None, true)] {
        let disk = Disk::default();
        let mut rand = Rand64::new(1);
        let mut store = begun(&disk).unwrap();
        (disk.0.lock().unwrap().left, disk.0.lock().unwrap().no_room) = (left, no_room);
        let large = |index| {
            let mut batch = batch(index, &mut Rand64::new(index.into()));
            batch.entries[0].data = vec![1; 4 << 20];
            batch
        };
        let failed = (2..40).find(|index| store.write(&large(*index)).is_err());
        assert!(failed.is_some(), "{left:?} {no_room}");
        (disk.0.lock().unwrap().left, disk.0.lock().unwrap().no_room) = (None, false);
        let again = store.write(&batch(failed.unwrap(), &mut rand));
        assert!(
            again.is_err(),
            "the disk is well again, and what it lost is not known"
        );
    }
}

#[test]
fn a_bit_that_has_turned_is_found_or_does_not_matter() {
    let disk = Disk::default();
    let mut rand = Rand64::new(3);
    let mut store = begun(&disk).unwrap();
    (2..30).for_each(|index| store.write(&batch(index, &mut rand)).unwrap());
    let want = store.load().unwrap();
    drop(store);
    let whole = disk.0.lock().unwrap().now.clone();
    let (mut found, mut same) = (0, 0);
    for seed in 0..400 {
        let mut rand = Rand64::new(seed);
        let mut bytes = whole.clone();
        let at = rand.rand_range(0..bytes.len() as u64) as usize;
        bytes[at] ^= 1 << rand.rand_range(0..8);
        let spoilt = Disk(Arc::new(Mutex::new(Platter {
            now: bytes.clone(),
            safe: bytes,
            ..Platter::default()
        })));
        // The store's own checks may stop at a page that makes no sense.
        let read = std::panic::catch_unwind(|| Store::on(spoilt).and_then(|s| s.load()));
        match read {
            Ok(Ok(loaded)) => {
                assert_eq!(loaded, want, "seed {seed}, byte {at}");
                same += 1;
            }
            _ => found += 1,
        }
    }
    println!("of 400 bits {found} were found, {same} were in nobody's way");
    assert!(found > 0 && same > 0);
}

#[test]
fn folders_of_others_and_of_newer_programs_are_refused() {
    let disk = Disk::default();
    let store = begun(&disk).unwrap();
    assert_eq!(
        store.identity("m0", NEWEST_FOLDER_FORMAT).unwrap(),
        Some(identity())
    );
    assert!(matches!(
        store.identity("m1", NEWEST_FOLDER_FORMAT),
        Err(StoreError::Member { .. })
    ));
    let mut store = store;
    // A folder goes up with the log in it, and is of the oldest form until then.
    assert_eq!(store.format().unwrap(), Some(1));
    store
        .write(&Batch {
            format_version: Some(2),
            ..Batch::default()
        })
        .unwrap();
    assert!(matches!(
        store.identity("m0", 1),
        Err(StoreError::Form {
            format: 2,
            allowed: 1,
            ..
        })
    ));
    assert!(matches!(
        store.begin(&identity(), &StoredMember::default()),
        Err(StoreError::Taken(_))
    ));
    store
        .commit(Durability::Immediate, |head, _| {
            put(head, FORMAT_KEY, &(NEWEST_FOLDER_FORMAT + 1))
        })
        .unwrap();
    assert!(matches!(
        store.identity("m0", NEWEST_FOLDER_FORMAT),
        Err(StoreError::Newer(..))
    ));
}
