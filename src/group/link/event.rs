//! What links report to the task that has them.

use super::LinkSender;
use driftgap_group::Frame;
use std::rc::Rc;

/// What a member's links report.
pub(in crate::group) enum LinkEvent {
    /// An ingress has opened a link to this one.
    Greeted { name: String, newest_format: u16 },
    /// A frame over a link that another ingress has opened.
    Frame {
        from: String,
        /// As which the other side has greeted; 0: none.
        incarnation: u64,
        frame: Box<Frame>,
    },
    /// The link to this member has ended: what was sent is lost.
    Broken { name: String },
    /// A connection has become a follower's.
    FollowerConnected {
        connection: u64,
        name: String,
        sender: Rc<LinkSender>,
    },
    /// A frame from a follower.
    FollowerFrame { connection: u64, frame: Box<Frame> },
    /// A follower's connection has ended.
    FollowerGone { connection: u64 },
}

/// What a follower's one link reports.
pub(in crate::group) enum FollowerLinkEvent {
    /// It is up, to a member of this group.
    Up { sender: Rc<LinkSender>, group: u64 },
    /// A frame from the member.
    Frame(Box<Frame>),
    /// It could not be made, or has ended.
    Down,
}
