//! The first frame each way on a connection: who connects, in which group, and which format versions both sides speak.
//! Encoded by position: the order of fields must not change.

use crate::frame::encode_frame;
use serde::{Deserialize, Serialize};

/// The oldest format version of the link and of the log that this program speaks.
pub const OLDEST_FORMAT: u16 = 1;
/// The newest one. What it adds is used only once the group has raised its own format version, which it does when all
/// members speak it.
pub const NEWEST_FORMAT: u16 = 2;
/// Largest greeting, bytes.
pub const MAX_HELLO: usize = 512;
/// What tells a greeting of this program from other bytes.
const MAGIC: [u8; 4] = *b"DGL1";

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
    /// There is no format version that both speak.
    #[error("speaks no form that is known here")]
    UnknownForm,
    /// It cannot take part in what the group has agreed on.
    #[error("an older program, or one kept to an older form, than the group has")]
    OlderForm,
}

/// A range of format versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormatRange {
    /// The oldest.
    pub oldest: u16,
    /// The newest.
    pub newest: u16,
}

/// The first frame of whoever connects.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// That this is a link at all.
    pub magic: [u8; 4],
    /// The format versions that it speaks.
    pub formats: FormatRange,
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
    /// The format version to be spoken.
    pub format_version: u16,
    /// The group of whom it reached.
    pub group: u64,
    /// Its incarnation.
    pub id: u64,
}

impl Hello {
    /// A greeting of one that speaks no newer format version than `newest`.
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

    /// The format version to be spoken with the side that sent this, where this end is `name` in `group` (0: in none yet).
    /// `spoken`: the group's own format version, and the newest that this end speaks. Followers see no log: any version
    /// that both know is enough for them.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn negotiate_format(
        &self,
        spoken: FormatRange,
        group: u64,
        name: &str,
    ) -> Result<u16, HelloError> {
        if self.magic != MAGIC {
            return Err(HelloError::Foreign);
        }
        if self.to != name {
            return Err(HelloError::OtherMember);
        }
        if self.group != 0 && group != 0 && self.group != group {
            return Err(HelloError::OtherGroup);
        }
        if self.formats.newest < OLDEST_FORMAT || self.formats.oldest > spoken.newest {
            return Err(HelloError::UnknownForm);
        }
        if self.id != 0 && self.formats.newest < spoken.oldest {
            return Err(HelloError::OlderForm);
        }
        Ok(self.formats.newest.min(spoken.newest))
    }

    /// The bytes to be sent.
    pub fn bytes(&self) -> Vec<u8> {
        encode_frame(self)
    }
}

impl Welcome {
    /// The bytes to be sent.
    pub fn bytes(&self) -> Vec<u8> {
        encode_frame(self)
    }
}
