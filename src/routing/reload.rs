//! Reloads the operator's rules while the ingress serves.
//!
//! A separate thread reads and compiles the file and later drops the old rules, so that the serving
//! thread only swaps the rules in force. If the serving thread compiled or dropped a large file,
//! requests would wait. One reload runs at a time; all requests for a reload during it lead to one
//! more. The caller puts the new rules in force.

use crate::routing::RuleSource;
use driftgap_routes::{Catalog, Fault, Rules};
use std::any::Any;
use std::future::pending;
use std::sync::mpsc;
use std::thread::{self, JoinHandle};
use tokio::sync::oneshot;

/// Name of the reload thread.
pub const THREAD_NAME: &str = "rule-reload";

/// Why a reload produced no rules.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The file has this many faults; each has been logged.
    #[error("the rules have {0} faults")]
    Faults(usize),
    /// The thread cannot be started.
    #[error("the rule reload thread cannot be started: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread ended without a result, for example by a panic.
    #[error("the rule reload thread ended without a result")]
    Ended,
}

/// Rules that were read, with their source text.
#[derive(Debug)]
pub struct Reading {
    /// The rules.
    pub rules: Rules,
    /// The file's text.
    pub text: String,
    /// Queue for the rules that these replace.
    pub retired: DropQueue,
}

/// Queue of values that are no longer in use; the thread that read their replacement drops them.
#[derive(Debug)]
pub struct DropQueue(mpsc::Sender<Box<dyn Any + Send>>);

impl DropQueue {
    /// Sends `old` to the reload thread, which drops it.
    pub fn push(&self, old: impl Any + Send) {
        // The thread receives until this sender is dropped.
        let _ = self.0.send(Box::new(old));
    }
}

/// Reloads one file of rules on request.
#[derive(Debug)]
pub struct RuleReload {
    source: RuleSource,
    catalog: Catalog,
    /// Receives the result of the reload in progress.
    reading: Option<oneshot::Receiver<Result<Reading, ReloadError>>>,
    /// Whether another reload was requested since this one began.
    requested_again: bool,
    /// The thread of the last reload, which may still be dropping old rules.
    last_thread: Option<JoinHandle<()>>,
}

impl RuleReload {
    /// Creates a reloader of the rules of `source`, which may use the names in `catalog`. It reads
    /// nothing and starts no thread before [`Self::request`].
    pub fn new(source: RuleSource, catalog: Catalog) -> RuleReload {
        RuleReload {
            source,
            catalog,
            reading: None,
            requested_again: false,
            last_thread: None,
        }
    }

    /// Starts a reload of the file's current content; unchanged rules of `in_force` are reused. A
    /// reload in progress may have read earlier content: requests during it lead to one more reload
    /// after it.
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

    /// Waits for the reload in progress; never returns if there is none. Cancel safe.
    ///
    /// # Errors
    /// The reload produced no rules.
    pub async fn finished(&mut self) -> Result<Reading, ReloadError> {
        let Some(reading) = &mut self.reading else {
            return pending().await;
        };
        let result = reading.await.unwrap_or(Err(ReloadError::Ended));
        self.reading = None;
        result
    }

    /// Starts the reload that was requested during the last one, if any. Call it after the result
    /// of the last one has been handled, with the rules that are then in force.
    pub fn resume(&mut self, in_force: Option<Rules>) {
        if std::mem::take(&mut self.requested_again) {
            self.request(in_force);
        }
    }
}

/// The receiver of a reload that has already failed with this error.
fn failed_reading(error: ReloadError) -> oneshot::Receiver<Result<Reading, ReloadError>> {
    let (sender, reading) = oneshot::channel();
    let _ = sender.send(Err(error));
    reading
}

/// The reload thread: reads the file, sends the result, and drops the rules that it replaces.
fn read(
    source: &RuleSource,
    catalog: &Catalog,
    in_force: Option<Rules>,
    last_thread: Option<JoinHandle<()>>,
    sender: oneshot::Sender<Result<Reading, ReloadError>>,
) {
    // Bounds memory: the rules that the last reload replaced are dropped before more rules are
    // compiled.
    if let Some(thread) = last_thread {
        let _ = thread.join();
    }
    let (retire, retired) = mpsc::channel();
    let compiled = compile(source, catalog, in_force.as_ref());
    // Rules are reference-counted and freed by their last owner. This thread keeps a reference
    // until the end, so that it frees them.
    let kept_rules = compiled.as_ref().ok().map(|(rules, _)| rules.clone());
    let result = compiled
        .map(|(rules, text)| Reading {
            rules,
            text,
            retired: DropQueue(retire),
        })
        .map_err(|faults| log(&faults));
    // There is no receiver if the process is ending.
    let _ = sender.send(result);
    // The loop ends when the serving thread has dropped its sender.
    retired.iter().for_each(drop);
    drop((in_force, kept_rules));
}

fn compile(
    source: &RuleSource,
    catalog: &Catalog,
    in_force: Option<&Rules>,
) -> Result<(Rules, String), Vec<Fault>> {
    let text = source.text_of_regular_file()?;
    let rules = source.compile(&text, catalog, in_force)?;
    Ok((rules, text))
}

/// Logs each fault on this thread: thousands of lines would block the serving thread.
fn log(faults: &[Fault]) -> ReloadError {
    for fault in faults {
        tracing::error!(
            fault = fault.line,
            "fault in the routing rules; none of the newly read rules take effect"
        );
    }
    ReloadError::Faults(faults.len())
}
