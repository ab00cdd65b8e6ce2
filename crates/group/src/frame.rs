//! The frames of the link between members. It owns their form, bounds and versions: a length, a checksum, a body. It
//! must never take a body that is longer than its bound, or trust one whose checksum differs.

use crate::record::MessageRecord;
use crate::state::{Document, DocumentKind, OpId, Outcome, Proposal};
use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// The forms of the link and of the log that this program speaks, the oldest and the newest. What a newer form adds is
/// used only once the group has raised its own form, which it does when all members speak it.
pub const FORMAT_VERSIONS: (u16, u16) = (1, 2);
/// Largest frame, bytes: a state with all its documents and room beside it.
pub const MAX_FRAME: usize = 6 << 20;
/// Largest greeting, bytes.
pub const MAX_HELLO: usize = 512;
/// Length and checksum.
const HEAD: usize = 8;
const MAGIC: [u8; 4] = *b"DGL1";

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

/// Why a greeting, or the answer to it, is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HelloError {
    /// Something else speaks at this address.
    #[error("no link of this program")]
    Foreign,
    /// It means to reach a member of another name.
    #[error("meant for another member")]
    OtherMember,
    /// It is of another group.
    #[error("of another group")]
    OtherGroup,
    /// There is no form that both speak.
    #[error("speaks no form that is known here")]
    UnknownForm,
    /// It cannot take part in what the group has agreed on.
    #[error("an older program, or one kept to an older form, than the group has")]
    OlderForm,
}

/// The first frame of whoever connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// That this is a link at all.
    pub magic: [u8; 4],
    /// The forms that it speaks, the oldest and the newest.
    pub forms: (u16, u16),
    /// Its group; 0: it is in none yet.
    pub group: u64,
    /// Its incarnation; 0: none yet.
    pub id: u64,
    /// Its name.
    pub name: String,
    /// Whom it means to reach.
    pub to: String,
}

/// The answer to it, and the only frame that way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The form to be spoken.
    pub form: u16,
    /// The group of whom it reached.
    pub group: u64,
    /// Its incarnation.
    pub id: u64,
}

impl Hello {
    /// A greeting of one that speaks no newer form than `newest`.
    pub fn new(newest: u16, group: u64, id: u64, name: &str, to: &str) -> Hello {
        let forms = (FORMAT_VERSIONS.0, newest.min(FORMAT_VERSIONS.1));
        Hello {
            magic: MAGIC,
            forms,
            group,
            id,
            name: name.into(),
            to: to.into(),
        }
    }

    /// The form to be spoken with whoever sent this; why not, if with none. `forms`: the form that the group has, and
    /// the newest that this member speaks. Followers see no log: the oldest form is enough for them.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn judge(&self, forms: (u16, u16), group: u64, name: &str) -> Result<u16, HelloError> {
        if self.magic != MAGIC {
            return Err(HelloError::Foreign);
        }
        if self.to != name {
            return Err(HelloError::OtherMember);
        }
        if self.group != 0 && group != 0 && self.group != group {
            return Err(HelloError::OtherGroup);
        }
        if self.forms.1 < FORMAT_VERSIONS.0 || self.forms.0 > forms.1 {
            return Err(HelloError::UnknownForm);
        }
        if self.id != 0 && self.forms.1 < forms.0 {
            return Err(HelloError::OlderForm);
        }
        Ok(self.forms.1.min(forms.1))
    }
}

/// What has become of a follower's wish or read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answered {
    /// Agreed, and in the copy by now.
    Done(Outcome),
    /// The copy is at least what anybody was told when it was asked for.
    Read,
    /// Not done, and why.
    Refused(String),
    /// Nobody knows.
    Open,
}

/// What goes over a link.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Nothing: the link is there.
    Idle,
    /// The library's.
    Raft(MessageRecord),
    /// A member with an empty folder asks to be let in.
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
    /// Whom a member hears, by name; told by itself, and passed on once.
    Hears {
        /// Who hears.
        of: String,
        /// Whom.
        hears: Vec<String>,
    },
    /// The library's, to be passed on to whom it is for: the direct way does not carry.
    Round(MessageRecord),
    /// One that came round.
    Passed(MessageRecord),
    /// An ingress beside the group follows this member; the answer comes on the same connection.
    Follow {
        /// The documents that it has.
        have: Vec<(DocumentKind, u64)>,
    },
    /// A follower's wish, or a read where there is none.
    Ask {
        /// Which; the same if it is asked again.
        op: OpId,
        /// How far the follower's copy was.
        made_at: u64,
        /// What.
        proposal: Option<Proposal>,
    },
    /// What has become of it.
    Answer {
        /// Which.
        op: OpId,
        /// What.
        answered: Answered,
    },
    /// What a follower lacks.
    Copy {
        /// How far the log is carried out.
        applied: u64,
        /// How old that is by itself, ms.
        age_ms: f64,
        /// All that are out; none: as before.
        out: Option<Vec<String>>,
        /// New versions.
        documents: Vec<(DocumentKind, Document)>,
    },
}

impl Frame {
    /// Whether a link may carry this whose sender has greeted as this incarnation; 0: as none, which is a follower, or
    /// an ingress that has not been let in.
    pub fn is_allowed_from(&self, incarnation: u64) -> bool {
        let is_member = incarnation != 0;
        match self {
            Frame::Raft(message) => is_member && message.from == incarnation,
            Frame::Admitted { .. } | Frame::Hears { .. } => is_member,
            Frame::Round(_) | Frame::Passed(_) => is_member,
            Frame::Follow { .. } | Frame::Ask { .. } => !is_member,
            // Members send these to followers, on the connection that the follower has opened.
            Frame::Answer { .. } | Frame::Copy { .. } => false,
            Frame::Join { .. } | Frame::Idle => true,
        }
    }

    /// The bytes to be sent.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }
}

/// Any body as a frame.
pub(crate) fn framed<T: Serialize>(body: &T) -> Vec<u8> {
    let body = postcard::to_stdvec(body).unwrap_or_default();
    let mut bytes = Vec::with_capacity(HEAD + body.len());
    bytes.extend((body.len() as u32).to_le_bytes());
    bytes.extend(crc32fast::hash(&body).to_le_bytes());
    bytes.extend(body);
    bytes
}

impl Hello {
    /// The bytes to be sent.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }
}

impl Welcome {
    /// The bytes to be sent.
    pub fn bytes(&self) -> Vec<u8> {
        framed(self)
    }
}

/// The body that the bytes begin with, and how many of them it took; none: it is not whole yet.
///
/// # Errors
/// It is none, or longer than `most`.
pub fn read_frame<T: DeserializeOwned>(
    bytes: &[u8],
    max: usize,
) -> Result<Option<(T, usize)>, FrameError> {
    let Some((head, rest)) = bytes.split_first_chunk::<HEAD>() else {
        return Ok(None);
    };
    let [a, b, c, d, e, f, g, h] = *head;
    let length = u32::from_le_bytes([a, b, c, d]) as usize;
    if length > max {
        return Err(FrameError::Long(length));
    }
    let Some(body) = rest.get(..length) else {
        return Ok(None);
    };
    if crc32fast::hash(body) != u32::from_le_bytes([e, f, g, h]) {
        return Err(FrameError::Spoilt);
    }
    let (value, left) = postcard::take_from_bytes(body).map_err(|_| FrameError::Unknown)?;
    if !left.is_empty() {
        return Err(FrameError::Unknown);
    }
    Ok(Some((value, HEAD + length)))
}
