//! The request ids that the processes of one ingress have received, so that none of them runs a
//! request that another one has received under the same id.
//!
//! Each process writes its ids to a file of its own, a ring of [`CAPACITY`] records, and reads the
//! files of the others. A process writes an id before it reads: if two processes receive the same id
//! at once, at least one of them sees it. A record that is incomplete, because its writer was killed
//! or writes it now, fails its checksum and is read again later. The lock of a file shows whether its
//! writer still runs.

use crate::request::{RequestIdHash, MAX_REMEMBERED_IDS};
use crate::runtime::dispatcher::SharedRequestIds;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::{File, TryLockError};
use std::io::Result;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};

/// Records in a file: as many ids as a process remembers.
const CAPACITY: u64 = MAX_REMEMBERED_IDS as u64;
/// Size of a record, bytes: number, id hash, checksum of both.
const RECORD_BYTES: usize = 16;
/// Records that are read at once.
const RECORDS_PER_READ: usize = 64;

/// One record of a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Record {
    /// Number of the record in its file, from 1, modulo 2^32.
    number: u32,
    id: RequestIdHash,
}

impl Record {
    fn encode(self) -> [u8; RECORD_BYTES] {
        let mut bytes = [0; RECORD_BYTES];
        bytes[..4].copy_from_slice(&self.number.to_le_bytes());
        bytes[4..12].copy_from_slice(&self.id.0.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..12]);
        bytes[12..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    /// Decodes a record; none if it is empty or incomplete.
    fn decode(bytes: &[u8]) -> Option<Record> {
        let (content, checksum) = bytes.split_at_checked(12)?;
        let checksum = u32::from_le_bytes(checksum.try_into().ok()?);
        let number = u32::from_le_bytes(content[..4].try_into().ok()?);
        let id = u64::from_le_bytes(content[4..].try_into().ok()?);
        (number > 0 && checksum == crc32fast::hash(content)).then_some(Record {
            number,
            id: RequestIdHash(id),
        })
    }
}

/// Returns the position of a record in its file.
fn offset(number: u32) -> u64 {
    (u64::from(number).wrapping_sub(1) % CAPACITY) * RECORD_BYTES as u64
}

/// The file of another process.
struct PeerFile {
    file: File,
    /// Number of the next record to read; none before the first record was seen.
    next: Option<u32>,
}

impl PeerFile {
    /// Returns the ids that were written since the last call.
    fn read_new(&mut self) -> Vec<RequestIdHash> {
        let mut ids = Vec::new();
        let Some(mut next) = self.next else {
            return self.read_all();
        };
        loop {
            let records = self.records_at(offset(next), RECORDS_PER_READ);
            let in_order = records
                .iter()
                .zip(0u32..)
                .take_while(|(record, i)| record.is_some_and(|r| r.number == next.wrapping_add(*i)))
                .count();
            ids.extend(records[..in_order].iter().flatten().map(|record| record.id));
            next = next.wrapping_add(in_order as u32);
            self.next = Some(next);
            if in_order < RECORDS_PER_READ {
                return ids;
            }
        }
    }

    /// Reads the whole file, in any order, and finds the next record.
    fn read_all(&mut self) -> Vec<RequestIdHash> {
        let records = self.records_at(0, CAPACITY as usize);
        let newest = records.iter().flatten().map(|record| record.number).max();
        self.next = newest.map(|number| number.wrapping_add(1));
        records.iter().flatten().map(|record| record.id).collect()
    }

    /// Reads up to `count` records, fewer at the end of the file.
    fn records_at(&self, offset: u64, count: usize) -> Vec<Option<Record>> {
        let mut bytes = vec![0; count * RECORD_BYTES];
        let mut filled = 0;
        while filled < bytes.len() {
            match self
                .file
                .read_at(&mut bytes[filled..], offset + filled as u64)
            {
                Ok(0) => break,
                Ok(n) => filled += n,
                Err(e) if e.kind() == std::io::ErrorKind::Interrupted => {}
                // The records are read again at the next call.
                Err(_) => break,
            }
        }
        bytes[..filled]
            .chunks_exact(RECORD_BYTES)
            .map(Record::decode)
            .collect()
    }
}

/// The ids of this process, and those of other processes of the same ingress.
pub(super) struct RequestIdFiles {
    folder: PathBuf,
    own_name: String,
    own: File,
    /// Number of the last record written.
    written: Cell<u32>,
    write_failed: Cell<bool>,
    peers: RefCell<BTreeMap<String, PeerFile>>,
    /// Ids of files whose processes have ended, to be returned with the next new ones.
    unread: RefCell<Vec<RequestIdHash>>,
}

impl RequestIdFiles {
    /// Creates the file of this process, and opens those of the others.
    ///
    /// # Errors
    /// The folder or the file cannot be created.
    pub(super) fn open(folder: &Path) -> Result<RequestIdFiles> {
        std::fs::create_dir_all(folder)?;
        let (own_name, own) = create_own(folder)?;
        let files = RequestIdFiles {
            folder: folder.to_path_buf(),
            own_name,
            own,
            written: Cell::new(0),
            write_failed: Cell::new(false),
            peers: RefCell::default(),
            unread: RefCell::default(),
        };
        files.find_peers();
        Ok(files)
    }

    /// Opens the files of processes that have started, and removes those of processes that have
    /// ended, after their last ids were read.
    pub(super) fn find_peers(&self) {
        let Ok(entries) = std::fs::read_dir(&self.folder) else {
            return;
        };
        let names = entries.filter_map(|entry| entry.ok()?.file_name().into_string().ok());
        for name in names.filter(|name| *name != self.own_name) {
            self.visit_peer(name);
        }
    }

    fn visit_peer(&self, name: String) {
        let mut peers = self.peers.borrow_mut();
        let path = self.folder.join(&name);
        if !peers.contains_key(&name) {
            let Ok(file) = File::open(&path) else {
                return;
            };
            peers.insert(name.clone(), PeerFile { file, next: None });
        }
        let Some(peer) = peers.get_mut(&name) else {
            return;
        };
        if has_writer(&peer.file) {
            return;
        }
        self.unread.borrow_mut().extend(peer.read_new());
        peers.remove(&name);
        // Another process may have removed it first.
        let _ = std::fs::remove_file(path);
    }
}

impl SharedRequestIds for RequestIdFiles {
    fn record(&self, id: RequestIdHash) {
        let number = self.written.get().wrapping_add(1).max(1);
        self.written.set(number);
        let written = self
            .own
            .write_all_at(&Record { number, id }.encode(), offset(number));
        match written {
            Ok(()) => self.write_failed.set(false),
            Err(e) => {
                if !self.write_failed.replace(true) {
                    tracing::error!(error = %e, "request ids cannot be written; another process of this ingress does not learn them");
                }
            }
        }
    }

    fn take_new(&self) -> Vec<RequestIdHash> {
        let mut ids = std::mem::take(&mut *self.unread.borrow_mut());
        for peer in self.peers.borrow_mut().values_mut() {
            ids.extend(peer.read_new());
        }
        ids
    }
}

/// Creates and locks a file under a name that no other file has.
fn create_own(folder: &Path) -> Result<(String, File)> {
    let mut attempt = 0;
    loop {
        let name = format!("{}-{attempt}", std::process::id());
        let mut options = File::options();
        match options
            .read(true)
            .write(true)
            .create_new(true)
            .open(folder.join(&name))
        {
            Ok(file) => {
                file.lock()?;
                return Ok((name, file));
            }
            // A process with the same number wrote it.
            Err(e) if e.kind() == std::io::ErrorKind::AlreadyExists => attempt += 1,
            Err(e) => return Err(e),
        }
    }
}

/// Returns whether the process that writes this file still runs. Where the file system does not
/// support locks, every process counts as running.
fn has_writer(file: &File) -> bool {
    match file.try_lock_shared() {
        Ok(()) => {
            let _ = file.unlock();
            false
        }
        Err(TryLockError::WouldBlock | TryLockError::Error(_)) => true,
    }
}

#[cfg(test)]
mod tests;
