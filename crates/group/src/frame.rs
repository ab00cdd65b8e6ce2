//! The frames of a link: a length, a checksum, a body that is encoded by position (the order of fields and variants must
//! not change). A body that is longer than its bound is not taken, nor one whose checksum differs.

use crate::record::MessageRecord;
use crate::state::{Document, DocumentKind, OpId, Outcome, Proposal};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Largest frame, bytes: a snapshot with all its documents, and more.
pub const MAX_FRAME: usize = 6 << 20;
/// Length and checksum, 4 bytes each.
const HEADER_BYTES: usize = 8;

/// Bytes that are no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// Longer than may be.
    #[error("a frame of {0} bytes")]
    Long(usize),
    /// The checksum differs.
    #[error("torn or spoilt bytes")]
    Spoilt,
    /// It holds nothing that is known.
    #[error("no such frame")]
    Unknown,
}

/// What has become of a follower's proposal or read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberAnswer {
    /// Committed, and in the follower's replica by now.
    Done(Outcome),
    /// The follower's replica is at least what any caller was promised when the read was asked for.
    Read,
    /// Not done, and why.
    Refused(String),
    /// Nobody knows whether it will be done.
    Unknown,
}

/// What goes over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Nothing: the link is there.
    Idle,
    /// A message of the consensus library.
    Raft(MessageRecord),
    /// An ingress with an empty folder asks to be admitted.
    Join {
        /// Tells its folder from every other.
        nonce: u64,
    },
    /// It has been.
    Admitted {
        /// The group.
        group: u64,
        /// Its incarnation.
        id: u64,
        /// The folder that was let in.
        nonce: u64,
    },
    /// Whom a member hears, by name: reported by itself, and forwarded once.
    Reachability {
        /// Who reports.
        of: String,
        /// Whom it hears.
        hears: Vec<String>,
    },
    /// A message of the consensus library, to be forwarded: the direct link does not carry.
    Forward(MessageRecord),
    /// One that was forwarded.
    Forwarded(MessageRecord),
    /// A follower subscribes to this member; what it is sent comes on the same connection.
    Follow {
        /// The documents that it has.
        have: Vec<(DocumentKind, u64)>,
    },
    /// A follower's proposal, or a read where there is none.
    Call {
        /// Which; the same if it is asked again.
        op: OpId,
        /// The last index in the follower's replica.
        made_at: u64,
        /// What.
        proposal: Option<Proposal>,
    },
    /// What has become of it.
    Answer {
        /// Which.
        op: OpId,
        /// What.
        answer: MemberAnswer,
    },
    /// What a follower lacks.
    ReplicaUpdate {
        /// The last index of the log that is carried out.
        applied: u64,
        /// How old that is by itself, ms.
        age_ms: f64,
        /// All excluded endpoints; none: as before.
        out: Option<Vec<String>>,
        /// New versions.
        documents: Vec<(DocumentKind, Document)>,
    },
}

impl Frame {
    /// Whether a link may carry this whose sender has greeted as this incarnation; 0: as none, which is a follower, or
    /// an ingress that has not been admitted.
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

    /// The bytes to be sent.
    pub fn bytes(&self) -> Vec<u8> {
        encode_frame(self)
    }
}

/// Any body as a frame: length, checksum, body.
pub(crate) fn encode_frame<T: Serialize>(body: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(body).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

/// The body that the bytes begin with, and how many of them it took; none: it is not whole yet.
///
/// # Errors
/// It is none, or longer than `max_bytes`.
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
        return Err(FrameError::Long(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != checksum {
        return Err(FrameError::Spoilt);
    }
    let (value, left) = postcard::take_from_bytes(body).map_err(|_| FrameError::Unknown)?;
    if !left.is_empty() {
        return Err(FrameError::Unknown);
    }
    Ok(Some((value, HEADER_BYTES + length)))
}

/// The number that the bytes begin with, and the rest.
fn split_u32(bytes: &[u8]) -> Option<(u32, &[u8])> {
    let (number, rest) = bytes.split_first_chunk::<4>()?;
    Some((u32::from_le_bytes(*number), rest))
}
