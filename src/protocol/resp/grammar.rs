//! The grammar of RESP2: requests as lists of words, and replies of endpoints. All lengths, counts
//! and depths are bounded, so that no peer can make a connection hold more than its ring buffer's
//! cap.

use crate::protocol::parse::{line, malformed, parse, Input, Malformed, Parsed};
use std::io::Write;
use winnow::ascii::crlf;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode};
use winnow::prelude::*;
use winnow::token::{literal, take, take_while};

/// Longest value that is buffered completely, in bytes; a longer one is streamed.
pub const MAX_COMPLETE_BODY_BYTES: usize = 64 * 1024;
/// Longest value that is accepted, in bytes.
pub const MAX_STREAMED_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Most words in a request, and most items in an array.
const MAX_ITEMS: usize = 16;
/// Deepest nesting of arrays in a reply. Bounds the parser's recursion.
const MAX_DEPTH: usize = 4;
/// Most digits in a length or a count.
const MAX_DIGITS: usize = 7;

/// A reply of an endpoint, or an item of one.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<'a> {
    /// A simple string or an integer: `+...` or `:...`
    Simple(&'a [u8]),
    /// An error: `-...`
    Error(&'a [u8]),
    /// A bulk string; none for null.
    Bulk(Option<&'a [u8]>),
    /// An array; empty for null.
    Array(Vec<Reply<'a>>),
}

/// The head of a reply whose value is too long to be buffered completely.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamedReply {
    /// Number of items in the array, the value included.
    pub items: usize,
    /// Size of the value, in bytes.
    pub value_bytes: usize,
    /// Number of bytes before the value.
    pub head_bytes: usize,
}

/// Parses the next request of a client into words.
///
/// # Errors
/// The bytes cannot become a request, whatever follows.
pub fn request_words(bytes: &[u8]) -> Result<Parsed<Vec<&[u8]>>, Malformed> {
    parse(bytes, words)
}

/// Parses the next reply of an endpoint.
///
/// # Errors
/// The bytes cannot become a reply, whatever follows.
pub fn endpoint_reply(bytes: &[u8]) -> Result<Parsed<Reply<'_>>, Malformed> {
    parse(bytes, outermost_reply)
}

/// Parses the head of a reply whose value is too long to be buffered completely; none if the bytes
/// begin no such reply.
pub fn streamed_reply(bytes: &[u8]) -> Option<StreamedReply> {
    let Ok(Parsed::Complete((items, value_bytes), head_bytes)) = parse(bytes, streamed_head) else {
        return None;
    };
    let streamed = (MAX_COMPLETE_BODY_BYTES + 1..=MAX_STREAMED_BODY_BYTES).contains(&value_bytes)
        && (1..=MAX_ITEMS).contains(&items);
    streamed.then_some(StreamedReply {
        items,
        value_bytes,
        head_bytes,
    })
}

/// Parses the items after a streamed value; `items` is the number of items in the array, the value
/// included.
///
/// # Errors
/// The bytes cannot become these items, whatever follows.
pub fn streamed_reply_rest(
    bytes: &[u8],
    items: usize,
) -> Result<Parsed<Vec<Reply<'_>>>, Malformed> {
    parse(bytes, streamed_rest(items))
}

/// Appends words as a RESP array of bulk strings.
pub fn push_words<'a>(out: &mut Vec<u8>, count: usize, words: impl Iterator<Item = &'a [u8]>) {
    push_count(out, b'*', count);
    for word in words {
        push_count(out, b'$', word.len());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

fn push_count(out: &mut Vec<u8>, kind: u8, count: usize) {
    out.push(kind);
    // Writing to a `Vec` cannot fail.
    let _ = write!(out, "{count}\r\n");
}

fn number(input: &mut Input<'_>) -> ModalResult<usize> {
    let digits: &[u8] = take_while(1..=MAX_DIGITS, |b: u8| b.is_ascii_digit()).parse_next(input)?;
    crlf.parse_next(input)?;
    Ok(digits.iter().fold(0, |n, d| n * 10 + usize::from(d - b'0')))
}

/// Parses a number; none for `-1`, which is null in RESP.
fn number_or_null(input: &mut Input<'_>) -> ModalResult<Option<usize>> {
    alt((literal(b"-1\r\n").value(None), number.map(Some))).parse_next(input)
}

fn bulk_of<'a>(size: usize, input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    if size > MAX_COMPLETE_BODY_BYTES {
        return malformed();
    }
    terminated(take(size), crlf).parse_next(input)
}

fn words<'a>(input: &mut Input<'a>) -> ModalResult<Vec<&'a [u8]>> {
    let count = preceded(literal(b"*"), number).parse_next(input)?;
    if count == 0 || count > MAX_ITEMS {
        return malformed();
    }
    (0..count).map(|_| word(input)).collect()
}

fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a [u8]> {
    let size = preceded(literal(b"$"), number).parse_next(input)?;
    bulk_of(size, input)
}

fn outermost_reply<'a>(input: &mut Input<'a>) -> ModalResult<Reply<'a>> {
    reply(input, 0)
}

fn reply<'a>(input: &mut Input<'a>, depth: usize) -> ModalResult<Reply<'a>> {
    let kind: &[u8] = take(1usize).parse_next(input)?;
    match kind[0] {
        b'+' | b':' => line.map(Reply::Simple).parse_next(input),
        b'-' => line.map(Reply::Error).parse_next(input),
        b'$' => match number_or_null(input)? {
            None => Ok(Reply::Bulk(None)),
            Some(size) => bulk_of(size, input).map(|bulk| Reply::Bulk(Some(bulk))),
        },
        b'*' if depth < MAX_DEPTH => {
            let count = number_or_null(input)?.unwrap_or(0);
            if count > MAX_ITEMS {
                return malformed();
            }
            let items: ModalResult<Vec<_>> = (0..count).map(|_| reply(input, depth + 1)).collect();
            items.map(Reply::Array)
        }
        _ => malformed(),
    }
}

fn streamed_head(input: &mut Input<'_>) -> ModalResult<(usize, usize)> {
    let items = preceded(literal(b"*"), number).parse_next(input)?;
    let value_bytes = preceded(literal(b"$"), number).parse_next(input)?;
    Ok((items, value_bytes))
}

fn streamed_rest<'a>(
    items: usize,
) -> impl Parser<Input<'a>, Vec<Reply<'a>>, ErrMode<ContextError>> {
    move |input: &mut Input<'a>| {
        crlf.parse_next(input)?;
        (1..items)
            .map(|_| reply(input, 1))
            .collect::<ModalResult<Vec<_>>>()
    }
}
