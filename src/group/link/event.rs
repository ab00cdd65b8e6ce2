//! Events that links report to the task that owns them.

use super::LinkSender;
use driftgap_group::Frame;
use std::rc::Rc;

/// An event of a member's links.
pub(in crate::group) enum LinkEvent {
    /// Another ingress has opened a link to this one.
    HelloReceived { name: String, newest_format: u16 },
    /// A frame arrived over a link that another ingress has opened.
    Frame {
        from: String,
        /// The incarnation in the sender's hello; 0 if it has none.
        incarnation: u64,
        frame: Box<Frame>,
    },
    /// The link to this member has ended, and frames in flight are lost.
    Disconnected { name: String },
    /// A follower has connected.
    FollowerConnected {
        connection: u64,
        name: String,
        sender: Rc<LinkSender>,
    },
    /// A frame arrived from a follower.
    FollowerFrame { connection: u64, frame: Box<Frame> },
    /// A follower's connection has ended.
    FollowerDisconnected { connection: u64 },
}

/// An event of a follower's one link.
pub(in crate::group) enum FollowerLinkEvent {
    /// The link to a member of this group is up.
    Up { sender: Rc<LinkSender>, group: u64 },
    /// A frame arrived from the member.
    Frame(Box<Frame>),
    /// The link could not be opened, or has ended.
    Down,
}
