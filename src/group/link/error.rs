//! Errors of links between ingresses: the texts that are logged, and the names by which they are counted.

use driftgap_group::{FrameError, HelloError};

/// Why a link could not be opened, or has ended.
#[derive(Debug, thiserror::Error)]
pub(in crate::group) enum LinkError {
    /// The peer did not accept the connection.
    #[error("connect timed out")]
    ConnectTimeout,
    /// The connecting peer sent no complete hello.
    #[error("the connecting peer sent no complete hello within the time limit")]
    GreetingTimeout,
    /// The connecting peer sent something other than a hello, or closed the connection.
    #[error("the connecting peer sent no valid hello")]
    NoGreeting,
    /// The peer accepted the connection and sent no complete welcome.
    #[error("the peer sent no complete welcome within the time limit")]
    WelcomeTimeout,
    /// The peer closed the connection, or sent something other than a welcome.
    #[error("the peer rejected the hello, or sent no valid welcome")]
    Rejected,
    /// The peer's hello or welcome is not acceptable.
    #[error(transparent)]
    Hello(#[from] HelloError),
    /// The received bytes are not a valid frame.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The sender's hello does not allow it to send such a frame.
    #[error("frame not allowed for this sender")]
    FrameNotAllowed,
    /// A follower sent a frame that only members may send.
    #[error("frame not allowed for a follower")]
    FollowerFrameNotAllowed,
    /// A frame took too long to arrive completely.
    #[error("incomplete frame timed out")]
    FrameTimeout,
    /// The connection ended within a frame.
    #[error("connection ended within a frame")]
    TornFrame,
    /// The peer sent nothing, not even an idle frame.
    #[error("read timed out")]
    ReadTimeout,
    /// The peer read none of the bytes that were sent.
    #[error("write timed out")]
    WriteTimeout,
    /// This member dropped a follower: it reads too slowly, or there are too many followers.
    #[error("follower reads too slowly, or there are too many followers")]
    FollowerDropped,
    /// The most links that may be open are open already.
    #[error("too many open links")]
    TooManyLinks,
    /// The peer closed the connection.
    #[error("the peer closed the link")]
    Closed,
    /// This ingress has been admitted since it sent its hello.
    #[error("this ingress was admitted after it sent its hello: reconnecting")]
    IncarnationChanged,
    /// An error of the operating system.
    #[error("connecting, reading or writing failed: {0}")]
    System(#[from] std::io::Error),
}

impl LinkError {
    /// Returns the name under which the error is counted.
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
