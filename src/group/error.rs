//! Errors that prevent an ingress from joining its group.

use super::cached_replica::CachedReplicaError;
use super::store::StoreError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why this ingress cannot join its group.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// The member's folder cannot be used.
    #[error("group.folder: {0}")]
    Folder(#[from] StoreError),
    /// The address for links cannot be bound.
    #[error("group.listen: {0}: cannot listen at this address: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// This ingress is not listed as a member.
    #[error("group.members: {0} is not listed")]
    Name(String),
    /// A field that a member needs is missing; carries the field and the member's name.
    #[error("group.{0} is missing; it is required because {1} is a member")]
    Missing(&'static str, String),
    /// The follower's folder cannot be used.
    #[error("group.folder: {0}: {1}")]
    CachedReplica(PathBuf, CachedReplicaError),
    /// The operating system refused a thread or an operation on a socket.
    #[error("group: cannot start the group thread or set up its socket: {0}")]
    System(#[from] std::io::Error),
}
