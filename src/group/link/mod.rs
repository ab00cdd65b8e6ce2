//! The links between ingresses: one connection a direction between members, on which the one who connects writes, and
//! one connection both ways between a follower and its member. A member that does not read costs no more than a bound of
//! memory, no frame is taken from somebody who has not greeted, and one link's fault never reaches another.

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

/// How long the other side has for its greeting, for the rest of what it has begun, and to read what it is sent.
const PEER_TIMEOUT: Duration = Duration::from_millis(2500);
