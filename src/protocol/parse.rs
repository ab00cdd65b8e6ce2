//! What all grammars of the platform's wires share: winnow parsers over whatever bytes have come so far.

use winnow::combinator::terminated;
use winnow::error::{ContextError, ErrMode, Needed};
use winnow::prelude::*;
use winnow::stream::Partial;
use winnow::token::take_while;

/// Longest line, in bytes: the head of an HTTP answer, a line of a RESP reply. Guards memory against a peer
/// that sends no end of line.
const MAX_LINE_BYTES: usize = 16 * 1024;

/// The bytes that have come so far.
pub(super) type Input<'a> = Partial<&'a [u8]>;

/// What the bytes so far amount to.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A complete message and its length in bytes.
    Complete(T, usize),
    /// More bytes are wanted, this many at the least: parsing again before they are there is for nothing.
    More(usize),
}

/// Bytes that are no message of this wire, whatever follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message")]
pub struct Malformed;

/// Runs a parser over the bytes so far.
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

/// The failure of a parser that no further bytes can mend.
pub(super) fn malformed<T>() -> ModalResult<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

/// The bytes up to the next CRLF.
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
