//! Requests and results between the group's thread and the rest of the ingress.

use driftgap_group::{Document, DocumentKind, MemberStatus, Outcome, Proposal};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::oneshot;

/// The group's state as this ingress knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Excluded endpoints.
    pub excluded: Arc<BTreeSet<String>>,
    /// The last accepted versions of the documents that operators write.
    pub documents: Arc<BTreeMap<DocumentKind, Document>>,
    /// The last log index that is applied here.
    pub applied: u64,
}

/// The status of this ingress in the group.
#[derive(Clone, Debug)]
pub enum MembershipStatus {
    /// The folder is empty, and this ingress has not been admitted yet.
    Joining,
    /// This ingress is a member.
    Member(Box<MemberStatus>),
    /// This ingress follows a member.
    Follower {
        /// The member, or `None` while none is connected.
        member: Option<String>,
        /// The last log index in the replica.
        applied: u64,
        /// The age of the replica, ms. `None` if it was not updated since the start.
        age_ms: Option<f64>,
        /// The log index up to which the copy on the disk is complete. A crash does not undo it.
        /// `None` without a folder, or before the first write.
        stored: Option<u64>,
    },
    /// This ingress has stopped voting and acknowledging calls, for the given reason.
    Failed(String),
}

/// The result of a call to the group.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// The call is committed on the disks of a majority. Carries the group's state after it.
    Done(Outcome, View),
    /// The call was not carried out, for the given reason.
    Refused(String),
    /// The call may or may not take effect: no answer came in time.
    Unknown,
}

/// A request to the group's thread, with the channel for its answer.
pub(super) enum Request {
    Proposal(Proposal, oneshot::Sender<CallResult>),
    Read(oneshot::Sender<CallResult>),
    MembershipStatus(oneshot::Sender<MembershipStatus>),
    Leave(oneshot::Sender<()>),
}
