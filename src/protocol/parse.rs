//! Helpers for the parsers of all protocols: winnow parsers over the bytes received so far.

use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode, Needed};
use winnow::prelude::*;
use winnow::stream::Partial;
use winnow::token::take_while;

/// Longest line, in bytes, of an HTTP head or a RESP reply. Bounds memory if a peer sends no end of
/// line.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// The bytes received so far.
pub(super) type Input<'a> = Partial<&'a [u8]>;

/// The result of parsing the bytes received so far.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A complete message, and its length in bytes.
    Complete(T, usize),
    /// At least this many more bytes are needed; parsing again before they arrive yields the same
    /// result.
    More(usize),
}

/// The bytes cannot become a message of this protocol, whatever follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message")]
pub struct Malformed;

/// Runs a parser over the bytes received so far.
pub(super) fn parse<'a, T>(
    bytes: &'a [u8],
    mut parser: impl Parser<Input<'a>, T, ErrMode<ContextError>>,
) -> Result<Parsed<T>, Malformed> {
    let mut input = Partial::new(bytes);
    match parser.parse_next(&mut input) {
        Ok(value) => Ok(Parsed::Complete(value, bytes.len() - input.len())),
        Err(ErrMode::Incomplete(Needed::Size(n))) => Ok(Parsed::More(n.get())),
        Err(ErrMode::Incomplete(Needed::Unknown)) => Ok(Parsed::More(1)),
        Err(_) => Err(Malformed),
    }
}

/// Fails a parser with an error that further bytes cannot resolve.
pub(super) fn malformed<T>() -> ModalResult<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

/// Parses the bytes up to the next CRLF.
pub(super) fn line<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    if input.len() > MAX_LINE_BYTES && !input[..MAX_LINE_BYTES].contains(&b'\r') {
        return malformed();
    }
    terminated(
        take_while(0.., |b: u8| b != b'\r' && b != b'\n'),
        winnow::ascii::crlf,
    )
    .parse_next(input)
}
