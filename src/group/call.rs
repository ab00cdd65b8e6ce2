//! What goes between the group's thread and the rest of the ingress.

use driftgap_group::{Document, DocumentKind, MemberStatus, Outcome, Proposal};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use tokio::sync::oneshot;

/// What the group holds, as this ingress knows it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Excluded endpoints.
    pub excluded: Arc<BTreeSet<String>>,
    /// The last accepted versions of what operators write.
    pub documents: Arc<BTreeMap<DocumentKind, Document>>,
    /// The last index of the log that is carried out here.
    pub applied: u64,
}

/// How the group's part of this ingress stands.
#[derive(Clone, Debug)]
pub enum MembershipStatus {
    /// Its folder is empty, and it has not been admitted yet.
    Joining,
    /// It is a member.
    Member(Box<MemberStatus>),
    /// It follows a member; none: it reaches none now.
    Follower {
        /// The member.
        member: Option<String>,
        /// The last index in its replica.
        applied: u64,
        /// How old its replica is, ms; none: it has none.
        age_ms: Option<f64>,
        /// Up to which index of the log the copy on its disk holds everything, which a crash does not take back; none:
        /// it has no folder, or nothing is written yet.
        stored: Option<u64>,
    },
    /// It neither votes nor promises any more, and why.
    Failed(String),
}

/// How a call at the group ended.
#[derive(Clone, Debug)]
pub enum CallResult {
    /// It is committed, and on the disks of a majority; what the group holds now.
    Done(Outcome, View),
    /// It was not done, and why.
    Refused(String),
    /// Nobody knows whether it will yet be done.
    Unknown,
}

/// What the rest of the ingress asks of the group's thread, and where the answer goes.
pub(super) enum Request {
    Proposal(Proposal, oneshot::Sender<CallResult>),
    Read(oneshot::Sender<CallResult>),
    MembershipStatus(oneshot::Sender<MembershipStatus>),
    Leave(oneshot::Sender<()>),
}
