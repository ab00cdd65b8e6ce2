//! The thread that writes a member's folder. A write may hang for as long as the disk does.
//! Meanwhile the member keeps receiving messages, and a leader hands leadership over if the write
//! takes too long.

use crate::group::store::{Identity, Store, StoreError};
use driftgap_group::{StoredMember, WriteJob};
use tokio::sync::mpsc;

/// The result of a write job.
pub(super) type JobResult = Result<(), StoreError>;

/// Most results that are queued until the member's task reads them.
const MAX_RESULTS: usize = 4;

/// A handle to the disk thread, which ends when this is dropped.
pub(super) struct Disk {
    jobs: std::sync::mpsc::Sender<WriteJob>,
    results: mpsc::Receiver<JobResult>,
    /// When the current job was handed over, ms; `None` while the thread is idle.
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

    /// How long the current job has taken so far, ms.
    pub(super) fn busy_ms(&self, now_ms: f64) -> f64 {
        self.busy_since_ms.map_or(0.0, |since_ms| now_ms - since_ms)
    }

    /// Hands a job to the thread. Returns false if the thread has ended.
    pub(super) fn begin(&mut self, now_ms: f64, job: WriteJob) -> bool {
        let begun = self.jobs.send(job).is_ok();
        if begun {
            self.busy_since_ms = Some(now_ms);
        }
        begun
    }

    /// Waits for the result of the next job. `None` if the thread has ended.
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
