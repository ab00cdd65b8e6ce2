//! Consensus within a group of ingresses: a replicated log, the state machine on it, and the frames
//! of the links between members. The crate decides what the group has agreed on, in which order,
//! and when a proposal may be acknowledged. It opens no sockets or files, reads no clock and
//! handles no client requests: the caller passes in the time, received frames and the completion of
//! each disk write, so that the same code runs in a process and, with thousands of instances, in
//! virtual time.
//!
//! The `raft` crate implements the consensus. This crate adds incarnations (a member that lost its
//! disk returns as another voter), the ordering of messages after disk writes, proposals that take
//! effect once although they are retried, and the status of a member. Times are monotonic
//! milliseconds since a moment that the caller chooses.

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

/// Largest number of voting members.
pub const MAX_MEMBERS: usize = 7;
/// Smallest number of voters with which proposals are accepted: with fewer voters, a committed
/// entry has too few copies.
pub const MIN_MEMBERS: usize = 3;
/// Longest name of a member, bytes.
pub const MAX_NAME: usize = 64;

/// Whether `name` is a valid member name. Member names appear in files, frames and log lines.
pub fn is_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME && name.bytes().all(plain)
}
