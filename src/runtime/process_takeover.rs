//! What one process of this ingress leaves to the next, while two run beside each other and after the older has ended:
//! the endpoints that staff have excluded. Each is an empty file in a folder that all processes of the ingress see.
//!
//! Making and removing a file are single steps, so two processes never undo each other's work. What cannot be written
//! holds for this process at least.

mod peer_process;

use crate::admin::server::ExclusionStore;
use crate::runtime::dispatcher::Dispatcher;
use driftgap_admin::{MAX_EXCLUDED, MAX_ID};
use peer_process::PeerDetector;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The folder is read this often: how long a call to one process takes until the other obeys it.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The folder that all processes of this ingress share.
pub struct ProcessTakeover {
    path: PathBuf,
    /// Names whose file could not be made (true) or removed (false).
    unwritten: RefCell<BTreeMap<String, bool>>,
    peer: PeerDetector,
}

impl ProcessTakeover {
    /// The folder of the ingress of this name below `base`, made if it is not there.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn open(base: &Path, ingress: &str) -> Result<ProcessTakeover> {
        let path = base.join(format!("driftgap-{}-out", file_name(ingress)));
        std::fs::create_dir_all(&path)?;
        let peer = PeerDetector::open(&path)?;
        Ok(ProcessTakeover {
            path,
            unwritten: RefCell::default(),
            peer,
        })
    }

    /// Whether another process of this ingress runs now.
    pub fn peer_runs(&self) -> bool {
        self.peer.peer_runs()
    }

    /// The names of the excluded endpoints.
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn read(&self) -> Result<BTreeSet<String>> {
        let mut names = BTreeSet::new();
        for entry in std::fs::read_dir(&self.path)?.take(2 * MAX_EXCLUDED) {
            names.extend(entry?.file_name().to_str().and_then(endpoint_name));
        }
        for (name, excluded) in self.unwritten.borrow().iter() {
            if *excluded {
                names.insert(name.clone());
            } else {
                names.remove(name);
            }
        }
        Ok(names)
    }

    /// Takes over what other processes of this ingress write, and calls `on_peer_change` when one has started or
    /// ended, until the program ends. `peer_runs` is what was seen last.
    pub async fn watch(
        self: Rc<Self>,
        dispatcher: Rc<Dispatcher>,
        mut peer_runs: bool,
        on_peer_change: impl Fn(bool),
    ) {
        let mut error_logged = false;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            let now = self.peer_runs();
            if now != peer_runs {
                peer_runs = now;
                tracing::info!(beside = peer_runs, "another process of this ingress");
                on_peer_change(peer_runs);
            }
            match self.read() {
                Ok(names) => {
                    error_logged = false;
                    take_over(&dispatcher, names);
                }
                // What is in force stays.
                Err(e) if !error_logged => {
                    error_logged = true;
                    tracing::error!(folder = %self.path.display(), error = %e, "what is suspended cannot be read");
                }
                Err(_) => {}
            }
        }
    }

    fn write(&self, name: &str, excluded: bool) -> Result<()> {
        let file = self.path.join(file_name(name));
        if excluded {
            // The folder may have been removed meanwhile.
            std::fs::create_dir_all(&self.path)?;
            return File::create(file).map(|_| ());
        }
        match std::fs::remove_file(file) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
            removed => removed,
        }
    }
}

impl ExclusionStore for ProcessTakeover {
    fn keep(&self, name: &str, excluded: bool) -> Result<()> {
        let written = self.write(name, excluded);
        let mut unwritten = self.unwritten.borrow_mut();
        if written.is_ok() {
            unwritten.remove(name);
        } else {
            unwritten.insert(name.to_string(), excluded);
        }
        written
    }
}

fn take_over(dispatcher: &Dispatcher, names: BTreeSet<String>) {
    for name in dispatcher.take_over(names) {
        let out = dispatcher.is_excluded(&name);
        tracing::info!(name, out, "taken over");
    }
}

/// A name as the name of a file, in hexadecimal: any text can be one, and none leads out of the folder.
fn file_name(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

/// The endpoint that a file stands for; none: it is not one of ours.
fn endpoint_name(file: &str) -> Option<String> {
    let byte = |i: usize| {
        let hex = file.get(i..i + 2)?;
        u8::from_str_radix(hex, 16).ok()
    };
    let bytes: Option<Vec<u8>> = (0..file.len()).step_by(2).map(byte).collect();
    let name = String::from_utf8(bytes?).ok()?;
    (!name.is_empty() && name.len() <= MAX_ID).then_some(name)
}

#[cfg(test)]
mod tests;
