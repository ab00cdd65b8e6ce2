//! An incremental parser for HTTP/1.1 answers, as the counter and discovery send them. It bounds
//! heads and bodies, does no I/O, and panics on no input.

use crate::protocol::parse::{line, malformed, parse, Input, Malformed, Parsed};
use winnow::ascii::crlf;
use winnow::combinator::{preceded, terminated};
use winnow::error::{ContextError, ErrMode, Needed};
use winnow::prelude::*;
use winnow::token::{literal, take, take_while};

/// Longest body, in bytes: enough for a long list of endpoints.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Most lines after the status line, the empty line that ends the headers included.
const MAX_HEADER_LINES: usize = 64;
/// The only status whose body may extend to the end of the connection.
const STATUS_OK: u16 = 200;

/// An HTTP/1.1 answer.
#[derive(Debug, PartialEq)]
pub struct HttpAnswer {
    /// The status code.
    pub status: u16,
    /// The complete body.
    pub body: Vec<u8>,
    /// Whether the peer closes the connection after this answer.
    pub close: bool,
}

/// Parses the next HTTP/1.1 answer.
///
/// # Errors
/// The bytes cannot become an answer, whatever follows.
pub fn http_answer(bytes: &[u8]) -> Result<Parsed<HttpAnswer>, Malformed> {
    parse(bytes, |input: &mut Input<'_>| {
        final_answer(input, ConnectionEnd::NotYet)
    })
}

/// Parses the next HTTP/1.1 answer on a connection that the peer has closed in order, which ends an
/// answer without a length. A reset does not.
///
/// # Errors
/// The bytes cannot become an answer, whatever follows.
pub fn http_answer_at_end(bytes: &[u8]) -> Result<Parsed<HttpAnswer>, Malformed> {
    parse(bytes, |input: &mut Input<'_>| {
        final_answer(input, ConnectionEnd::Reached)
    })
}

/// Whether more bytes can follow the bytes so far.
#[derive(Clone, Copy, PartialEq)]
enum ConnectionEnd {
    NotYet,
    Reached,
}

/// The headers that determine the end of an answer.
#[derive(Default)]
struct Framing {
    length: Option<usize>,
    chunked: bool,
    close: bool,
}

/// Parses an answer, skipping any 1xx answers before it.
fn final_answer(input: &mut Input<'_>, end: ConnectionEnd) -> ModalResult<HttpAnswer> {
    loop {
        let answer = answer(input, end)?;
        if !(100..200).contains(&answer.status) {
            return Ok(answer);
        }
    }
}

fn answer(input: &mut Input<'_>, end: ConnectionEnd) -> ModalResult<HttpAnswer> {
    let status = status_line(input)?;
    let framing = headers(input)?;
    let has_length = framing.chunked || framing.length.is_some();
    let body = match (framing.chunked, framing.length) {
        (true, _) => chunked_body(input)?,
        (false, Some(length)) => take(length).parse_next(input)?.to_vec(),
        // A 200 answer without a length ends with its connection; other answers without one have no
        // body.
        (false, None) if status != STATUS_OK => Vec::new(),
        (false, None) if end == ConnectionEnd::NotYet => {
            return Err(ErrMode::Incomplete(Needed::new(1)))
        }
        (false, None) => take(input.eof_offset()).parse_next(input)?.to_vec(),
    };
    Ok(HttpAnswer {
        status,
        body,
        close: framing.close || !has_length && status == STATUS_OK,
    })
}

fn status_line(input: &mut Input<'_>) -> ModalResult<u16> {
    preceded(literal(b"HTTP/1."), take(2usize)).parse_next(input)?;
    let digits: &[u8] = take_while(3..=3, |b: u8| b.is_ascii_digit()).parse_next(input)?;
    line(input)?;
    Ok(digits
        .iter()
        .fold(0, |status, digit| status * 10 + u16::from(digit - b'0')))
}

/// Parses all headers and the empty line after them.
fn headers(input: &mut Input<'_>) -> ModalResult<Framing> {
    let mut framing = Framing::default();
    for _ in 0..MAX_HEADER_LINES {
        let empty_line: Result<_, ErrMode<ContextError>> = crlf.parse_next(input);
        match empty_line {
            Ok(_) => return Ok(framing),
            Err(ErrMode::Incomplete(needed)) => return Err(ErrMode::Incomplete(needed)),
            Err(_) => {}
        }
        let (name, value) = header(input)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            framing.length = Some(content_length(value)?);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            framing.chunked = value.eq_ignore_ascii_case(b"chunked");
        } else if name.eq_ignore_ascii_case(b"connection") {
            framing.close = value.eq_ignore_ascii_case(b"close");
        }
    }
    malformed()
}

fn header<'a>(input: &mut Input<'a>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = terminated(
        take_while(1.., |b: u8| b != b':' && b != b'\r' && b != b'\n'),
        literal(b":"),
    )
    .parse_next(input)?;
    let value = line(input)?;
    Ok((name, value.trim_ascii()))
}

fn content_length(value: &[u8]) -> ModalResult<usize> {
    let length = std::str::from_utf8(value)
        .ok()
        .and_then(|text| text.parse().ok())
        .filter(|length| *length <= MAX_BODY_BYTES);
    length.map_or_else(malformed, Ok)
}

fn chunked_body(input: &mut Input<'_>) -> ModalResult<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = chunk_size(input)?;
        if size > MAX_BODY_BYTES || body.len() + size > MAX_BODY_BYTES {
            return malformed();
        }
        if size == 0 {
            while !line(input)?.is_empty() {}
            return Ok(body);
        }
        let chunk: &[u8] = terminated(take(size), crlf).parse_next(input)?;
        body.extend_from_slice(chunk);
    }
}

fn chunk_size(input: &mut Input<'_>) -> ModalResult<usize> {
    let digits: &[u8] = take_while(1..=8, |b: u8| b.is_ascii_hexdigit()).parse_next(input)?;
    line(input)?;
    let digits = std::str::from_utf8(digits).unwrap_or("");
    Ok(usize::from_str_radix(digits, 16).unwrap_or(usize::MAX))
}

#[cfg(test)]
mod tests;
