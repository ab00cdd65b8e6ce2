//! A follower's copy on its disk, so that one that starts while it is cut off goes on to keep out what it knew to be
//! out. It owns one file, replaced as a whole. It must never be taken for more than what was known when it was
//! written, or keep anybody from starting by what it holds.

use driftgap_group::Copy;
use std::fs::{File, TryLockError};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Condvar, Mutex};

const FILE: &str = "copy";
const LOCK: &str = "lock";
/// The form of the file.
const FORM: u8 = 1;

/// Why a follower's folder cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum CachedReplicaError {
    /// Another process has it.
    #[error("another process uses this folder")]
    Held,
    /// The system refuses.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// A follower's folder, held by this process alone.
pub(super) struct CachedReplica {
    folder: PathBuf,
    _lock: File,
}

impl CachedReplica {
    /// Opens the folder, made if it is not there.
    pub(super) fn open(folder: &Path) -> Result<CachedReplica, CachedReplicaError> {
        std::fs::create_dir_all(folder)?;
        let lock = File::options()
            .create(true)
            .append(true)
            .open(folder.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(CachedReplica {
                folder: folder.to_path_buf(),
                _lock: lock,
            }),
            Err(TryLockError::WouldBlock) => Err(CachedReplicaError::Held),
            Err(TryLockError::Error(e)) => Err(e.into()),
        }
    }

    /// What it holds; none: nothing, or nothing that can be read.
    pub(super) fn load(&self) -> Option<Copy> {
        let bytes = std::fs::read(self.folder.join(FILE)).ok()?;
        let copy = read(&bytes);
        match &copy {
            Some(copy) => tracing::info!(
                group = format!("{:x}", copy.group),
                applied = copy.applied,
                out = copy.out.len(),
                "goes on with the copy of an earlier start until a member is heard"
            ),
            None => tracing::warn!(
                bytes = bytes.len(),
                "the copy on the disk is torn or spoilt: not used"
            ),
        }
        copy
    }

    fn put(&self, copy: &Copy) -> std::io::Result<()> {
        let new = self.folder.join("copy.new");
        let mut file = File::create(&new)?;
        file.write_all(&written(copy))?;
        file.sync_all()?;
        std::fs::rename(new, self.folder.join(FILE))?;
        File::open(&self.folder)?.sync_all()
    }

    /// Keeps what comes from now on, on a thread of its own: the disk may be slow.
    pub(super) fn keep(self) -> std::io::Result<Keeping> {
        let slot = Arc::new((Mutex::new(Slot::default()), Condvar::new()));
        let kept = slot.clone();
        std::thread::Builder::new().name("group-copy".into()).spawn(move || {
            let (slot, update) = &*kept;
            loop {
                let copy = {
                    let held = slot.lock().unwrap_or_else(|e| e.into_inner());
                    let wait = update.wait_while(held, |slot| slot.copy.is_none() && !slot.ended);
                    match wait.unwrap_or_else(|e| e.into_inner()).copy.take() {
                        Some(copy) => copy,
                        None => return,
                    }
                };
                if let Err(e) = self.put(&copy) {
                    tracing::warn!(error = %e, "the copy is not on the disk: a start while cut off would miss it");
                }
            }
        })?;
        Ok(Keeping(slot))
    }
}

/// The latest copy that is not written yet: a disk that hangs holds up no more than one.
#[derive(Default)]
struct Slot {
    copy: Option<Copy>,
    ended: bool,
}

/// The way to the thread that keeps copies.
pub(super) struct Keeping(Arc<(Mutex<Slot>, Condvar)>);

impl Keeping {
    fn tell(&self, change: impl FnOnce(&mut Slot)) {
        let (slot, update) = &*self.0;
        change(&mut slot.lock().unwrap_or_else(|e| e.into_inner()));
        update.notify_one();
    }

    /// Has this copy written, soon.
    pub(super) fn put(&self, copy: Copy) {
        self.tell(|slot| slot.copy = Some(copy));
    }
}

impl Drop for Keeping {
    fn drop(&mut self) {
        self.tell(|slot| slot.ended = true);
    }
}

fn written(copy: &Copy) -> Vec<u8> {
    let body = postcard::to_stdvec(copy).unwrap_or_default();
    let mut bytes = vec![FORM];
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

fn read(bytes: &[u8]) -> Option<Copy> {
    let (form, rest) = bytes.split_first()?;
    let (sum, body) = rest.split_first_chunk::<4>()?;
    let whole = *form == FORM && crc32fast::hash(body) == u32::from_le_bytes(*sum);
    whole.then(|| postcard::from_bytes(body).ok()).flatten()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_copy_comes_back_whole_or_not_at_all() {
        let copy = Copy {
            group: 7,
            applied: 12,
            out: ["a".to_string()].into(),
            ..Copy::default()
        };
        let bytes = written(&copy);
        assert_eq!(read(&bytes), Some(copy));
        for at in 0..bytes.len() {
            assert_eq!(read(&bytes[..at]), None, "cut at {at}");
            let mut spoilt = bytes.clone();
            spoilt[at] ^= 4;
            assert_eq!(read(&spoilt), None, "a bit at {at}");
        }
    }
}
