//! State that the processes of one ingress share while a newer process takes over from an older
//! one: the endpoints that operators have excluded, and the ids of requests (`request_ids`). Each
//! excluded endpoint is an empty file in a folder that all processes of the ingress use.
//!
//! Creating and removing a file are atomic, so two processes never undo each other's changes. A
//! change that cannot be written still holds in the process that received it.

mod peer_process;
mod request_ids;

use crate::admin::server::ExclusionStore;
use crate::runtime::dispatcher::{Dispatcher, SharedRequestIds};
use driftgap_admin::{MAX_EXCLUDED, MAX_ID};
use peer_process::PeerDetector;
use request_ids::RequestIdFiles;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// Interval between two reads of the folder, and so the longest time until a call to one process
/// takes effect in the other.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time that a new process gives the others to find its files before it accepts clients.
const DISCOVERY_BY_PEERS: Duration = Duration::from_millis(150);

/// The shared folder of all processes of this ingress.
pub struct ProcessTakeover {
    path: PathBuf,
    /// Changes whose file operation failed: names to exclude (true) or to restore (false).
    unwritten: RefCell<BTreeMap<String, bool>>,
    peer: PeerDetector,
    request_ids: Rc<RequestIdFiles>,
}

impl ProcessTakeover {
    /// Opens the folder of the named ingress below `base`, and creates it if it does not exist.
    ///
    /// # Errors
    /// A folder or a file cannot be created.
    pub fn open(base: &Path, ingress: &str) -> Result<ProcessTakeover> {
        let path = base.join(format!("driftgap-{}-out", file_name(ingress)));
        std::fs::create_dir_all(&path)?;
        let peer = PeerDetector::open(&path)?;
        let ids_folder = base.join(format!("driftgap-{}-ids", file_name(ingress)));
        let request_ids = Rc::new(RequestIdFiles::open(&ids_folder)?);
        Ok(ProcessTakeover {
            path,
            unwritten: RefCell::default(),
            peer,
            request_ids,
        })
    }

    /// Returns whether another process of this ingress runs now.
    pub fn peer_runs(&self) -> bool {
        self.peer.peer_runs()
    }

    /// Returns the request ids that all processes of this ingress share.
    pub fn request_ids(&self) -> Rc<dyn SharedRequestIds> {
        self.request_ids.clone()
    }

    /// Waits until other processes of this ingress, if any run, have found the request ids of this
    /// one. Call it before an operator or a client can see that this process is ready: the older
    /// process may be stopped from then on.
    pub async fn wait_for_peers(&self) {
        if self.peer_runs() {
            tokio::time::sleep(DISCOVERY_BY_PEERS).await;
        }
    }

    /// Returns the names of the excluded endpoints.
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

    /// Applies the changes of other processes of this ingress, and calls `on_peer_change` when
    /// another process has started or ended. Runs until the program ends. `peer_runs` is the state
    /// that was seen last.
    pub async fn watch(
        self: Rc<Self>,
        dispatcher: Rc<Dispatcher>,
        mut peer_runs: bool,
        on_peer_change: impl Fn(bool),
    ) {
        let mut error_logged = false;
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.request_ids.find_peers();
            let runs_now = self.peer_runs();
            if runs_now != peer_runs {
                peer_runs = runs_now;
                tracing::info!(
                    beside = peer_runs,
                    "another process of this ingress started or ended"
                );
                on_peer_change(peer_runs);
            }
            match self.read() {
                Ok(names) => {
                    error_logged = false;
                    take_over(&dispatcher, names);
                }
                // The exclusions in force stay.
                Err(e) if !error_logged => {
                    error_logged = true;
                    tracing::error!(folder = %self.path.display(), error = %e, "shared exclusions cannot be read; those in force stay");
                }
                Err(_) => {}
            }
        }
    }

    fn write(&self, name: &str, excluded: bool) -> Result<()> {
        let file = self.path.join(file_name(name));
        if excluded {
            // The folder may have been removed since the start.
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
    fn persist(&self, name: &str, excluded: bool) -> Result<()> {
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
        tracing::info!(name, out, "exclusion taken over from another process");
    }
}

/// Encodes a name as a file name, in hexadecimal: every text is valid, and none escapes from the
/// folder.
fn file_name(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

/// Decodes a file name to the name of an endpoint; `None` if the file is not an exclusion.
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
