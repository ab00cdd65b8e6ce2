//! A follower's copy of the replica on its disk, so that one that starts while it is cut off goes on to keep out the
//! endpoints that it knew to be excluded. One file, replaced as a whole. What it holds is never taken for more than
//! what was known when it was written, and a file that cannot be read never keeps an ingress from starting.

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
/// The first byte of the file.
const FORMAT_VERSION: u8 = 1;

/// Why a follower's folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CachedReplicaError {
    /// Another process has locked it.
    #[error("another process uses this folder")]
    Held,
    /// The system refuses to open or lock it.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// A follower's folder, locked by this process.
pub(super) struct CachedReplica {
    folder: PathBuf,
    _lock: File,
}

impl CachedReplica {
    /// Opens and locks the folder, which is made if it is not there.
    ///
    /// # Errors
    /// Another process has locked it, or the system refuses.
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
            Err(TryLockError::WouldBlock) => Err(CachedReplicaError::Held),
            Err(TryLockError::Error(e)) => Err(e.into()),
        }
    }

    /// The copy of an earlier start; none: there is no file, or none that can be read.
    pub(super) fn load(&self) -> Option<Replica> {
        let bytes = std::fs::read(self.folder.join(COPY_FILE)).ok()?;
        let copy = decode(&bytes);
        match &copy {
            Some(copy) => tracing::info!(
                group = format!("{:x}", copy.group),
                applied = copy.applied,
                out = copy.excluded.len(),
                "goes on with the copy of an earlier start until a member is heard"
            ),
            None => tracing::warn!(
                bytes = bytes.len(),
                "the copy on the disk is torn or spoilt: not used"
            ),
        }
        copy
    }

    /// Replaces the file. A crash in between leaves the earlier one whole.
    fn write(&self, copy: &Replica) -> std::io::Result<()> {
        let new_path = self.folder.join(NEW_COPY_FILE);
        let mut file = File::create(&new_path)?;
        file.write_all(&encode(copy))?;
        file.sync_all()?;
        std::fs::rename(new_path, self.folder.join(COPY_FILE))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Starts the thread that writes copies: the disk may be slow, and the follower must not wait for it. `loaded` is
    /// the copy that [`CachedReplica::load`] gave.
    ///
    /// # Errors
    /// The system gives no thread.
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

    /// The thread's loop: writes each copy that comes until the queue is closed.
    fn write_copies(&self, queue: &WriteQueue) {
        while let Some(pending) = queue.next() {
            match self.write(&pending.copy) {
                Ok(()) => queue.note_stored(&pending),
                Err(e) => tracing::warn!(
                    error = %e,
                    "the copy is not on the disk: a start while cut off would miss it"
                ),
            }
        }
    }
}

/// A copy that waits to be written.
struct PendingCopy {
    /// Counted from 1 in this process.
    number: u64,
    copy: Replica,
}

/// Which copy is on the disk.
#[derive(Clone, Copy)]
struct StoredCopy {
    /// The number it was queued under; 0: an earlier process wrote it.
    number: u64,
    /// Its place in the group's log.
    applied: u64,
}

#[derive(Default)]
struct QueueState {
    /// The latest copy alone: a disk that hangs holds up no more than one.
    pending: Option<PendingCopy>,
    stored: Option<StoredCopy>,
    closed: bool,
}

/// What the follower's thread and the writing thread share.
struct WriteQueue {
    state: Mutex<QueueState>,
    changed: Condvar,
}

impl WriteQueue {
    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Waits for a copy to be written; none: the queue is closed, and nothing is left to write.
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

/// Hands copies to the writing thread, which ends when this is dropped.
pub(super) struct ReplicaWriter {
    queue: Arc<WriteQueue>,
    /// Of the copy that was queued last.
    last_number: u64,
}

impl ReplicaWriter {
    /// Queues a copy in place of one that is not written yet.
    pub(super) fn store(&mut self, copy: Replica) {
        self.last_number += 1;
        self.queue.lock().pending = Some(PendingCopy {
            number: self.last_number,
            copy,
        });
        self.queue.changed.notify_one();
    }

    /// The place in the log up to which the copy on the disk holds everything; none: nothing is on the disk. `applied`
    /// is the place of the copy in memory: entries that change nothing in it are not written, so once the latest copy
    /// is on the disk it is as good as the one in memory.
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

/// The file's bytes: format version, checksum, body.
fn encode(copy: &Replica) -> Vec<u8> {
    let body = postcard::to_stdvec(copy).unwrap_or_default();
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The copy that such bytes hold; none: they are torn, spoilt or of another format version.
fn decode(bytes: &[u8]) -> Option<Replica> {
    let (version, rest) = bytes.split_first()?;
    let (checksum, body) = rest.split_first_chunk::<4>()?;
    if *version != FORMAT_VERSION || crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return None;
    }
    postcard::from_bytes(body).ok()
}
