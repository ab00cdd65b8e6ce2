//! Statistics of clients' connections: why they were closed, and requests that were answered without
//! an attempt because they are unsound.

use std::cell::Cell;

/// Why a client's connection or stream was closed by the ingress, or ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseCause {
    /// The client closed it.
    Client,
    /// It was drained, was idle when a slot was needed, or the client sent `QUIT`.
    Orderly,
    /// The bytes could not become a request.
    Malformed,
    /// A request was not complete in time.
    RequestTimeout,
    /// The client did not read its answers in time.
    StalledReader,
    /// The unread answers of all clients exceed their budget.
    UnsentBudget,
    /// A streamed body was incomplete.
    IncompleteBody,
    /// Writing to the client failed.
    WriteFailed,
}

/// Counts since the start of the process.
#[derive(Debug, Default)]
pub struct ClientStatistics {
    client: Cell<u64>,
    orderly: Cell<u64>,
    malformed: Cell<u64>,
    request_timeout: Cell<u64>,
    stalled_reader: Cell<u64>,
    unsent_budget: Cell<u64>,
    incomplete_body: Cell<u64>,
    write_failed: Cell<u64>,
    invalid_requests: Cell<u64>,
}

impl ClientStatistics {
    /// Counts a closed connection or stream.
    pub fn closed(&self, cause: CloseCause) {
        increment(self.of(cause));
    }

    /// Counts a request that was answered with an error because it is invalid.
    pub fn invalid_request(&self) {
        increment(&self.invalid_requests);
    }

    fn of(&self, cause: CloseCause) -> &Cell<u64> {
        match cause {
            CloseCause::Client => &self.client,
            CloseCause::Orderly => &self.orderly,
            CloseCause::Malformed => &self.malformed,
            CloseCause::RequestTimeout => &self.request_timeout,
            CloseCause::StalledReader => &self.stalled_reader,
            CloseCause::UnsentBudget => &self.unsent_budget,
            CloseCause::IncompleteBody => &self.incomplete_body,
            CloseCause::WriteFailed => &self.write_failed,
        }
    }

    /// Logs all counts.
    pub fn log(&self) {
        tracing::info!(
            by_client = self.client.get(),
            orderly = self.orderly.get(),
            malformed = self.malformed.get(),
            request_timeout = self.request_timeout.get(),
            stalled_reader = self.stalled_reader.get(),
            unsent_budget = self.unsent_budget.get(),
            incomplete_body = self.incomplete_body.get(),
            write_failed = self.write_failed.get(),
            invalid_requests = self.invalid_requests.get(),
            "client statistics"
        );
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}
