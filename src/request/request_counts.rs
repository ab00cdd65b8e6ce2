//! What an ingress counts of its requests.

/// Counts since the start of the process, for the log and for staff.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests taken.
    pub received: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client had gone before its answer.
    pub client_gone: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Counter calls.
    pub counter_calls: u64,
}
