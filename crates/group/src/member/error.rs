//! Why a member stops taking part, and why it refuses a call.

/// Why a member can neither vote nor promise any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum MemberFailure {
    /// The snapshot of the folder, or one from another member, cannot be read.
    #[error("the state cannot be read")]
    State,
    /// The log has a hole, or ends before what was committed.
    #[error("the log has a hole")]
    Gap,
    /// The others know of entries that this member has acknowledged and does not have.
    #[error("what was written is there no more")]
    Behind,
    /// The consensus library refuses it.
    #[error("the log cannot be used")]
    Library,
    /// A newer program has written what this one cannot carry out, or the group has a newer format version than the
    /// settings allow.
    #[error("the log is of form {0}, which this program does not know or is not to speak")]
    Form(u16),
    /// An entry that this program cannot read.
    #[error("the log holds what this program does not know")]
    Unknown,
}

/// Why a proposal or read is refused before it is sent.
#[derive(Clone, Copy, Debug, PartialEq, thiserror::Error)]
pub enum ProposalRejected {
    /// No leader for so long, ms.
    #[error("no majority for {0:.0} ms")]
    NoMajority(f64),
    /// So few members vote.
    #[error("{0} of at least 3 members vote")]
    Few(usize),
    /// Too many calls of this member are pending.
    #[error("too many calls are under way")]
    Full,
}
