//! A member's folder: identity, hard state, log and last snapshot, in an embedded database. A write
//! is reported as done only once the disk has confirmed it. After a failed write the store accepts
//! no further ones, since buffered data may be lost and a retry would not restore it. A record with
//! a wrong checksum is never used.

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

/// The newest format version of a folder that this program reads. A folder has the format version
/// of the log in it and is raised with the log; until then an older program can use the folder.
pub const NEWEST_FOLDER_FORMAT: u32 = NEWEST_FORMAT as u32;
const DATABASE_FILE: &str = "group.redb";
/// Size of the database's cache in memory, bytes.
const CACHE_BYTES: usize = 2 << 20;
/// The entries of the log by index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// All other records, by the keys below. Folders of earlier versions have these table names and
/// keys.
const HEAD: TableDefinition<&str, &[u8]> = TableDefinition::new("head");
const FORMAT_KEY: &str = "format";
const IDENTITY_KEY: &str = "identity";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";
const COMPACTED_KEY: &str = "cut";

type HeadTable<'a> = Table<'a, &'static str, &'static [u8]>;
type LogTable<'a> = Table<'a, u64, &'static [u8]>;

/// A member's folder, locked by this process.
pub struct Store {
    database: Database,
    path: PathBuf,
    /// Set once a write has failed; every further write is refused.
    write_failed: bool,
}

impl Store {
    /// Opens the folder for this process alone, and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns an error if another process has locked the folder or the disk refuses.
    pub fn open(folder: &Path) -> Result<Store, StoreError> {
        std::fs::create_dir_all(folder)
            .map_err(|e| disk_error(format!("{}: {e}", folder.display())))?;
        let path = folder.join(DATABASE_FILE);
        let database = Builder::new()
            .set_cache_size(CACHE_BYTES)
            .create(&path)
            .map_err(|e| match e {
                DatabaseError::DatabaseAlreadyOpen => StoreError::Locked(folder.to_path_buf()),
                e => disk_error(format!("{}: {e}", path.display())),
            })?;
        Ok(Store {
            database,
            path: folder.to_path_buf(),
            write_failed: false,
        })
    }

    /// Opens a store on any storage backend, for tests with one that fails.
    ///
    /// # Errors
    /// Returns an error if the backend refuses.
    pub fn with_backend(backend: impl StorageBackend) -> Result<Store, StoreError> {
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

    /// Returns the folder's format version, or `None` if it holds no member yet.
    ///
    /// # Errors
    /// Returns an error if the folder cannot be read.
    pub fn format(&self) -> Result<Option<u32>, StoreError> {
        self.head(FORMAT_KEY)
    }

    /// Returns the identity of the folder's member, or `None` if it holds no member yet. `newest`
    /// is the newest format version that is allowed.
    ///
    /// # Errors
    /// Returns an error if the folder belongs to a member other than `name`, has a newer format
    /// version, or cannot be read.
    pub fn identity(&self, name: &str, newest: u32) -> Result<Option<Identity>, StoreError> {
        // Checked first: other records may differ in another format version.
        self.check_format(newest)?;
        let identity: Option<Identity> = self.head(IDENTITY_KEY)?;
        match identity {
            Some(identity) if identity.name != name => Err(StoreError::OtherMember {
                path: self.path.clone(),
                owner: identity.name,
                member: name.into(),
            }),
            identity => Ok(identity),
        }
    }

    fn check_format(&self, newest: u32) -> Result<(), StoreError> {
        let path = || self.path.clone();
        match self.format()? {
            Some(format) if format > NEWEST_FOLDER_FORMAT => Err(StoreError::Newer(path(), format)),
            Some(format) if format > newest => Err(StoreError::FormatNotAllowed {
                path: path(),
                format,
                allowed: newest,
            }),
            _ => Ok(()),
        }
    }

    /// Initializes the folder for a new member.
    ///
    /// # Errors
    /// Returns an error if the folder already holds a member or the disk refuses.
    pub fn begin(&mut self, identity: &Identity, loaded: &StoredMember) -> Result<(), StoreError> {
        if self.format()?.is_some() {
            return Err(StoreError::AlreadyInitialized(self.path.clone()));
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

    /// Loads the member.
    ///
    /// # Errors
    /// Returns an error if the folder holds no member, or a record is missing or corrupt.
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
            .map(|value| record::decode(key, value.value()))
            .transpose()
    }

    fn required<T: DeserializeOwned>(&self, key: &str) -> Result<T, StoreError> {
        let value = self.head(key)?;
        value.ok_or_else(|| StoreError::Corrupt(key.to_string()))
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
            let entry: EntryRecord = record::decode(&name, bytes.value())?;
            if entry.index != index.value() {
                return Err(StoreError::Corrupt(name));
            }
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Writes a batch atomically. A batch that must be durable is on the disk when this returns.
    ///
    /// # Errors
    /// Returns an error if this or an earlier write failed. Nothing that depends on the batch may
    /// be sent then.
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
    head.insert(key, record::encode(value).as_slice())?;
    Ok(())
}

/// Writes a snapshot from another member, which replaces the log, and then entries, which replace
/// those from the index of the first one on.
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
        log.insert(entry.index, record::encode(entry).as_slice())?;
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
