//! Reading the operator's rules again while the ingress serves.
//!
//! A thread reads and compiles the file, so that the serving thread only exchanges the rules in force for the new
//! ones; the same thread drops the old ones. Guards against a large file: requests would wait while the serving thread
//! compiles or drops it. There is one reading at a time; whatever is asked for during it leads to one more. Putting
//! rules in force is the caller's.

use crate::routing::RuleSource;
use driftgap_routes::{Catalog, Fault, Rules};
use std::any::Any;
use std::future::pending;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use tokio::sync::oneshot;

/// The name of the thread that reads, as the system shows it.
pub const THREAD_NAME: &str = "rule-reload";

/// Why a reading has brought no rules.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The file has so many faults; each has been logged.
    #[error("the file of rules has {0} faults")]
    Faults(usize),
    /// No thread can be started.
    #[error("the thread that reads rules cannot be started: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread has ended without a result, as by a panic.
    #[error("the thread that reads rules has ended without a result")]
    Ended,
}

/// Rules that were read, with the text that they come from.
#[derive(Debug)]
pub struct Reading {
    /// The rules.
    pub rules: Rules,
    /// The file's text.
    pub text: String,
    /// Where to leave the rules that these replace.
    pub retired: Retired,
}

/// Takes what is no longer in force, to be dropped by the thread that has read its replacement.
#[derive(Debug)]
pub struct Retired(mpsc::Sender<Box<dyn Any + Send>>);

impl Retired {
    /// Has `old` dropped by that thread.
    pub fn leave(&self, old: impl Any + Send) {
        // The thread waits for as long as this end is there.
        let _ = self.0.send(Box::new(old));
    }
}

/// Reads one file of rules whenever it is asked to.
#[derive(Debug)]
pub struct RuleReload {
    source: RuleSource,
    catalog: Catalog,
    /// Brings the result of the reading under way.
    reading: Option<oneshot::Receiver<Result<Reading, ReloadError>>>,
    /// Another one was asked for since it began.
    requested_again: bool,
    /// The thread of the last reading, which may still be dropping old rules.
    last_thread: Option<JoinHandle<()>>,
}

impl RuleReload {
    /// For the rules of this source, which may name what is in `catalog`. Nothing is read and no thread is started
    /// before [`Self::request`].
    pub fn new(source: RuleSource, catalog: Catalog) -> RuleReload {
        RuleReload {
            source,
            catalog,
            reading: None,
            requested_again: false,
            last_thread: None,
        }
    }

    /// Has the file read as it is now; rules in force that it still has are taken over. During a reading, which may
    /// have seen an earlier content, this leads to one more after it, however often it is called.
    pub fn request(&mut self, in_force: Option<Rules>) {
        if self.reading.is_some() {
            self.requested_again = true;
            return;
        }
        let (sender, reading) = oneshot::channel();
        let (source, catalog) = (self.source.clone(), self.catalog.clone());
        let last_thread = self.last_thread.take();
        let thread = thread::Builder::new().name(THREAD_NAME.into());
        let spawned = thread.spawn(move || read(&source, &catalog, in_force, last_thread, sender));
        self.reading = Some(match spawned {
            Ok(thread) => {
                self.last_thread = Some(thread);
                reading
            }
            Err(error) => failed_reading(error.into()),
        });
    }

    /// Waits for the reading under way; forever where there is none. Cancel safe.
    ///
    /// # Errors
    /// The reading has brought no rules.
    pub async fn finished(&mut self) -> Result<Reading, ReloadError> {
        let Some(reading) = &mut self.reading else {
            return pending().await;
        };
        let result = reading.await.unwrap_or(Err(ReloadError::Ended));
        self.reading = None;
        result
    }

    /// Begins the reading that was asked for during the last one, if any was. To be called once what the last one
    /// brought has been dealt with, with the rules that are in force then.
    pub fn resume(&mut self, in_force: Option<Rules>) {
        if std::mem::take(&mut self.requested_again) {
            self.request(in_force);
        }
    }
}

/// A reading that has ended already, with this error.
fn failed_reading(error: ReloadError) -> oneshot::Receiver<Result<Reading, ReloadError>> {
    let (sender, reading) = oneshot::channel();
    let _ = sender.send(Err(error));
    reading
}

/// The thread: reads the file, sends the result, and drops what that replaces.
fn read(
    source: &RuleSource,
    catalog: &Catalog,
    in_force: Option<Rules>,
    last_thread: Option<JoinHandle<()>>,
    sender: oneshot::Sender<Result<Reading, ReloadError>>,
) {
    // Guards memory: what the last reading replaced is dropped before more rules are compiled.
    if let Some(thread) = last_thread {
        let _ = thread.join();
    }
    let (retire, retired) = mpsc::channel();
    let compiled = compile(source, catalog, in_force.as_ref());
    // Rules are shared, and freed by whoever drops them last: that is this thread, as it holds them until the end.
    let held = compiled.as_ref().ok().map(|(rules, _)| rules.clone());
    let result = compiled
        .map(|(rules, text)| Reading {
            rules,
            text,
            retired: Retired(retire),
        })
        .map_err(|faults| log(&faults));
    // Nobody receives where the process has ended.
    let _ = sender.send(result);
    // Ends once the serving thread has dropped its end.
    retired.iter().for_each(drop);
    drop((in_force, held));
}

fn compile(
    source: &RuleSource,
    catalog: &Catalog,
    in_force: Option<&Rules>,
) -> Result<(Rules, String), Vec<Fault>> {
    let text = source.text()?;
    let rules = source.judge(&text, catalog, in_force)?;
    Ok((rules, text))
}

/// Logs each fault, on this thread: thousands of lines would hold the serving thread.
fn log(faults: &[Fault]) -> ReloadError {
    for fault in faults {
        tracing::error!(fault = fault.line, "rules");
    }
    ReloadError::Faults(faults.len())
}
