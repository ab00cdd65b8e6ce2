//! Reading the operator's rules again while the ingress serves. A thread reads, judges and compiles the file, so that
//! the serving thread only exchanges the rules in force for the new ones, and a thread drops the old ones. It owns
//! the order of readings: one at a time, and whatever is asked for during a reading leads to one more behind it. It
//! must never put rules in force, nor judge them itself.

use crate::routing::Source;
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
    /// The file is wrong; each fault has its line in the log.
    #[error("the file of rules has {0} faults")]
    Faults(usize),
    /// No thread can be started.
    #[error("the thread that reads rules cannot be started: {0}")]
    Thread(#[from] std::io::Error),
    /// The thread has ended without a result.
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

/// Takes what is in force no longer, to be dropped by the thread that has read what is.
#[derive(Debug)]
pub struct Retired(mpsc::Sender<Box<dyn Any + Send>>);

impl Retired {
    /// Has this dropped elsewhere.
    pub fn leave(&self, old: impl Any + Send) {
        // The thread waits for as long as this end is there.
        let _ = self.0.send(Box::new(old));
    }
}

/// Reads one file of rules whenever it is asked to.
#[derive(Debug)]
pub struct RuleReload {
    source: Source,
    catalog: Catalog,
    /// The reading under way.
    reading: Option<oneshot::Receiver<Result<Reading, ReloadError>>>,
    /// Another one was asked for since it began.
    asked_again: bool,
    /// The thread of the last reading, which may still be dropping old rules.
    last: Option<JoinHandle<()>>,
}

impl RuleReload {
    /// Rules of this file, judged by this catalog. Nothing is read and no thread started before [`Self::request`].
    pub fn new(source: Source, catalog: Catalog) -> RuleReload {
        RuleReload {
            source,
            catalog,
            reading: None,
            asked_again: false,
            last: None,
        }
    }

    /// Has the file read as it is now; what the rules in force have of it is taken over. During a reading, which
    /// may have seen an earlier content, this leads to one more after it, however often it is called.
    pub fn request(&mut self, in_force: Option<Rules>) {
        if self.reading.is_some() {
            self.asked_again = true;
            return;
        }
        let (tell, notified) = oneshot::channel();
        self.reading = Some(notified);
        let (source, catalog, last) = (self.source.clone(), self.catalog.clone(), self.last.take());
        let thread = thread::Builder::new().name(THREAD_NAME.into());
        match thread.spawn(move || read(&source, &catalog, in_force, last, tell)) {
            Ok(thread) => self.last = Some(thread),
            Err(error) => {
                let (tell, notified) = oneshot::channel();
                let _ = tell.send(Err(error.into()));
                self.reading = Some(notified);
            }
        }
    }

    /// Waits for the reading under way; forever where there is none. It can be given up and called again.
    ///
    /// # Errors
    /// It has brought no rules.
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
        if std::mem::take(&mut self.asked_again) {
            self.request(in_force);
        }
    }
}

/// The thread: reads the file, tells what came of it, and drops what that replaces.
fn read(
    source: &Source,
    catalog: &Catalog,
    in_force: Option<Rules>,
    last: Option<JoinHandle<()>>,
    tell: oneshot::Sender<Result<Reading, ReloadError>>,
) {
    // Guards memory: the rules before the last ones are gone before further ones are read.
    if let Some(last) = last {
        let _ = last.join();
    }
    let (retire, retired) = mpsc::channel();
    let result = source
        .text()
        .and_then(|text| Ok((source.judge(&text, catalog, in_force.as_ref())?, text)));
    // Whoever lets go of rules last frees them: that is this thread, as it holds them until the end.
    let read = result.as_ref().ok().map(|(rules, _)| rules.clone());
    let result = result
        .map(move |(rules, text)| Reading {
            rules,
            text,
            retired: Retired(retire),
        })
        .map_err(|faults| log(&faults));
    // Nobody listens where the program has ended.
    let _ = tell.send(result);
    // Until the serving thread has let go of its end.
    retired.iter().for_each(drop);
    drop((in_force, read));
}

/// Logs each fault: thousands of lines would hold the serving thread.
fn log(faults: &[Fault]) -> ReloadError {
    for fault in faults {
        tracing::error!(fault = fault.line, "rules");
    }
    ReloadError::Faults(faults.len())
}
