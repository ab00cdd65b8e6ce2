//! The grammar of staff's calls: one line is one call, and gets one line in answer.
//!
//! A line counts once its end has come, never before. Guards against acting on half a line: a connection that breaks
//! within `SUSPEND s-12` must not exclude `s-1`.

use std::net::SocketAddr;

/// Longest line, bytes, its end included.
pub const MAX_LINE: usize = 256;
/// Longest name of an endpoint or member in a call, bytes.
pub const MAX_ID: usize = 120;

/// What staff ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Status,
    /// Exclude an endpoint: it gets no requests until it is restored.
    Suspend(String),
    /// End that.
    Restore(String),
    /// Drain the ingress.
    Pause,
    /// Serve clients again.
    Resume,
    /// Exclude an endpoint at this ingress alone, where it is in a group.
    SuspendHere(String),
    /// End that.
    RestoreHere(String),
    /// A call about the group of ingresses.
    Group(GroupCall),
}

/// What staff ask of the group of ingresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupCall {
    /// Who is in it, who leads, how old the copy here is.
    Status,
    /// The endpoints that the group has excluded, with every change that has been confirmed to anybody.
    Out,
    /// Expect a new member of this name, whose links come to this address.
    Add(String, SocketAddr),
    /// Remove a member.
    Remove(String),
    /// Expect a new member in another's place: the old name, the new one, its address.
    Replace(String, String, SocketAddr),
}

/// Why a line is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// It is longer than [`MAX_LINE`].
    #[error("the line is too long")]
    Long,
    /// No call has this name, or it is not text.
    #[error("no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME")]
    Name,
    /// Words are missing or too many.
    #[error("wrong number of words")]
    Words,
    /// No endpoint or member can have this name.
    #[error("no such id")]
    Id,
    /// No address stands where one has to.
    #[error("no such address")]
    Address,
}

impl Call {
    /// Whether the group of ingresses has to agree to it or answer it, where there is one.
    pub fn is_for_group(&self) -> bool {
        matches!(self, Call::Suspend(_) | Call::Restore(_) | Call::Group(_))
    }

    /// The call that these bytes begin with; none: its line has not ended.
    ///
    /// # Errors
    /// The line is no call, or will never be one.
    pub fn read(bytes: &[u8]) -> Result<Option<Call>, BadCall> {
        let Some(end) = bytes.iter().position(|b| *b == b'\n') else {
            return if bytes.len() >= MAX_LINE {
                Err(BadCall::Long)
            } else {
                Ok(None)
            };
        };
        if end >= MAX_LINE {
            return Err(BadCall::Long);
        }
        let line = std::str::from_utf8(&bytes[..end]).map_err(|_| BadCall::Name)?;
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        call(&words).map(Some)
    }
}

/// The call of a complete line, by its words.
fn call(words: &[&str]) -> Result<Call, BadCall> {
    match words {
        ["STATUS"] => Ok(Call::Status),
        ["PAUSE"] => Ok(Call::Pause),
        ["RESUME"] => Ok(Call::Resume),
        ["SUSPEND", name] => Ok(Call::Suspend(id(name)?)),
        ["RESTORE", name] => Ok(Call::Restore(id(name)?)),
        ["SUSPEND", name, "HERE"] => Ok(Call::SuspendHere(id(name)?)),
        ["RESTORE", name, "HERE"] => Ok(Call::RestoreHere(id(name)?)),
        ["GROUP", words @ ..] => Ok(Call::Group(group_call(words)?)),
        ["STATUS" | "PAUSE" | "RESUME" | "SUSPEND" | "RESTORE", ..] => Err(BadCall::Words),
        _ => Err(BadCall::Name),
    }
}

/// A name of an endpoint or member.
fn id(text: &str) -> Result<String, BadCall> {
    let valid = text.len() <= MAX_ID && text.bytes().all(|b| b.is_ascii_graphic());
    valid.then(|| text.to_string()).ok_or(BadCall::Id)
}

fn address(text: &str) -> Result<SocketAddr, BadCall> {
    text.parse().map_err(|_| BadCall::Address)
}

/// The call of a line that begins with `GROUP`, by the words behind that.
fn group_call(words: &[&str]) -> Result<GroupCall, BadCall> {
    match words {
        ["STATUS"] => Ok(GroupCall::Status),
        ["OUT"] => Ok(GroupCall::Out),
        ["ADD", name, at] => Ok(GroupCall::Add(id(name)?, address(at)?)),
        ["REMOVE", name] => Ok(GroupCall::Remove(id(name)?)),
        ["REPLACE", old, new, at] => Ok(GroupCall::Replace(id(old)?, id(new)?, address(at)?)),
        ["STATUS" | "OUT" | "ADD" | "REMOVE" | "REPLACE", ..] => Err(BadCall::Words),
        _ => Err(BadCall::Name),
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether it was done, or is so: `ACK`; else `NAK`.
    pub yes: bool,
    /// Why, or what was done: for people.
    pub text: String,
}

impl Answer {
    /// An `ACK` with this text.
    pub fn yes(text: impl Into<String>) -> Answer {
        Answer {
            yes: true,
            text: text.into(),
        }
    }

    /// A `NAK` with this text.
    pub fn no(text: impl Into<String>) -> Answer {
        Answer {
            yes: false,
            text: text.into(),
        }
    }

    /// The line that the caller gets, its end included.
    pub fn line(&self) -> String {
        let word = if self.yes { "ACK" } else { "NAK" };
        format!("{word} {}\r\n", self.text.replace(['\r', '\n'], " "))
    }
}

#[cfg(test)]
mod tests;
