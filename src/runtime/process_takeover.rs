//! What one process of this ingress leaves to the next: an empty file for each endpoint that staff have taken out, in
//! a folder that all of them see. It owns that folder's form. It must never hold more than names, let two processes
//! undo each other's work (making and removing a file are single steps), or lose what could not be written.

use crate::admin::server::ExclusionStore;
use crate::runtime::dispatcher::Dispatcher;
use driftgap_admin::{MAX_EXCLUDED, MAX_ID};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, TryLockError};
use std::io::{ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

/// The folder is looked through this often: far more often than an endpoint that is out must be left alone by.
const LOOK: Duration = Duration::from_millis(100);

/// Whether another process of this ingress is there: by two files, of which who serves locks the first and who is
/// started beside it the second. A lock goes with its process, however that ends.
struct Beside {
    first: File,
    second: File,
    /// Which of them this process holds.
    holds: Cell<(bool, bool)>,
}

/// Takes a lock; false: somebody else holds it. Where files cannot be locked nobody is seen.
fn lock(file: &File) -> bool {
    !matches!(file.try_lock(), Err(TryLockError::WouldBlock))
}

impl Beside {
    fn open(folder: &Path) -> Result<Beside> {
        let open = |end: &str| {
            let mut name = folder.as_os_str().to_os_string();
            name.push(end);
            File::options()
                .create(true)
                .truncate(false)
                .write(true)
                .open(PathBuf::from(name))
        };
        Ok(Beside {
            first: open(".first")?,
            second: open(".second")?,
            holds: Cell::default(),
        })
    }

    fn look(&self) -> bool {
        let (mut first, mut second) = self.holds.get();
        first = first || lock(&self.first);
        if first && second {
            let _ = self.second.unlock();
            second = false;
        }
        let other = if first {
            let free = lock(&self.second);
            if free {
                let _ = self.second.unlock();
            }
            !free
        } else {
            second = second || lock(&self.second);
            true
        };
        self.holds.set((first, second));
        other
    }
}

/// The folder.
pub struct ProcessTakeover {
    path: PathBuf,
    /// What could not be written: holds for this process at least.
    unkept: RefCell<BTreeMap<String, bool>>,
    beside: Beside,
}

/// A name as a file's name: any text can be one, and none leads out of the folder.
fn file_name(name: &str) -> String {
    name.bytes().map(|b| format!("{b:02x}")).collect()
}

fn name_of(file: &str) -> Option<String> {
    let pair = |i: usize| {
        file.get(i..i + 2)
            .and_then(|hex| u8::from_str_radix(hex, 16).ok())
    };
    let bytes: Option<Vec<u8>> = (0..file.len()).step_by(2).map(pair).collect();
    String::from_utf8(bytes?)
        .ok()
        .filter(|name| !name.is_empty() && name.len() <= MAX_ID)
}

impl ProcessTakeover {
    /// The folder of the ingress of this name below `base`, made if it is not there.
    ///
    /// # Errors
    /// It cannot be made.
    pub fn open(base: &Path, ingress: &str) -> Result<ProcessTakeover> {
        let path = base.join(format!("driftgap-{}-out", file_name(ingress)));
        std::fs::create_dir_all(&path)?;
        let beside = Beside::open(&path)?;
        Ok(ProcessTakeover {
            path,
            unkept: RefCell::default(),
            beside,
        })
    }

    /// Whether another process of this ingress is there now.
    pub fn beside(&self) -> bool {
        self.beside.look()
    }

    /// The names that are out.
    ///
    /// # Errors
    /// The folder cannot be read.
    pub fn read(&self) -> Result<BTreeSet<String>> {
        let mut names = BTreeSet::new();
        for entry in std::fs::read_dir(&self.path)?.take(2 * MAX_EXCLUDED) {
            names.extend(entry?.file_name().to_str().and_then(name_of));
        }
        for (name, out) in self.unkept.borrow().iter() {
            if *out {
                names.insert(name.clone());
            } else {
                names.remove(name);
            }
        }
        Ok(names)
    }

    /// Takes over what other processes of this ingress write, and tells `share` when one has come or gone, until the
    /// program ends.
    pub async fn watch(
        self: Rc<Self>,
        dispatcher: Rc<Dispatcher>,
        mut beside: bool,
        share: impl Fn(bool),
    ) {
        let mut complained = false;
        loop {
            tokio::time::sleep(LOOK).await;
            let now = self.beside();
            if now != beside {
                beside = now;
                tracing::info!(beside, "another process of this ingress");
                share(beside);
            }
            match self.read() {
                Ok(names) => {
                    complained = false;
                    for name in dispatcher.take_over(names) {
                        tracing::info!(name, out = dispatcher.is_out(&name), "taken over");
                    }
                }
                // What is held stays.
                Err(e) if !complained => {
                    complained = true;
                    tracing::error!(folder = %self.path.display(), error = %e, "what is suspended cannot be read");
                }
                Err(_) => {}
            }
        }
    }

    fn write(&self, name: &str, out: bool) -> Result<()> {
        let file = self.path.join(file_name(name));
        if out {
            std::fs::create_dir_all(&self.path)?;
            return std::fs::File::create(file).map(|_| ());
        }
        match std::fs::remove_file(file) {
            Err(e) if e.kind() == ErrorKind::NotFound => Ok(()),
            done => done,
        }
    }
}

impl ExclusionStore for ProcessTakeover {
    fn keep(&self, name: &str, out: bool) -> Result<()> {
        let done = self.write(name, out);
        let mut unkept = self.unkept.borrow_mut();
        if done.is_ok() {
            unkept.remove(name);
        } else {
            unkept.insert(name.to_string(), out);
        }
        done
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn two_processes_see_each_other_and_the_last_is_alone() {
        let base = std::env::temp_dir().join(format!("driftgap-beside-{}", std::process::id()));
        let open = || ProcessTakeover::open(&base, "n0").unwrap();
        let old = open();
        assert!(!old.beside() && !old.beside());
        let new = open();
        assert!(new.beside() && old.beside() && new.beside() && old.beside());
        let third = open();
        assert!(third.beside());
        drop(old);
        assert!(!new.beside(), "the next look of the third has not come");
        assert!(third.beside() && new.beside());
        drop(new);
        assert!(!third.beside() && !third.beside());
        std::fs::remove_dir_all(&base).unwrap();
    }

    #[test]
    fn names_go_over_as_they_are_and_what_cannot_be_written_holds_here() {
        let base = std::env::temp_dir().join(format!("driftgap-handover-{}", std::process::id()));
        let (old, new) = (
            ProcessTakeover::open(&base, "n/0").unwrap(),
            ProcessTakeover::open(&base, "n/0").unwrap(),
        );
        let names = ["s-1", "../../etc/x", "a b", "ü"];
        names.iter().for_each(|name| old.keep(name, true).unwrap());
        std::fs::write(old.path.join("no hex"), "").unwrap();
        assert_eq!(new.read().unwrap(), names.map(String::from).into());
        new.keep("s-1", false).unwrap();
        new.keep("s-1", false).unwrap();
        assert!(!old.read().unwrap().contains("s-1"));
        assert!(ProcessTakeover::open(&base, "n1")
            .unwrap()
            .read()
            .unwrap()
            .is_empty());
        // A folder in the place of the file: it can be neither made nor removed.
        std::fs::create_dir(old.path.join(file_name("s-9"))).unwrap();
        assert!(old.keep("s-9", false).is_err() && !old.read().unwrap().contains("s-9"));
        assert!(old.keep("s-9", true).is_err() && old.read().unwrap().contains("s-9"));
        std::fs::remove_dir_all(&base).unwrap();
        assert!(old.read().is_err());
        old.keep("s-8", true).unwrap();
        assert!(new.read().unwrap().contains("s-8"));
        std::fs::remove_dir_all(&base).unwrap();
    }
}
