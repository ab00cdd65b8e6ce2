//! Why an attempt ended without a usable reply. The outcome of the attempt depends on whether the
//! request was written, not on this cause; the cause is for the log.

/// The cause that an endpoint's reply could not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum ReplyError {
    /// The endpoint ended or reset the connection or stream, or the reply exceeds its bound.
    #[error("the endpoint ended the connection or stream")]
    Ended,
    /// The bytes are no reply.
    #[error("the reply is malformed")]
    Malformed,
}
