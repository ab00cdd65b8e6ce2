//! The grammar of operators' calls: one line is one call, and its answer is one line.
//!
//! A call is valid only once its line has ended. If a connection breaks within `SUSPEND s-12`, the
//! call must not exclude `s-1`.

use std::net::SocketAddr;

/// Longest line, bytes, including its end.
pub const MAX_LINE: usize = 256;
/// Longest name of an endpoint or member in a call, bytes.
pub const MAX_ID: usize = 120;

/// A call from an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Ask whether this process is ready to serve.
    Status,
    /// Exclude an endpoint: it gets no requests until it is restored.
    Suspend(String),
    /// End the exclusion of an endpoint.
    Restore(String),
    /// Drain the ingress.
    Pause,
    /// Serve clients again.
    Resume,
    /// Exclude an endpoint at this ingress alone, although it belongs to a group.
    SuspendHere(String),
    /// End the exclusion of an endpoint at this ingress.
    RestoreHere(String),
    /// A call about the group of ingresses.
    Group(GroupCall),
}

/// A call about the group of ingresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupCall {
    /// Show members, leader, and the age of the local replica.
    Status,
    /// Show the endpoints that the group has excluded, including every change confirmed to any
    /// caller.
    Out,
    /// Expect a new member of this name at this address.
    Add(String, SocketAddr),
    /// Remove a member.
    Remove(String),
    /// Expect a new member in place of another: the old name, the new name, the new address.
    Replace(String, String, SocketAddr),
}

/// Why a line is not a valid call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// The line is longer than [`MAX_LINE`].
    #[error("the line is too long")]
    Long,
    /// The call is unknown, or the line is not valid UTF-8.
    #[error("no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME")]
    Name,
    /// Words are missing, or there are too many.
    #[error("wrong number of words")]
    Words,
    /// The name of an endpoint or member is too long, or has characters that no name may have.
    #[error("no such id")]
    Id,
    /// The address is invalid.
    #[error("no such address")]
    Address,
}

impl Call {
    /// Returns whether the group of ingresses, if there is one, has to agree to the call or to
    /// answer it.
    pub fn is_for_group(&self) -> bool {
        matches!(self, Call::Suspend(_) | Call::Restore(_) | Call::Group(_))
    }

    /// Parses the call at the start of these bytes. Returns `None` if its line has not ended.
    ///
    /// # Errors
    /// The line is not a valid call, or is already too long.
    pub fn parse(bytes: &[u8]) -> Result<Option<Call>, BadCall> {
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
        parse_words(&words).map(Some)
    }
}

/// Parses the words of a complete line.
fn parse_words(words: &[&str]) -> Result<Call, BadCall> {
    match words {
        ["STATUS"] => Ok(Call::Status),
        ["PAUSE"] => Ok(Call::Pause),
        ["RESUME"] => Ok(Call::Resume),
        ["SUSPEND", name] => Ok(Call::Suspend(parse_name(name)?)),
        ["RESTORE", name] => Ok(Call::Restore(parse_name(name)?)),
        ["SUSPEND", name, "HERE"] => Ok(Call::SuspendHere(parse_name(name)?)),
        ["RESTORE", name, "HERE"] => Ok(Call::RestoreHere(parse_name(name)?)),
        ["GROUP", words @ ..] => Ok(Call::Group(parse_group_words(words)?)),
        ["STATUS" | "PAUSE" | "RESUME" | "SUSPEND" | "RESTORE", ..] => Err(BadCall::Words),
        _ => Err(BadCall::Name),
    }
}

/// Checks the name of an endpoint or member.
fn parse_name(text: &str) -> Result<String, BadCall> {
    let valid = text.len() <= MAX_ID && text.bytes().all(|b| b.is_ascii_graphic());
    valid.then(|| text.to_string()).ok_or(BadCall::Id)
}

fn parse_address(text: &str) -> Result<SocketAddr, BadCall> {
    text.parse().map_err(|_| BadCall::Address)
}

/// Parses the words after `GROUP`.
fn parse_group_words(words: &[&str]) -> Result<GroupCall, BadCall> {
    match words {
        ["STATUS"] => Ok(GroupCall::Status),
        ["OUT"] => Ok(GroupCall::Out),
        ["ADD", name, address] => Ok(GroupCall::Add(parse_name(name)?, parse_address(address)?)),
        ["REMOVE", name] => Ok(GroupCall::Remove(parse_name(name)?)),
        ["REPLACE", old, new, address] => Ok(GroupCall::Replace(
            parse_name(old)?,
            parse_name(new)?,
            parse_address(address)?,
        )),
        ["STATUS" | "OUT" | "ADD" | "REMOVE" | "REPLACE", ..] => Err(BadCall::Words),
        _ => Err(BadCall::Name),
    }
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Whether the call succeeded, or the answer to its question is positive: `ACK`; otherwise
    /// `NAK`.
    pub is_ack: bool,
    /// What was done, or why not, as readable text.
    pub text: String,
}

impl Answer {
    /// Creates an `ACK` with this text.
    pub fn ack(text: impl Into<String>) -> Answer {
        Answer {
            is_ack: true,
            text: text.into(),
        }
    }

    /// Creates a `NAK` with this text.
    pub fn nak(text: impl Into<String>) -> Answer {
        Answer {
            is_ack: false,
            text: text.into(),
        }
    }

    /// Encodes the answer as the line that the caller gets, including its end.
    pub fn line(&self) -> String {
        let word = if self.is_ack { "ACK" } else { "NAK" };
        format!("{word} {}\r\n", self.text.replace(['\r', '\n'], " "))
    }
}

#[cfg(test)]
mod tests;
