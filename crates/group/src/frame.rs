//! Frames of a link: a length, a checksum and a body that is encoded by position (the order of
//! fields and variants must not change). A frame whose body exceeds the size limit or does not
//! match the checksum is rejected.

use crate::record::MessageRecord;
use crate::state::{Document, DocumentKind, OpId, Outcome, Proposal};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Largest frame, bytes: more than a snapshot with all its documents.
pub const MAX_FRAME: usize = 6 << 20;
/// Length and checksum, 4 bytes each.
const HEADER_BYTES: usize = 8;

/// Why bytes cannot be decoded as a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The body is longer than the limit.
    #[error("frame of {0} bytes exceeds the size limit")]
    TooLong(usize),
    /// The checksum does not match the body.
    #[error("frame checksum mismatch")]
    ChecksumMismatch,
    /// The body is not a known frame.
    #[error("frame body cannot be decoded")]
    Undecodable,
}

/// The result of a follower's proposal or read, as reported by the member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberAnswer {
    /// The proposal is committed, and the follower's replica includes it by now.
    Done(Outcome),
    /// The follower's replica is at least as new as every change and read that was acknowledged to
    /// any caller before this read was requested.
    Read,
    /// The call was refused, with the reason.
    Refused(String),
    /// The result is unknown: the proposal may still take effect.
    Unknown,
}

/// A message on a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Empty frame, which shows that the link is alive.
    Idle,
    /// A message of the consensus library.
    Raft(MessageRecord),
    /// Request of an ingress with an empty folder to be admitted.
    Join {
        /// Identifies the folder, unique among all folders.
        nonce: u64,
    },
    /// Confirms that the ingress has been admitted.
    Admitted {
        /// The group id.
        group: u64,
        /// The incarnation assigned to the ingress.
        id: u64,
        /// The nonce of the folder that was admitted.
        nonce: u64,
    },
    /// The members from which one member receives frames, by name. That member sends the report,
    /// and its receivers forward it once.
    Reachability {
        /// The member that reports.
        of: String,
        /// The members from which it receives frames.
        receives_from: Vec<String>,
    },
    /// A message of the consensus library that the receiver is to forward, because the direct link
    /// delivers nothing.
    Forward(MessageRecord),
    /// A message of the consensus library that another member has forwarded.
    Forwarded(MessageRecord),
    /// Subscribes a follower to this member, which sends updates on the same connection.
    Follow {
        /// The documents that the follower has, with their version numbers.
        have: Vec<(DocumentKind, u64)>,
    },
    /// A follower's proposal, or a read if there is no proposal.
    Call {
        /// The operation id, which stays the same when the call is repeated.
        op: OpId,
        /// The last log index applied to the follower's replica when it made the call.
        made_at: u64,
        /// The proposal; `None` if the call is a read.
        proposal: Option<Proposal>,
    },
    /// The result of a follower's call.
    Answer {
        /// The operation id of the call.
        op: OpId,
        /// The result.
        answer: MemberAnswer,
    },
    /// The changes that a follower's replica lacks.
    ReplicaUpdate {
        /// The last log index that the member has applied.
        applied: u64,
        /// The age of the member's state, ms.
        age_ms: f64,
        /// All excluded endpoints; `None` if they have not changed.
        out: Option<Vec<String>>,
        /// New versions of documents.
        documents: Vec<(DocumentKind, Document)>,
    },
}

impl Frame {
    /// Whether a link may carry this frame when its sender has identified itself as `incarnation`.
    /// 0 stands for no incarnation: a follower, or an ingress that has not been admitted.
    pub fn is_allowed_from(&self, incarnation: u64) -> bool {
        let is_member = incarnation != 0;
        match self {
            Frame::Raft(message) => is_member && message.from == incarnation,
            Frame::Admitted { .. } | Frame::Reachability { .. } => is_member,
            Frame::Forward(_) | Frame::Forwarded(_) => is_member,
            Frame::Follow { .. } | Frame::Call { .. } => !is_member,
            // Members send these to followers, on the connection that the follower has opened.
            Frame::Answer { .. } | Frame::ReplicaUpdate { .. } => false,
            Frame::Join { .. } | Frame::Idle => true,
        }
    }

    /// Encodes the frame.
    pub fn bytes(&self) -> Vec<u8> {
        encode_frame(self)
    }
}

/// Encodes a body as a frame: length, checksum, body.
pub(crate) fn encode_frame<T: Serialize>(body: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(body).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// Decodes the frame at the beginning of `bytes`. Returns the body and the length of the frame in
/// bytes; `None`: the frame is incomplete.
///
/// # Errors
/// The body is longer than `max_bytes`, does not match the checksum, or cannot be decoded.
pub fn read_frame<T: DeserializeOwned>(
    bytes: &[u8],
    max_bytes: usize,
) -> Result<Option<(T, usize)>, FrameError> {
    let Some((length, rest)) = split_u32(bytes) else {
        return Ok(None);
    };
    let Some((checksum, rest)) = split_u32(rest) else {
        return Ok(None);
    };
    let length = length as usize;
    if length > max_bytes {
        return Err(FrameError::TooLong(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != checksum {
        return Err(FrameError::ChecksumMismatch);
    }
    let (value, left) = postcard::take_from_bytes(body).map_err(|_| FrameError::Undecodable)?;
    if !left.is_empty() {
        return Err(FrameError::Undecodable);
    }
    Ok(Some((value, HEADER_BYTES + length)))
}

/// Splits a little-endian number off the beginning of `bytes`.
fn split_u32(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (number, rest) = bytes.split_first_chunk::<4>()?;
    Some((u32::from_le_bytes(*number), rest))
}
