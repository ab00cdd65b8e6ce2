//! Tests of the store on disks that fail, lose unsynced writes, or change bits.

use super::*;
use driftgap_group::HardRecord;
use oorandom::Rand64;
use std::sync::{Arc, Mutex};

/// The state of a simulated disk. A power cut loses unsynced writes as a whole or in part, and the
/// disk fails after a given number of operations.
#[derive(Debug, Default)]
struct DiskState {
    current: Vec<u8>,
    synced: Vec<u8>,
    /// Writes since the last sync.
    unsynced: Vec<(u64, Vec<u8>)>,
    /// The number of writes and syncs that still succeed. `None` for no limit.
    remaining_operations: Option<u64>,
    is_full: bool,
}

#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<DiskState>>);

impl DiskState {
    fn use_operation(&mut self) -> std::io::Result<()> {
        match &mut self.remaining_operations {
            Some(0) => Err(std::io::Error::other("the disk is gone")),
            Some(remaining_operations) => {
                *remaining_operations -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> std::io::Result<u64> {
        Ok(self.0.lock().unwrap().current.len() as u64)
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> std::io::Result<()> {
        let disk = self.0.lock().unwrap();
        let at = offset as usize;
        let bytes = disk
            .current
            .get(at..at + out.len())
            .ok_or(std::io::ErrorKind::UnexpectedEof)?;
        out.copy_from_slice(bytes);
        Ok(())
    }
    fn set_len(&self, len: u64) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.use_operation()?;
        if disk.is_full && len as usize > disk.current.len() {
            return Err(std::io::ErrorKind::StorageFull.into());
        }
        disk.current.resize(len as usize, 0);
        // The synced copy is resized as well, since unsynced writes may lie beyond the old end.
        disk.synced.resize(len as usize, 0);
        Ok(())
    }
    fn sync_data(&self) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.use_operation()?;
        disk.synced = disk.current.clone();
        disk.unsynced.clear();
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> std::io::Result<()> {
        let mut disk = self.0.lock().unwrap();
        disk.use_operation()?;
        disk.current[offset as usize..][..data.len()].copy_from_slice(data);
        disk.unsynced.push((offset, data.to_vec()));
        Ok(())
    }
}

impl Disk {
    /// Simulates a power cut: an arbitrary subset of the unsynced sectors is on the disk.
    fn power_cut(&self, rand: &mut Rand64) -> Disk {
        let disk = self.0.lock().unwrap();
        let mut bytes = disk.synced.clone();
        for (offset, data) in &disk.unsynced {
            for (i, sector) in data.chunks(512).enumerate() {
                if rand.rand_range(0..2) == 0 {
                    bytes[*offset as usize + 512 * i..][..sector.len()].copy_from_slice(sector);
                }
            }
        }
        Disk(Arc::new(Mutex::new(DiskState {
            current: bytes.clone(),
            synced: bytes,
            ..DiskState::default()
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

fn initialized_store(disk: &Disk) -> Result<Store, StoreError> {
    let mut store = Store::with_backend(disk.clone())?;
    store.begin(&identity(), &StoredMember::first(7, "m0", "10.0.0.1:1", 1))?;
    Ok(store)
}

/// A power cut loses unsynced writes, or keeps some of their sectors. A batch that was written must
/// be loaded afterwards, and a batch whose write failed must be loaded as a whole or not at all.
#[test]
fn batches_survive_a_power_cut_whole_or_not_at_all() {
    for seed in 0..300 {
        let mut rand = Rand64::new(seed);
        let disk = Disk::default();
        let mut store = initialized_store(&disk).unwrap();
        disk.0.lock().unwrap().remaining_operations = Some(rand.rand_range(1..120));
        let mut written = vec![];
        let mut failed_batch = None;
        for index in 2..40 {
            let batch = batch(index, &mut rand);
            if store.write(&batch).is_err() {
                failed_batch = Some(batch);
                break;
            }
            written.extend(batch.entries);
        }
        let disk_after_cut = disk.power_cut(&mut rand);
        let loaded = Store::with_backend(disk_after_cut)
            .and_then(|s| s.load())
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let with_failed_batch: Vec<EntryRecord> = written
            .iter()
            .chain(failed_batch.iter().flat_map(|b| &b.entries))
            .cloned()
            .collect();
        assert!(
            loaded.entries == written || loaded.entries == with_failed_batch,
            "seed {seed}"
        );
        let commit = loaded.entries.last().map_or(1, |e| e.index);
        assert_eq!(
            loaded.hard.commit, commit,
            "seed {seed}: a batch must be loaded whole"
        );
    }
}

/// After a failed write the disk may work again, but what it lost is unknown. A second try would not
/// restore it, so the store must refuse every further write.
#[test]
fn writes_after_a_failed_write_are_refused() {
    for (remaining_operations, is_full) in [(Some(0), false), (Some(1), false), (None, true)] {
        let disk = Disk::default();
        let mut rand = Rand64::new(1);
        let mut store = initialized_store(&disk).unwrap();
        (
            disk.0.lock().unwrap().remaining_operations,
            disk.0.lock().unwrap().is_full,
        ) = (remaining_operations, is_full);
        let large = |index| {
            let mut batch = batch(index, &mut Rand64::new(index.into()));
            batch.entries[0].data = vec![1; 4 << 20];
            batch
        };
        let failed = (2..40).find(|index| store.write(&large(*index)).is_err());
        assert!(failed.is_some(), "{remaining_operations:?} {is_full}");
        (
            disk.0.lock().unwrap().remaining_operations,
            disk.0.lock().unwrap().is_full,
        ) = (None, false);
        let second_write = store.write(&batch(failed.unwrap(), &mut rand));
        assert!(
            second_write.is_err(),
            "the disk works again, but what it lost is unknown"
        );
    }
}

/// A disk may return a changed bit. The store must report the damage, unless the loaded member is the
/// same because the bit lies in unused space.
#[test]
fn a_flipped_bit_is_detected_or_has_no_effect() {
    let disk = Disk::default();
    let mut rand = Rand64::new(3);
    let mut store = initialized_store(&disk).unwrap();
    (2..30).for_each(|index| store.write(&batch(index, &mut rand)).unwrap());
    let expected = store.load().unwrap();
    drop(store);
    let original_bytes = disk.0.lock().unwrap().current.clone();
    let (mut detected, mut unaffected) = (0, 0);
    for seed in 0..400 {
        let mut rand = Rand64::new(seed);
        let mut bytes = original_bytes.clone();
        let at = rand.rand_range(0..bytes.len() as u64) as usize;
        bytes[at] ^= 1 << rand.rand_range(0..8);
        let damaged = Disk(Arc::new(Mutex::new(DiskState {
            current: bytes.clone(),
            synced: bytes,
            ..DiskState::default()
        })));
        // The database's own checks may panic at a damaged page.
        let read = std::panic::catch_unwind(|| Store::with_backend(damaged).and_then(|s| s.load()));
        match read {
            Ok(Ok(loaded)) => {
                assert_eq!(loaded, expected, "seed {seed}, byte {at}");
                unaffected += 1;
            }
            _ => detected += 1,
        }
    }
    println!("of 400 flipped bits {detected} were detected, {unaffected} had no effect");
    assert!(detected > 0 && unaffected > 0);
}

/// A folder may belong to another member, or have a newer format version than the program or the
/// settings allow. A member must not use it, and a folder that holds a member must not be initialized.
#[test]
fn folders_of_other_members_and_newer_formats_are_refused() {
    let disk = Disk::default();
    let store = initialized_store(&disk).unwrap();
    assert_eq!(
        store.identity("m0", NEWEST_FOLDER_FORMAT).unwrap(),
        Some(identity())
    );
    assert!(matches!(
        store.identity("m1", NEWEST_FOLDER_FORMAT),
        Err(StoreError::OtherMember { .. })
    ));
    let mut store = store;
    // A folder starts in the oldest format version, and is raised together with the log in it.
    assert_eq!(store.format().unwrap(), Some(1));
    store
        .write(&Batch {
            format_version: Some(2),
            ..Batch::default()
        })
        .unwrap();
    assert!(matches!(
        store.identity("m0", 1),
        Err(StoreError::FormatNotAllowed {
            format: 2,
            allowed: 1,
            ..
        })
    ));
    assert!(matches!(
        store.begin(&identity(), &StoredMember::default()),
        Err(StoreError::AlreadyInitialized(_))
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
