//! Statistics of the requests of one ingress.

/// Counts since the start of the process, for the log and the admin interface.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests received.
    pub received: u64,
    /// Requests served.
    pub served: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests whose client disconnected before the answer.
    pub client_gone: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Calls to the shared counter.
    pub counter_calls: u64,
}
