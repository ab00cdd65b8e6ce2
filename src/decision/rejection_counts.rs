//! Counts of rejected requests by cause, for the statistics of the log. No decision depends on them.

/// Why a request is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RejectionCause {
    /// The request is invalid.
    Invalid,
    /// Load shedding.
    Load,
    /// The quota of the tenant.
    Quota,
    /// The counter granted no lease for a request that waited for it.
    NoLease,
    /// No endpoint can be selected.
    NoEndpoint,
    /// The time of the request is up, and no attempt may have run.
    NoTime,
    /// Every attempt failed, and none may have run.
    AttemptsFailed,
}

/// Rejected requests since the start, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// The request is invalid.
    pub invalid: u64,
    /// Load shedding.
    pub load: u64,
    /// The quota of the tenant.
    pub quota: u64,
    /// The counter granted no lease for a request that waited for it.
    pub no_lease: u64,
    /// No endpoint could be selected.
    pub no_endpoint: u64,
    /// The time of the request was up, and no attempt may have run.
    pub no_time: u64,
    /// Every attempt failed, and none may have run.
    pub attempts_failed: u64,
}

impl RejectionCounts {
    /// Counts a rejected request.
    pub(super) fn record(&mut self, cause: RejectionCause) {
        let count = match cause {
            RejectionCause::Invalid => &mut self.invalid,
            RejectionCause::Load => &mut self.load,
            RejectionCause::Quota => &mut self.quota,
            RejectionCause::NoLease => &mut self.no_lease,
            RejectionCause::NoEndpoint => &mut self.no_endpoint,
            RejectionCause::NoTime => &mut self.no_time,
            RejectionCause::AttemptsFailed => &mut self.attempts_failed,
        };
        *count += 1;
    }
}
