//! A member's folder: who it is, what it has promised, its log and its last snapshot, in an embedded store. It owns how
//! they are written, and every judgement on them. It must never say that something is written before the disk has said
//! so, go on after a write that failed (what was in memory may be gone, and a second try would not bring it back), or
//! use a record whose checksum differs.

mod error;
mod identity;
mod record;
#[cfg(test)]
mod tests;

pub use error::StoreError;
pub use identity::Identity;

use driftgap_group::{Batch, EntryRecord, State, StoredMember, NEWEST_FORMAT, OLDEST_FORMAT};
use error::disk_error;
use redb::{
    Builder, Database, DatabaseError, Durability, ReadableDatabase, ReadableTable, StorageBackend,
    StorageError, Table, TableDefinition, TableError,
};
use serde::de::DeserializeOwned;
use std::path::{Path, PathBuf};

/// The newest format version of a folder that this program reads. It is the format version of the log in it, and goes up
/// with that: until then an older program may go on with the folder.
pub const NEWEST_FOLDER_FORMAT: u32 = NEWEST_FORMAT as u32;
const DATABASE_FILE: &str = "group.redb";
/// What the store may keep in memory beside what is on the disk, bytes.
const CACHE_BYTES: usize = 2 << 20;
/// The entries of the log, by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// All other records, by the keys below. Names of tables and keys are on the disks of older versions.
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
const FORMAT_KEY: &str = "format";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";
const COMPACTED_KEY: &str = "cut";

type HeadTable<'a> = Table<'a, &'static str, &'static [u8]>;
type LogTable<'a> = Table<'a, u64, &'static [u8]>;

/// A folder that this process has locked.
pub struct Store {
    database: Database,
    path: PathBuf,
    /// A write has failed: nothing is written any more.
    write_failed: bool,
}

impl Store {
    /// Opens the folder, made if it is not there, for this process alone.
    ///
    /// # Errors
    /// Another process has it, or the disk refuses.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder)
            .map_err(|e| disk_error(format!("{}: {e}", folder.display())))?;
        let path = folder.join(DATABASE_FILE);
        let database = Builder::new()
            .set_cache_size(CACHE_BYTES)
            .create(&path)
            .map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => StoreError::Held(folder.to_path_buf()),
                e => disk_error(format!("{}: {e}", path.display())),
            })?;
        Ok(Store {
            database,
            path: folder.to_path_buf(),
            write_failed: false,
        })
    }

    /// The same on any storage, for tests with one that fails.
    ///
    /// # Errors
    /// It refuses.
    pub fn on(backend: impl StorageBackend) -> Result<Store, StoreError> {
        let database = Builder::new()
            .set_cache_size(CACHE_BYTES)
            .create_with_backend(backend)
            .map_err(disk_error)?;
        Ok(Store {
            database,
            path: PathBuf::new(),
            write_failed: false,
        })
    }

    /// Its format version; none: it holds no member yet.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn format(&self) -> Result<Option<u32>, StoreError> {
        self.head(FORMAT_KEY)
    }

    /// Whose it is; none: it holds no member yet. `newest`: the newest format version that is allowed.
    ///
    /// # Errors
    /// It is not the folder of the member `name`, or of a newer format version, or cannot be read.
    pub fn identity(&self, name: &str, newest: u32) -> Result<Option<Identity>, StoreError> {
        // By itself: what else is in the folder may look different in another format version.
        self.judge_format(newest)?;
        let identity: Option<Identity> = self.head(IDENTITY_KEY)?;
        match identity {
            Some(identity) if identity.name != name => Err(StoreError::Member {
                path: self.path.clone(),
                owner: identity.name,
                member: name.into(),
            }),
            identity => Ok(identity),
        }
    }

    fn judge_format(&self, newest: u32) -> Result<(), StoreError> {
        let path = || self.path.clone();
        match self.format()? {
            Some(format) if format > NEWEST_FOLDER_FORMAT => Err(StoreError::Newer(path(), format)),
            Some(format) if format > newest => Err(StoreError::Form {
                path: path(),
                format,
                allowed: newest,
            }),
            _ => Ok(()),
        }
    }

    /// Makes it a member's, with what that begins with.
    ///
    /// # Errors
    /// It holds a member already, or the disk refuses.
    pub fn begin(&mut self, identity: &Identity, loaded: &StoredMember) -> Result<(), StoreError> {
        if self.format()?.is_some() {
            return Err(StoreError::Taken(self.path.clone()));
        }
        let state = State::decode(&loaded.snapshot.data);
        let format = state.map_or(OLDEST_FORMAT, |state| state.format_version());
        self.commit(Durability::Immediate, |head, _| {
            put(head, FORMAT_KEY, &u32::from(format))?;
            put(head, IDENTITY_KEY, identity)?;
            put(head, HARD_STATE_KEY, &loaded.hard)?;
            put(head, SNAPSHOT_KEY, &loaded.snapshot)?;
            put(head, COMPACTED_KEY, &loaded.compacted)
        })
    }

    /// What it holds.
    ///
    /// # Errors
    /// It holds no member, or a record is missing or spoilt.
    pub fn load(&self) -> Result<StoredMember, StoreError> {
        let identity: Identity = self
            .head(IDENTITY_KEY)?
            .ok_or_else(|| StoreError::Empty(self.path.clone()))?;
        Ok(StoredMember {
            group: identity.group,
            id: identity.id,
            hard: self.required(HARD_STATE_KEY)?,
            snapshot: self.required(SNAPSHOT_KEY)?,
            compacted: self.required(COMPACTED_KEY)?,
            entries: self.entries()?,
        })
    }

    fn head<T: DeserializeOwned>(&self, key: &str) -> Result<Option<T>, StoreError> {
        let read = self.database.begin_read().map_err(disk_error)?;
        let table = match read.open_table(HEAD) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(e) => return Err(disk_error(e)),
        };
        let value = table.get(key).map_err(disk_error)?;
        value
            .map(|value| record::open(key, value.value()))
            .transpose()
    }

    fn required<T: DeserializeOwned>(&self, key: &str) -> Result<T, StoreError> {
        let value = self.head(key)?;
        value.ok_or_else(|| StoreError::Spoilt(key.to_string()))
    }

    fn entries(&self) -> Result<Vec<EntryRecord>, StoreError> {
        let read = self.database.begin_read().map_err(disk_error)?;
        let table = match read.open_table(LOG) {
            Ok(table) => table,
            Err(TableError::TableDoesNotExist(_)) => return Ok(Vec::new()),
            Err(e) => return Err(disk_error(e)),
        };
        let mut entries = Vec::new();
        for entry in table.iter().map_err(disk_error)? {
            let (index, bytes) = entry.map_err(disk_error)?;
            let name = format!("{} of the log", index.value());
            let entry: EntryRecord = record::open(&name, bytes.value())?;
            if entry.index != index.value() {
                return Err(StoreError::Spoilt(name));
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Writes a batch in one piece. Where others rely on it, it is on the disk when this returns.
    ///
    /// # Errors
    /// The disk refuses, now or before: nothing may be said that follows from the batch.
    pub fn write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let durability = match batch.must_sync() || batch.compacted.is_some() {
            true => Durability::Immediate,
            false => Durability::None,
        };
        self.commit(durability, |head, log| {
            write_entries(head, log, batch)?;
            write_head(head, log, batch)
        })
    }

    fn commit(
        &mut self,
        durability: Durability,
        write: impl FnOnce(&mut HeadTable<'_>, &mut LogTable<'_>) -> Result<(), StorageError>,
    ) -> Result<(), StoreError> {
        if self.write_failed {
            return Err(disk_error("an earlier write failed"));
        }
        let committed = self.transaction(durability, write);
        self.write_failed = committed.is_err();
        committed.map_err(disk_error)
    }

    fn transaction(
        &self,
        durability: Durability,
        write: impl FnOnce(&mut HeadTable<'_>, &mut LogTable<'_>) -> Result<(), StorageError>,
    ) -> Result<(), redb::Error> {
        let mut transaction = self.database.begin_write()?;
        transaction.set_durability(durability)?;
        {
            let mut head = transaction.open_table(HEAD)?;
            let mut log = transaction.open_table(LOG)?;
            write(&mut head, &mut log)?;
        }
        Ok(transaction.commit()?)
    }
}

fn put<T: serde::Serialize>(
    head: &mut HeadTable<'_>,
    key: &'static str,
    value: &T,
) -> Result<(), StorageError> {
    head.insert(key, record::seal(value).as_slice())?;
    Ok(())
}

/// A snapshot from another member replaces the log; entries replace those from the index of the first one on.
fn write_entries(
    head: &mut HeadTable<'_>,
    log: &mut LogTable<'_>,
    batch: &Batch,
) -> Result<(), StorageError> {
    if let Some(restored) = &batch.restored {
        log.retain(|_, _| false)?;
        put(head, SNAPSHOT_KEY, restored)?;
        put(head, COMPACTED_KEY, &restored.position())?;
    }
    if let Some(first) = batch.entries.first() {
        log.retain_in(first.index.., |_, _| false)?;
    }
    for entry in &batch.entries {
        log.insert(entry.index, record::seal(entry).as_slice())?;
    }
    Ok(())
}

fn write_head(
    head: &mut HeadTable<'_>,
    log: &mut LogTable<'_>,
    batch: &Batch,
) -> Result<(), StorageError> {
    if let Some(format) = batch.format_version {
        put(head, FORMAT_KEY, &u32::from(format))?;
    }
    if let Some(hard) = &batch.hard {
        put(head, HARD_STATE_KEY, hard)?;
    }
    if let Some(snapshot) = &batch.snapshot {
        put(head, SNAPSHOT_KEY, snapshot)?;
    }
    if let Some(compacted) = &batch.compacted {
        log.retain_in(..=compacted.index, |_, _| false)?;
        put(head, COMPACTED_KEY, compacted)?;
    }
    Ok(())
}
