//! A follower's copy of the replica on its disk. A follower that restarts while no member can be
//! reached keeps excluding the endpoints that it knew to be excluded. The copy is one file that is
//! replaced atomically. It counts only as the state at the time of writing, and an unreadable file
//! never prevents an ingress from starting.

#[cfg(test)]
mod tests;

use driftgap_group::Replica;
use std::fs::{File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};

const COPY_FILE: &str = "copy";
const NEW_COPY_FILE: &str = "copy.new";
const LOCK_FILE: &str = "lock";
/// The format version, which is the first byte of the file.
const FORMAT_VERSION: u8 = 1;

/// Why a follower's folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CachedReplicaError {
    /// Another process has locked the folder.
    #[error("another process uses this folder")]
    Locked,
    /// The operating system refused to open or lock the folder.
    #[error("cannot open or lock the folder: {0}")]
    System(#[from] std::io::Error),
}

/// A follower's folder, locked by this process.
pub(super) struct CachedReplica {
    folder: PathBuf,
    _lock: File,
}

impl CachedReplica {
    /// Opens and locks the folder, and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns an error if another process has locked the folder or the operating system refuses.
    pub(super) fn open(folder: &Path) -> Result<CachedReplica, CachedReplicaError> {
        std::fs::create_dir_all(folder)?;
        let lock = File::options()
            .create(true)
            .append(true)
            .open(folder.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(CachedReplica {
                folder: folder.to_path_buf(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(CachedReplicaError::Locked),
            Err(TryLockError::Error(e)) => Err(e.into()),
        }
    }

    /// Loads the copy of an earlier run. `None` if there is no file or the file is corrupt.
    pub(super) fn load(&self) -> Option<Replica> {
        let bytes = std::fs::read(self.folder.join(COPY_FILE)).ok()?;
        let copy = decode(&bytes);
        match &copy {
            Some(copy) => tracing::info!(
                group = format!("{:x}", copy.group),
                applied = copy.applied,
                out = copy.excluded.len(),
                "using the cached replica of an earlier run until a member is connected"
            ),
            None => tracing::warn!(
                bytes = bytes.len(),
                "cached replica on the disk is corrupt: ignored"
            ),
        }
        copy
    }

    /// Replaces the file. A crash in between leaves the earlier file intact.
    fn write(&self, copy: &Replica) -> std::io::Result<()> {
        let new_path = self.folder.join(NEW_COPY_FILE);
        let mut file = File::create(&new_path)?;
        file.write_all(&encode(copy))?;
        file.sync_all()?;
        std::fs::rename(new_path, self.folder.join(COPY_FILE))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Starts the thread that writes copies, because the follower must not wait for a slow disk.
    /// `loaded` is the copy that [`CachedReplica::load`] returned.
    ///
    /// # Errors
    /// Returns an error if the operating system cannot start the thread.
    pub(super) fn into_writer(self, loaded: Option<&Replica>) -> std::io::Result<ReplicaWriter> {
        let stored = loaded.map(|copy| StoredCopy {
            number: 0,
            applied: copy.applied,
        });
        let queue = Arc::new(WriteQueue {
            state: Mutex::new(QueueState {
                stored,
                ..QueueState::default()
            }),
            changed: Condvar::new(),
        });
        let writer_queue = queue.clone();
        std::thread::Builder::new()
            .name("group-copy".into())
            .spawn(move || self.write_copies(&writer_queue))?;
        Ok(ReplicaWriter {
            queue,
            last_number: 0,
        })
    }

    /// Runs the writer thread: writes each queued copy until the queue is closed.
    fn write_copies(&self, queue: &WriteQueue) {
        while let Some(pending) = queue.next() {
            match self.write(&pending.copy) {
                Ok(()) => queue.note_stored(&pending),
                Err(e) => tracing::warn!(
                    error = %e,
                    "cannot write the cached replica: a restart while no member is reachable would use an older copy"
                ),
            }
        }
    }
}

/// A copy that waits to be written.
struct PendingCopy {
    /// The sequence number, counted from 1 in this process.
    number: u64,
    copy: Replica,
}

/// Identifies the copy that is on the disk.
#[derive(Clone, Copy)]
struct StoredCopy {
    /// The sequence number it was queued under, or 0 if an earlier process wrote it.
    number: u64,
    /// The last log index that is applied in it.
    applied: u64,
}

#[derive(Default)]
struct QueueState {
    /// Only the latest copy, so that a disk that hangs holds up at most one.
    pending: Option<PendingCopy>,
    stored: Option<StoredCopy>,
    closed: bool,
}

/// The state that the follower's thread and the writer thread share.
struct WriteQueue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl WriteQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits for a copy to write. `None` once the queue is closed and empty.
    fn next(&self) -> Option<PendingCopy> {
        let idle = |state: &mut QueueState| state.pending.is_none() && !state.closed;
        let state = self.changed.wait_while(self.lock(), idle);
        state.unwrap_or_else(|e| e.into_inner()).pending.take()
    }

    fn note_stored(&self, written: &PendingCopy) {
        self.lock().stored = Some(StoredCopy {
            number: written.number,
            applied: written.copy.applied,
        });
    }
}

/// Hands copies to the writer thread, which ends when this is dropped.
pub(super) struct ReplicaWriter {
    queue: Arc<WriteQueue>,
    /// The sequence number of the copy that was queued last.
    last_number: u64,
}

impl ReplicaWriter {
    /// Queues a copy, and replaces one that is not written yet.
    pub(super) fn store(&mut self, copy: Replica) {
        self.last_number += 1;
        self.queue.lock().pending = Some(PendingCopy {
            number: self.last_number,
            copy,
        });
        self.queue.changed.notify_one();
    }

    /// Returns the log index up to which the copy on the disk is complete, or `None` if nothing is
    /// on the disk. `applied` is the index of the copy in memory. Entries that do not change the
    /// replica are not written, so once the latest copy is on the disk it is complete up to
    /// `applied`.
    pub(super) fn stored(&self, applied: u64) -> Option<u64> {
        let stored = self.queue.lock().stored?;
        if stored.number == self.last_number {
            return Some(applied);
        }
        Some(stored.applied)
    }
}

impl Drop for ReplicaWriter {
    fn drop(&mut self) {
        self.queue.lock().closed = true;
        self.queue.changed.notify_one();
    }
}

/// Encodes the file: format version, checksum, body.
fn encode(copy: &Replica) -> Vec<u8> {
    let body = postcard::to_stdvec(copy).unwrap_or_default();
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Decodes the file. `None` if the bytes are truncated, corrupt or of another format version.
fn decode(bytes: &[u8]) -> Option<Replica> {
    let (version, rest) = bytes.split_first()?;
    let (checksum, body) = rest.split_first_chunk::<4>()?;
    if *version != FORMAT_VERSION || crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
