//! This ingress in a group with others. It owns the group's thread, and the handle by which the rest of the ingress
//! reaches it: calls go in, answers and what the group holds come out. It must never let a client's request wait for
//! the group, nor exist where the operator's file has no `[group]`: then there is no thread, no listener and no file.
//! What the group agrees on is decided in `driftgap_group`.

mod cached_replica;
mod call;
mod clock;
mod documents;
mod error;
mod follower_task;
mod handle;
mod link;
mod member_task;
mod offline;
mod settings;
pub mod store;
mod thread;

pub use cached_replica::CachedReplicaError;
pub use call::{CallResult, MembershipStatus, View};
pub use error::GroupError;
pub use handle::Group;
pub use offline::{init, inspect, recover};
pub use settings::GroupSettings;
pub use thread::start;

/// A number like no other, never 0: the seeds of the standard library's hashers come from the system.
fn random_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish().max(1)
}
