//! A group of ingresses that hold things for each other: a replicated log, the state machine on it, and the frames of
//! the links between members. It owns what is agreed, in which order, and when a promise may be given. It must never
//! open a socket or a file, ask for the time, or know a client's request: time, frames and the end of each write to the
//! disk are passed in, so that the same code runs in a process and, by the thousand, in virtual time.
//!
//! Consensus is the library `raft`'s; around it are incarnations (a member that lost its disk is another voter), the
//! wait for the disk, proposals that take effect once though they are sent again, and a member's status. Times are
//! monotonic milliseconds since a moment of the caller's choice.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod follower;
mod forwarding_routes;
mod frame;
mod greeting;
mod log_replica;
mod member;
mod peer;
mod record;
mod state;
mod subscribers;

pub use follower::{Follower, Replica};
pub use frame::{read_frame, Frame, FrameError, MemberAnswer, MAX_FRAME};
pub use greeting::{
    FormatRange, Hello, HelloError, Welcome, MAX_HELLO, NEWEST_FORMAT, OLDEST_FORMAT,
};
pub use member::{
    Event, Health, Member, MemberFailure, MemberStatus, ProposalRejected, Recovered, Role,
    Settings, StoredMember,
};
pub use peer::{Peer, WriteJob};
pub use record::{
    Batch, ConfRecord, EntryRecord, HardRecord, LogPosition, MessageRecord, SnapshotRecord,
};
pub use state::{
    Document, DocumentKind, Incarnation, Invitation, OpId, Outcome, Proposal, Proposed, State,
    MAX_DOCUMENT, MAX_EXCLUDED,
};

/// How many members vote at most.
pub const MAX_MEMBERS: usize = 7;
/// Fewer voters than this promise nothing: what they agree on is not copied far enough.
pub const MIN_MEMBERS: usize = 3;
/// Longest name of a member, bytes.
pub const MAX_NAME: usize = 64;

/// Whether this can be a member's name: it stands in files, frames and lines of the log.
pub fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain)
}
