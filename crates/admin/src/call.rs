//! The grammar of calls: one line, one call, one line in answer. It owns the names of calls and the bounds on their
//! lines. It must never act on a line whose end has not come.

use std::net::SocketAddr;

/// Longest line, its end included.
pub const MAX_LINE: usize = 256;
/// Longest id of an endpoint in a call.
pub const MAX_ID: usize = 120;

/// What staff ask for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Whether this process is ready to serve.
    Status,
    /// Take an endpoint out.
    Suspend(String),
    /// Put it back.
    Restore(String),
    /// Empty the ingress.
    Pause,
    /// Take clients again.
    Resume,
    /// Take an endpoint out at this ingress alone, where it is in a group.
    SuspendHere(String),
    /// Put back what a call took out at this ingress alone.
    RestoreHere(String),
    /// What concerns the group of ingresses.
    Group(GroupCall),
}

/// What staff ask of the group of ingresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupCall {
    /// Who is in it, who leads, how old the copy here is.
    Status,
    /// What is out, with all that anybody was told.
    Out,
    /// Await a member of this name at this address.
    Add(String, SocketAddr),
    /// Let a member go.
    Remove(String),
    /// Await a member that takes another's place: the old name, the new one, its address.
    Replace(String, String, SocketAddr),
}

/// A line that is no call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BadCall {
    /// It does not end in time or in length.
    #[error("the line is too long")]
    Long,
    /// No call has this name, or it is not text.
    #[error("no such call: STATUS, SUSPEND ID, RESTORE ID, PAUSE, RESUME")]
    Name,
    /// Words are missing or too many.
    #[error("wrong number of words")]
    Words,
    /// No endpoint can have this id.
    #[error("no such id")]
    Id,
    /// No address stands where one has to.
    #[error("no such address")]
    Address,
}

impl Call {
    /// Whether the group of ingresses has to be asked, where there is one.
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
        let id = |id: &str| {
            let plain = id.len() <= MAX_ID && id.bytes().all(|b| b.is_ascii_graphic());
            plain.then(|| id.to_string()).ok_or(BadCall::Id)
        };
        match words.as_slice() {
            ["STATUS"] => Ok(Some(Call::Status)),
            ["PAUSE"] => Ok(Some(Call::Pause)),
            ["RESUME"] => Ok(Some(Call::Resume)),
            ["SUSPEND", name] => Ok(Some(Call::Suspend(id(name)?))),
            ["RESTORE", name] => Ok(Some(Call::Restore(id(name)?))),
            ["SUSPEND", name, "HERE"] => Ok(Some(Call::SuspendHere(id(name)?))),
            ["RESTORE", name, "HERE"] => Ok(Some(Call::RestoreHere(id(name)?))),
            ["GROUP", words @ ..] => group(words, id).map(|call| Some(Call::Group(call))),
            ["STATUS" | "PAUSE" | "RESUME" | "SUSPEND" | "RESTORE", ..] => Err(BadCall::Words),
            _ => Err(BadCall::Name),
        }
    }
}

fn group(
    words: &[&str],
    id: impl Fn(&str) -> Result<String, BadCall>,
) -> Result<GroupCall, BadCall> {
    let at = |text: &str| text.parse().map_err(|_| BadCall::Address);
    match words {
        ["STATUS"] => Ok(GroupCall::Status),
        ["OUT"] => Ok(GroupCall::Out),
        ["ADD", name, address] => Ok(GroupCall::Add(id(name)?, at(address)?)),
        ["REMOVE", name] => Ok(GroupCall::Remove(id(name)?)),
        ["REPLACE", old, new, address] => Ok(GroupCall::Replace(id(old)?, id(new)?, at(address)?)),
        ["STATUS" | "OUT" | "ADD" | "REMOVE" | "REPLACE", ..] => Err(BadCall::Words),
        _ => Err(BadCall::Name),
    }
}

/// What a caller hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Yes or no.
    pub yes: bool,
    /// Why, or what was done: for people.
    pub text: String,
}

impl Answer {
    /// A yes.
    pub fn yes(text: impl Into<String>) -> Answer {
        Answer {
            yes: true,
            text: text.into(),
        }
    }

    /// A no.
    pub fn no(text: impl Into<String>) -> Answer {
        Answer {
            yes: false,
            text: text.into(),
        }
    }

    /// The line.
    pub fn line(&self) -> String {
        let word = if self.yes { "ACK" } else { "NAK" };
        format!("{word} {}\r\n", self.text.replace(['\r', '\n'], " "))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_counts_once_its_line_has_ended_and_not_before() {
        let all = b"SUSPEND s-12\r\n";
        for cut in 0..all.len() {
            assert_eq!(Call::read(&all[..cut]), Ok(None), "{cut}");
        }
        assert_eq!(Call::read(all), Ok(Some(Call::Suspend("s-12".into()))));
        assert_eq!(Call::read(b"STATUS\nPAUSE\n"), Ok(Some(Call::Status)));
        assert_eq!(
            Call::read(b" RESTORE  s-1 \n"),
            Ok(Some(Call::Restore("s-1".into())))
        );
    }

    #[test]
    fn what_is_no_call_is_named() {
        let long = [b"SUSPEND ".as_slice(), &[b'x'; MAX_LINE]].concat();
        let id = [b"SUSPEND ".as_slice(), &[b'x'; MAX_ID + 1], b"\n"].concat();
        assert_eq!(
            Call::read(b"RESTORE s-1 HERE\n"),
            Ok(Some(Call::RestoreHere("s-1".into())))
        );
        let add = GroupCall::Add("n4".into(), ([10, 0, 0, 4], 700).into());
        assert_eq!(
            Call::read(b"GROUP ADD n4 10.0.0.4:700\n"),
            Ok(Some(Call::Group(add)))
        );
        let cases: [(&[u8], BadCall); 12] = [
            (b"SUSPEND s-1 THERE\n", BadCall::Words),
            (b"GROUP\n", BadCall::Name),
            (b"GROUP ADD n4 here\n", BadCall::Address),
            (b"GROUP REMOVE\n", BadCall::Words),
            (&long, BadCall::Long),
            (&id, BadCall::Id),
            (b"\n", BadCall::Name),
            (b"status\n", BadCall::Name),
            (b"\xff\xfe\n", BadCall::Name),
            (b"SUSPEND\n", BadCall::Words),
            (b"PAUSE now\n", BadCall::Words),
            (b"SUSPEND s-\xc3\xa9\n", BadCall::Id),
        ];
        for (bytes, want) in cases {
            assert_eq!(Call::read(bytes), Err(want), "{bytes:?}");
        }
        assert_eq!(Answer::no("a\r\nb").line(), "NAK a  b\r\n");
    }
}
