//! Errors of a member: why it stops, and why it rejects a call.

/// Why a member can neither vote nor acknowledge proposals any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberFailure {
    /// The snapshot in the folder, or one from another member, cannot be decoded.
    #[error("the state cannot be read")]
    InvalidSnapshot,
    /// The log has a gap, or ends before the commit index.
    #[error("the log has a hole")]
    LogGap,
    /// Other members refer to entries that this member has acknowledged and does not have.
    #[error("what was written is there no more")]
    LostEntries,
    /// The consensus library rejects the stored log.
    #[error("the log cannot be used")]
    Raft,
    /// The log has a format version that is newer than this program supports, or newer than the
    /// settings allow.
    #[error("the log is of form {0}, which this program does not know or is not to speak")]
    UnsupportedFormat(u16),
    /// The log contains an entry that this program cannot decode.
    #[error("the log holds what this program does not know")]
    UndecodableEntry,
}

/// Why a proposal or read is rejected before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ProposalRejected {
    /// The group has had no leader for this long, ms.
    #[error("no majority for {0:.0} ms")]
    NoMajority(f64),
    /// Only this many members vote.
    #[error("{0} of at least 3 members vote")]
    TooFewVoters(usize),
    /// Too many calls of this member are pending.
    #[error("too many calls are under way")]
    TooManyCalls,
}
