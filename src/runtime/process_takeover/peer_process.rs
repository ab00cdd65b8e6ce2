//! Detects another running process of the same ingress, by two lock files.
//!
//! The oldest process holds the first lock, and the process that takes over holds the second. Each
//! process tries the other lock to see whether it is held. The system releases the locks of a
//! process however it ends. A file with a process id would outlive a killed process, and the system
//! reuses process ids.

use std::cell::Cell;
use std::fs::{File, TryLockError};
use std::io::Result;
use std::path::{Path, PathBuf};

/// The locks that this process holds.
#[derive(Clone, Copy, Default)]
struct HeldLocks {
    first: bool,
    second: bool,
}

/// Detects another process of this ingress.
pub(super) struct PeerDetector {
    first: File,
    second: File,
    held: Cell<HeldLocks>,
}

impl PeerDetector {
    /// Opens the lock files, which lie next to `folder`.
    pub(super) fn open(folder: &Path) -> Result<PeerDetector> {
        Ok(PeerDetector {
            first: open_lock_file(folder, ".first")?,
            second: open_lock_file(folder, ".second")?,
            held: Cell::default(),
        })
    }

    /// Returns whether another process runs now. Acquires the first lock as soon as it is free.
    pub(super) fn peer_runs(&self) -> bool {
        let mut held = self.held.get();
        held.first = held.first || try_lock(&self.first);
        let peer_runs = if held.first {
            if held.second {
                // The older process has ended. This one is now the oldest: it leaves the second
                // lock to its successor.
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

/// Acquires a lock; returns false if another process holds it. Where the file system does not
/// support locks, every lock counts as acquired and no other process is detected.
fn try_lock(file: &File) -> bool {
    !matches!(file.try_lock(), Err(TryLockError::WouldBlock))
}

/// Returns whether another process holds a lock that this process does not hold.
fn is_locked(file: &File) -> bool {
    let free = try_lock(file);
    if free {
        let _ = file.unlock();
    }
    !free
}
