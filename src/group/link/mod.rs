//! Links between ingresses. Two members have one connection for each direction, on which the side
//! that connected writes. A follower and its member share one connection for both directions. A
//! peer that does not read costs a bounded amount of memory, no frame is accepted before a valid
//! hello, and a fault of one link does not affect another.

mod error;
mod event;
mod frame_reader;
mod identity;
mod incoming;
mod outgoing;
mod sender;
mod statistics;

pub(super) use event::{FollowerLinkEvent, LinkEvent};
pub(super) use identity::LinkIdentity;
pub(super) use incoming::{listen, MAX_FOLLOWERS};
pub(super) use outgoing::{follow, MemberLink};
pub(super) use sender::LinkSender;
pub(super) use statistics::LinkStatistics;

use std::time::Duration;

/// Timeout for connecting, for the peer's part of the handshake, for each read, and for the peer to
/// read what is sent.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
