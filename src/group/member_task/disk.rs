//! The thread that writes a member's folder. It may hang for as long as the disk does: the member goes on taking
//! messages, and a leader whose disk hangs gives leadership away.

use crate::group::store::{Identity, Store, StoreError};
use driftgap_group::{StoredMember, WriteJob};
use tokio::sync::mpsc;

/// How a job ended.
pub(super) type JobResult = Result<(), StoreError>;

/// Jobs that may have ended before the member's task looks.
const MAX_RESULTS: usize = 4;

/// The way to the disk's thread, which ends when this is dropped.
pub(super) struct Disk {
    jobs: std::sync::mpsc::Sender<WriteJob>,
    results: mpsc::Receiver<JobResult>,
    /// Since when it has a job to do, ms.
    busy_since_ms: Option<f64>,
}

impl Disk {
    /// Starts the thread for a member's folder.
    pub(super) fn start(store: Store, member: String) -> std::io::Result<Disk> {
        let (jobs, receiver) = std::sync::mpsc::channel();
        let (sender, results) = mpsc::channel(MAX_RESULTS);
        std::thread::Builder::new()
            .name("group-disk".into())
            .spawn(move || run_jobs(store, &member, receiver, sender))?;
        Ok(Disk {
            jobs,
            results,
            busy_since_ms: None,
        })
    }

    pub(super) fn is_busy(&self) -> bool {
        self.busy_since_ms.is_some()
    }

    /// How long its job has taken so far, ms.
    pub(super) fn busy_ms(&self, now_ms: f64) -> f64 {
        self.busy_since_ms.map_or(0.0, |since_ms| now_ms - since_ms)
    }

    /// Hands it a job. False: the thread has ended.
    pub(super) fn begin(&mut self, now_ms: f64, job: WriteJob) -> bool {
        let begun = self.jobs.send(job).is_ok();
        if begun {
            self.busy_since_ms = Some(now_ms);
        }
        begun
    }

    /// The next job that has ended; none: the thread has ended.
    pub(super) async fn ended(&mut self) -> Option<JobResult> {
        let result = self.results.recv().await;
        if result.is_some() {
            self.busy_since_ms = None;
        }
        result
    }
}

fn run_jobs(
    mut store: Store,
    member: &str,
    jobs: std::sync::mpsc::Receiver<WriteJob>,
    results: mpsc::Sender<JobResult>,
) {
    for job in jobs {
        let result = match job {
            WriteJob::Begin { group, id, nonce } => {
                let identity = Identity::new(group, member, id, nonce);
                store.begin(&identity, &StoredMember::admitted(group, id))
            }
            WriteJob::Write(batch) => store.write(&batch),
        };
        if results.blocking_send(result).is_err() {
            return;
        }
    }
}
