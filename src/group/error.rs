//! Why the group's part of an ingress cannot start.

use super::cached_replica::CachedReplicaError;
use super::store::StoreError;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Why the group's part cannot start.
#[derive(Debug, thiserror::Error)]
pub enum GroupError {
    /// A member's folder cannot be used.
    #[error("group.folder: {0}")]
    Folder(#[from] StoreError),
    /// The link's address cannot be listened on.
    #[error("group.listen: {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
    /// This ingress is no member.
    #[error("group.members: {0} is not among them")]
    Name(String),
    /// A field that a member needs, and the member.
    #[error("group.{0} is missing: {1} is a member")]
    Missing(&'static str, String),
    /// A follower's folder cannot be used.
    #[error("group.folder: {0}: {1}")]
    CachedReplica(PathBuf, CachedReplicaError),
    /// The system gives no thread or socket.
    #[error("group: {0}")]
    System(#[from] std::io::Error),
}
