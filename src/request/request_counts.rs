//! Statistics of the requests and attempts of one ingress.

use crate::decision::Outcome;

/// Counts since the start of the process, for the log and the admin interface.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
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
    /// Requests failed because their id is that of an open or recent request.
    pub repeated_ids: u64,
    /// Requests rejected before any decision: while draining, by a rule or the plug-in, or because
    /// they had waited unread.
    pub rejected_undecided: u64,
    /// Requests rejected because requests in flight use all memory for them.
    pub rejected_for_memory: u64,
    /// Requests whose final answer was made after their time.
    pub answered_late: u64,
    /// Longest time from the end of a request's time to its final answer, ms.
    pub longest_lateness_ms: f64,
    /// Attempts sent.
    pub attempts: u64,
    /// Calls to the shared counter.
    pub counter_calls: u64,
    /// Ends of attempts, by outcome.
    pub attempt_ends: AttemptEndCounts,
}

/// Numbers of the entries that requests leave in the tables of one ingress, at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableSizes {
    /// Requests with an attempt that has not ended, or without an answer.
    pub in_flight: usize,
    /// Memory of these requests, bytes.
    pub request_bytes: usize,
    /// Tenants that are remembered.
    pub tenants: usize,
    /// Counter calls whose totals are awaited.
    pub awaited_calls: usize,
    /// Ids of open and recent requests.
    pub recent_ids: usize,
}

/// Ends of attempts since the start of the process, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptEndCounts {
    /// The endpoint served the request.
    pub served: u64,
    /// The endpoint answered with an error.
    pub error: u64,
    /// The endpoint rejected the request.
    pub rejected: u64,
    /// No answer arrived before the deadline.
    pub timeout: u64,
    /// No connection was established, or the request was not written completely.
    pub connect_failed: u64,
    /// The connection or stream was lost, or the answer was malformed.
    pub reset: u64,
    /// The ingress cancelled the attempt.
    pub cancelled: u64,
    /// A rule of the request table prevented the attempt.
    pub not_sent: u64,
}

impl RequestCounts {
    /// Records how long after the end of a request's time its final answer was made; not positive if
    /// it was made in time.
    pub(super) fn record_lateness(&mut self, lateness_ms: f64) {
        if lateness_ms > 0.0 {
            self.answered_late += 1;
            self.longest_lateness_ms = self.longest_lateness_ms.max(lateness_ms);
        }
    }
}

impl AttemptEndCounts {
    /// Counts the end of an attempt.
    pub(super) fn record(&mut self, outcome: Outcome) {
        let count = match outcome {
            Outcome::Ok => &mut self.served,
            Outcome::Error => &mut self.error,
            Outcome::Rejected => &mut self.rejected,
            Outcome::Timeout => &mut self.timeout,
            Outcome::ConnectFailed => &mut self.connect_failed,
            Outcome::Reset => &mut self.reset,
            Outcome::Cancelled => &mut self.cancelled,
            Outcome::NotSent => &mut self.not_sent,
        };
        *count += 1;
    }
}
