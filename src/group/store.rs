//! A member's folder: who it is, what it has promised, its log and its last state, in an embedded store. It owns their
//! form on the disk and every judgement on it. It must never say that something is written before the disk has said
//! so, go on after a write that failed (what was in memory may be gone, and a second try would not bring it back), or
//! use a record whose checksum differs.

use driftgap_group::{
    Batch, EntryRecord, HardRecord, Loaded, LogPosition, SnapshotRecord, State, NEWEST_FORMAT,
    OLDEST_FORMAT,
};
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageBackend,
    TableDefinition,
};
use serde::{de::DeserializeOwned, Deserialize, Serialize};
use std::path::{Path, PathBuf};

/// The newest form of a folder that this program reads. It is the form of the log in it, and goes up with that: until
/// then an older program may go on with the folder.
pub const FORMAT: u32 = NEWEST_FORMAT as u32;
const FILE: &str = "group.redb";
/// What the store may keep in memory beside what is on the disk, bytes.
const CACHE: usize = 2 << 20;
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");

/// Whose folder it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The form of this record.
    pub format: u32,
    /// The group.
    pub group: u64,
    /// The member's name.
    pub name: String,
    /// Its incarnation.
    pub id: u64,
    /// Drawn with the folder.
    pub nonce: u64,
}

impl Identity {
    /// A new folder's.
    pub fn new(group: u64, name: &str, id: u64, nonce: u64) -> Identity {
        Identity {
            format: 1,
            group,
            name: name.into(),
            id,
            nonce,
        }
    }
}

/// Why a folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process uses it.
    #[error("{0}: another process uses this folder")]
    Held(PathBuf),
    /// A newer program wrote it.
    #[error("{0}: written by a newer program (form {1}, this one knows {FORMAT})")]
    Newer(PathBuf, u32),
    /// It is of a newer form than the settings allow.
    #[error("{0}: of form {1}, and group.form allows {2} at most")]
    Form(PathBuf, u32, u32),
    /// It belongs to another member.
    #[error("{0}: the folder of member {1}, not of {2}")]
    Member(PathBuf, String, String),
    /// It belongs to another group.
    #[error("{0}: the folder of another group")]
    Group(PathBuf),
    /// It holds a member already.
    #[error("{0}: holds a member already")]
    Taken(PathBuf),
    /// Nothing is there.
    #[error("{0}: holds no member")]
    Empty(PathBuf),
    /// A record is spoilt or missing.
    #[error("record {0}: torn or spoilt")]
    Spoilt(String),
    /// The store or the disk refuses.
    #[error("{0}")]
    Disk(String),
}

fn disk(e: impl std::fmt::Display) -> StoreError {
    StoreError::Disk(e.to_string())
}

/// A record with its checksum before it.
fn sealed<T: Serialize>(value: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(value).unwrap_or_default();
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend(body);
    bytes
}

fn opened<T: DeserializeOwned>(name: &str, bytes: &[u8]) -> Result<T, StoreError> {
    let whole = bytes.split_first_chunk::<4>();
    let whole = whole.filter(|(sum, body)| crc32fast::hash(body) == u32::from_le_bytes(**sum));
    let value = whole.and_then(|(_, body)| postcard::from_bytes(body).ok());
    value.ok_or_else(|| StoreError::Spoilt(name.to_string()))
}

/// A folder that this process holds.
pub struct Store {
    database: Database,
    path: PathBuf,
    /// A write has failed: nothing is written any more.
    broken: bool,
}

impl Store {
    /// Opens the folder, made if it is not there, for this process alone.
    ///
    /// # Errors
    /// Another process has it, or the disk refuses.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder).map_err(|e| disk(format!("{}: {e}", folder.display())))?;
        let path = folder.join(FILE);
        let database = Builder::new()
            .set_cache_size(CACHE)
            .create(&path)
            .map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => StoreError::Held(folder.to_path_buf()),
                e => disk(format!("{}: {e}", path.display())),
            })?;
        Ok(Store {
            database,
            path: folder.to_path_buf(),
            broken: false,
        })
    }

    /// The same on any storage, as tests have it that fails.
    ///
    /// # Errors
    /// It refuses.
    pub fn on(backend: impl StorageBackend) -> Result<Store, StoreError> {
        let database = Builder::new()
            .set_cache_size(CACHE)
            .create_with_backend(backend)
            .map_err(disk)?;
        Ok(Store {
            database,
            path: PathBuf::new(),
            broken: false,
        })
    }

    fn head<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        let read = self.database.begin_read().map_err(disk)?;
        let table = match read.open_table(HEAD) {
            Ok(table) => table,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(disk(e)),
        };
        let value = table.get(key).map_err(disk)?;
        value.map(|value| opened(key, value.value())).transpose()
    }

    /// Its form; none: it is nobody's yet.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn format(&self) -> Result<Option<u32>, StoreError> {
        self.head("format")
    }

    /// Whose it is; none: nobody's yet. `newest`: the newest form that is allowed.
    ///
    /// # Errors
    /// It is another member's or of a newer form, or cannot be read.
    pub fn identity(&self, name: &str, newest: u32) -> Result<Option<Identity>, StoreError> {
        // The form comes first, by itself: what follows it may look different in another one.
        match self.format()? {
            Some(format) if format > FORMAT => {
                return Err(StoreError::Newer(self.path.clone(), format))
            }
            Some(format) if format > newest => {
                return Err(StoreError::Form(self.path.clone(), format, newest))
            }
            _ => {}
        }
        let identity: Option<Identity> = self.head("identity")?;
        match identity {
            Some(held) if held.name != name => Err(StoreError::Member(
                self.path.clone(),
                held.name,
                name.into(),
            )),
            held => Ok(held),
        }
    }

    /// Makes it a member's, with what that begins with.
    ///
    /// # Errors
    /// It is a member's already, or the disk refuses.
    pub fn begin(&mut self, identity: &Identity, loaded: &Loaded) -> Result<(), StoreError> {
        if self.head::<u32>("format")?.is_some() {
            return Err(StoreError::Taken(self.path.clone()));
        }
        let form = State::decode(&loaded.snapshot.data).map_or(OLDEST_FORMAT, |state| state.form());
        self.commit(true, |head, _| {
            head.insert("format", sealed(&u32::from(form)).as_slice())?;
            head.insert("identity", sealed(identity).as_slice())?;
            head.insert("hard", sealed(&loaded.hard).as_slice())?;
            head.insert("snapshot", sealed(&loaded.snapshot).as_slice())?;
            head.insert("cut", sealed(&loaded.compacted).as_slice())?;
            Ok(())
        })
    }

    /// What it holds.
    ///
    /// # Errors
    /// A record is spoilt, or none of it is there.
    pub fn load(&self) -> Result<Loaded, StoreError> {
        let identity: Identity = self
            .head("identity")?
            .ok_or_else(|| StoreError::Empty(self.path.clone()))?;
        let missing = |key: &str| StoreError::Spoilt(key.to_string());
        let hard: HardRecord = self.head("hard")?.ok_or_else(|| missing("hard"))?;
        let snapshot: SnapshotRecord = self.head("snapshot")?.ok_or_else(|| missing("snapshot"))?;
        let compacted: LogPosition = self.head("cut")?.ok_or_else(|| missing("cut"))?;
        let mut entries = Vec::new();
        let read = self.database.begin_read().map_err(disk)?;
        match read.open_table(LOG) {
            Ok(table) => {
                for entry in table.iter().map_err(disk)? {
                    let (index, bytes) = entry.map_err(disk)?;
                    let name = format!("{} of the log", index.value());
                    let entry: EntryRecord = opened(&name, bytes.value())?;
                    if entry.index != index.value() {
                        return Err(StoreError::Spoilt(name));
                    }
                    entries.push(entry);
                }
            }
            Err(redb::TableError::TableDoesNotExist(_)) => {}
            Err(e) => return Err(disk(e)),
        }
        Ok(Loaded {
            group: identity.group,
            id: identity.id,
            hard,
            snapshot,
            compacted,
            entries,
        })
    }

    /// Writes a batch in one piece. It is on the disk when this returns.
    ///
    /// # Errors
    /// The disk refuses, now or before: nothing may be said that follows from the batch.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        self.commit(
            batch.must_sync() || batch.compacted.is_some(),
            |head, log| {
                if let Some(restored) = &batch.restored {
                    log.retain(|_, _| false)?;
                    head.insert("snapshot", sealed(restored).as_slice())?;
                    head.insert("cut", sealed(&restored.position()).as_slice())?;
                }
                if let Some(first) = batch.entries.first() {
                    log.retain_in(first.index.., |_, _| false)?;
                }
                for entry in &batch.entries {
                    log.insert(entry.index, sealed(entry).as_slice())?;
                }
                if let Some(form) = batch.form {
                    head.insert("format", sealed(&u32::from(form)).as_slice())?;
                }
                if let Some(hard) = &batch.hard {
                    head.insert("hard", sealed(hard).as_slice())?;
                }
                if let Some(snapshot) = &batch.snapshot {
                    head.insert("snapshot", sealed(snapshot).as_slice())?;
                }
                if let Some(compacted) = &batch.compacted {
                    log.retain_in(..=compacted.index, |_, _| false)?;
                    head.insert("cut", sealed(compacted).as_slice())?;
                }
                Ok(())
            },
        )
    }

    fn commit(
        &mut self,
        sync: bool,
        write: impl FnOnce(
            &mut redb::Table<'_, &'static str, &'static [u8]>,
            &mut redb::Table<'_, u64, &'static [u8]>,
        ) -> Result<(), redb::StorageError>,
    ) -> Result<(), StoreError> {
        if self.broken {
            return Err(disk("an earlier write failed"));
        }
        let all = || -> Result<(), redb::Error> {
            let mut change = self.database.begin_write()?;
            change.set_durability(if sync {
                Durability::Immediate
            } else {
                Durability::None
            })?;
            {
                let mut head = change.open_table(HEAD)?;
                let mut log = change.open_table(LOG)?;
                write(&mut head, &mut log)?;
            }
            Ok(change.commit()?)
        };
        let done = all();
        self.broken = done.is_err();
        done.map_err(disk)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
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
        store.begin(&identity(), &Loaded::first(7, "m0", "10.0.0.1:1", 1))?;
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
        assert_eq!(store.identity("m0", FORMAT).unwrap(), Some(identity()));
        assert!(matches!(
            store.identity("m1", FORMAT),
            Err(StoreError::Member(..))
        ));
        let mut store = store;
        // A folder goes up with the log in it, and is of the oldest form until then.
        assert_eq!(store.format().unwrap(), Some(1));
        store
            .write(&Batch {
                form: Some(2),
                ..Batch::default()
            })
            .unwrap();
        assert!(matches!(
            store.identity("m0", 1),
            Err(StoreError::Form(_, 2, 1))
        ));
        assert!(matches!(
            store.begin(&identity(), &Loaded::default()),
            Err(StoreError::Taken(_))
        ));
        let newer = |head: &mut redb::Table<'_, &'static str, &'static [u8]>| {
            head.insert("format", sealed(&(FORMAT + 1)).as_slice())
                .map(drop)
        };
        store.commit(true, |head, _| newer(head)).unwrap();
        assert!(matches!(
            store.identity("m0", FORMAT),
            Err(StoreError::Newer(..))
        ));
    }
}
