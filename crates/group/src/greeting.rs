//! Hello and welcome, the first frame in each direction of a connection. Their exchange is the
//! handshake: it identifies the connecting ingress and its group, and negotiates the format
//! version. Encoded by position: the order of fields must not change.

use crate::frame::encode_frame;
use serde::{Deserialize, Serialize};

/// Oldest format version of links and of the log that this program supports.
pub const OLDEST_FORMAT: u16 = 1;
/// Newest format version that this program supports. Its additions are used only after the group
/// has raised its own format version, which it does when all members support the new one.
pub const NEWEST_FORMAT: u16 = 2;
/// Maximum size of a hello, bytes.
pub const MAX_HELLO: usize = 512;
/// Distinguishes the hellos of this protocol from other bytes.
const MAGIC: [u8; 4] = *b"DGL1";

/// Why a hello, or the welcome that answers it, is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HelloError {
    /// The peer uses another protocol.
    #[error("peer does not use this link protocol")]
    UnknownProtocol,
    /// The hello is addressed to a member of another name.
    #[error("the hello is addressed to another member")]
    OtherMember,
    /// The peer belongs to another group.
    #[error("peer belongs to another group")]
    OtherGroup,
    /// The two sides have no format version in common.
    #[error("no common format version")]
    NoCommonFormat,
    /// The peer does not support the format version of the group's log.
    #[error("peer does not support the format version of the group")]
    OutdatedFormat,
}

/// An inclusive range of format versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRange {
    /// The oldest version.
    pub oldest: u16,
    /// The newest version.
    pub newest: u16,
}

/// The first frame of the side that opens a connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// Identifies the protocol.
    pub magic: [u8; 4],
    /// The format versions that the sender supports.
    pub formats: FormatRange,
    /// The sender's group; 0: none yet.
    pub group: u64,
    /// The sender's incarnation; 0: none yet.
    pub id: u64,
    /// The sender's name.
    pub name: String,
    /// The name of the member that the sender intends to reach.
    pub to: String,
}

/// The answer to a [`Hello`]. Between members it is the only frame in that direction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The format version to use on the connection.
    pub format_version: u16,
    /// The group of the answering member.
    pub group: u64,
    /// The incarnation of the answering member.
    pub id: u64,
}

impl Hello {
    /// Creates a hello that offers format versions up to `newest`.
    pub fn new(newest: u16, group: u64, id: u64, name: &str, to: &str) -> Hello {
        let formats = FormatRange {
            oldest: OLDEST_FORMAT,
            newest: newest.min(NEWEST_FORMAT),
        };
        Hello {
            magic: MAGIC,
            formats,
            group,
            id,
            name: name.into(),
            to: to.into(),
        }
    }

    /// Returns the format version to use with the sender of this hello, where the local ingress is
    /// `name` in `group` (0: in none yet). `supported` ranges from the group's format version to
    /// the newest one that the local ingress supports. Followers do not read the log, so any common
    /// version is enough for them.
    ///
    /// # Errors
    /// The hello is rejected.
    pub fn negotiate_format(
        &self,
        supported: FormatRange,
        group: u64,
        name: &str,
    ) -> Result<u16, HelloError> {
        if self.magic != MAGIC {
            return Err(HelloError::UnknownProtocol);
        }
        if self.to != name {
            return Err(HelloError::OtherMember);
        }
        if self.group != 0 && group != 0 && self.group != group {
            return Err(HelloError::OtherGroup);
        }
        if self.formats.newest < OLDEST_FORMAT || self.formats.oldest > supported.newest {
            return Err(HelloError::NoCommonFormat);
        }
        if self.id != 0 && self.formats.newest < supported.oldest {
            return Err(HelloError::OutdatedFormat);
        }
        Ok(self.formats.newest.min(supported.newest))
    }

    /// Encodes the hello as a frame.
    pub fn bytes(&self) -> Vec<u8> {
        encode_frame(self)
    }
}

impl Welcome {
    /// Encodes the welcome as a frame.
    pub fn bytes(&self) -> Vec<u8> {
        encode_frame(self)
    }
}
