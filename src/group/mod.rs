//! Runs this ingress as a member or a follower of a group. The group has a thread of its own; the
//! rest of the ingress reaches it through the [`Group`] handle, which takes calls and publishes the
//! group's state. A client's request never waits for the group. Without a `[group]` section in the
//! operator's file there is no thread, no listener and no file. The consensus protocol is in
//! `driftgap_group`.

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

/// Returns a random number that is never 0. The randomness comes from the seeds that the operating
/// system gives the standard library's hashers.
fn random_id() -> u64 {
    use std::hash::{BuildHasher, Hasher};
    std::hash::RandomState::new().build_hasher().finish().max(1)
}
