//! Whether another process of this ingress runs, by two locked files.
//!
//! The older process holds the first lock, and whoever starts beside it the second. Each process tries the other's
//! lock to see whether it is held. Guards against processes that are killed: the system releases a lock with its
//! process, however that ends, while a file with a process number would stay and the number would come again.

use std::cell::Cell;
use std::fs::{File, TryLockError};
use std::io::Result;
use std::path::{Path, PathBuf};

/// Which locks this process holds.
#[derive(Clone, Copy, Default)]
struct HeldLocks {
    first: bool,
    second: bool,
}

/// Sees another process of this ingress.
pub(super) struct PeerDetector {
    first: File,
    second: File,
    held: Cell<HeldLocks>,
}

impl PeerDetector {
    /// With lock files beside this folder.
    pub(super) fn open(folder: &Path) -> Result<PeerDetector> {
        Ok(PeerDetector {
            first: open_lock_file(folder, ".first")?,
            second: open_lock_file(folder, ".second")?,
            held: Cell::default(),
        })
    }

    /// Whether another process runs now. Takes the first lock as soon as it is free.
    pub(super) fn peer_runs(&self) -> bool {
        let mut held = self.held.get();
        held.first = held.first || try_lock(&self.first);
        let peer_runs = if held.first {
            if held.second {
                // The older process has ended: this one takes its place, and the second lock is for the next.
                let _ = self.second.unlock();
                held.second = false;
            }
            is_locked(&self.second)
        } else {
            held.second = held.second || try_lock(&self.second);
            true
        };
        self.held.set(held);
        peer_runs
    }
}

fn open_lock_file(folder: &Path, suffix: &str) -> Result<File> {
    let mut name = folder.as_os_str().to_os_string();
    name.push(suffix);
    File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(PathBuf::from(name))
}

/// Takes a lock; false: another process holds it. Where files cannot be locked, no process is seen.
fn try_lock(file: &File) -> bool {
    !matches!(file.try_lock(), Err(TryLockError::WouldBlock))
}

/// Whether another process holds a lock that this one does not hold.
fn is_locked(file: &File) -> bool {
    let free = try_lock(file);
    if free {
        let _ = file.unlock();
    }
    !free
}
