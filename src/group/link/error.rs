//! Why a link between ingresses could not be made, or has ended: what is logged, and by which name it is counted.

use driftgap_group::{FrameError, HelloError};

/// Why a link could not be made, or has ended.
#[derive(Debug, thiserror::Error)]
pub(in crate::group) enum LinkError {
    /// The other side did not take the connection.
    #[error("no connection in time")]
    ConnectTimeout,
    /// The side that connected sent no greeting, or not all of it.
    #[error("no greeting in time")]
    GreetingTimeout,
    /// The side that connected sent something else.
    #[error("no greeting")]
    NoGreeting,
    /// The other side took the connection and sent nothing.
    #[error("no welcome in time")]
    WelcomeTimeout,
    /// The other side ended the connection instead of welcoming this one.
    #[error("rejected")]
    Rejected,
    /// The other side is none that this one can speak with.
    #[error(transparent)]
    Hello(#[from] HelloError),
    /// Bytes that are no frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The sender's greeting does not allow it to send such a frame.
    #[error("speaks in another's name")]
    FrameNotAllowed,
    /// A follower sent what only members send.
    #[error("speaks as a member")]
    FollowerFrameNotAllowed,
    /// A frame that trickles in for too long.
    #[error("a frame that does not end")]
    FrameTimeout,
    /// The connection ended within a frame.
    #[error("torn within a frame")]
    TornFrame,
    /// Nothing came, not even an idle frame.
    #[error("silent")]
    ReadTimeout,
    /// The other side took nothing of what was sent.
    #[error("it reads nothing")]
    WriteTimeout,
    /// This side gave up a follower: it reads too slowly, or there are too many.
    #[error("reads nothing, or one too many")]
    FollowerDropped,
    /// More links are open than may be.
    #[error("too many links")]
    TooManyLinks,
    /// The other side ended the connection.
    #[error("ended by the other side")]
    Closed,
    /// This ingress has been admitted since it greeted.
    #[error("let in meanwhile: greets anew")]
    IncarnationChanged,
    /// The system's.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

impl LinkError {
    /// The name by which it is counted.
    pub(super) fn cause(&self) -> &'static str {
        match self {
            LinkError::ConnectTimeout => "connect_timeout",
            LinkError::GreetingTimeout => "greeting_timeout",
            LinkError::NoGreeting => "no_greeting",
            LinkError::WelcomeTimeout => "welcome_timeout",
            LinkError::Rejected => "rejected",
            LinkError::Hello(HelloError::UnknownProtocol) => "foreign",
            LinkError::Hello(HelloError::OtherMember) => "other_member",
            LinkError::Hello(HelloError::OtherGroup) => "other_group",
            LinkError::Hello(HelloError::NoCommonFormat) => "unknown_form",
            LinkError::Hello(HelloError::OutdatedFormat) => "older_form",
            LinkError::Frame(_) => "bad_frame",
            LinkError::FrameNotAllowed => "frame_not_allowed",
            LinkError::FollowerFrameNotAllowed => "follower_frame_not_allowed",
            LinkError::FrameTimeout => "frame_timeout",
            LinkError::TornFrame => "torn_frame",
            LinkError::ReadTimeout => "read_timeout",
            LinkError::WriteTimeout => "write_timeout",
            LinkError::FollowerDropped => "follower_dropped",
            LinkError::TooManyLinks => "too_many_links",
            LinkError::Closed => "closed",
            LinkError::IncarnationChanged => "incarnation_changed",
            LinkError::System(_) => "system",
        }
    }
}
