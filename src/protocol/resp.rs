//! The grammars of the platform's wires, as winnow parsers over whatever bytes have come so far: RESP2 words
//! and replies, HTTP/1.1 answers of the counter and discovery. It owns every bound on lengths, counts and
//! depth, so that no peer can make a connection hold more than its ring's cap. It must never touch a socket
//! or a clock, nor panic on any input.

use crate::config::settings::Platform;
use crate::request::{decimal, pairs, ClientRequest, InvalidRequest};
use std::io::Write;
use winnow::ascii::crlf;
use winnow::combinator::{alt, preceded, terminated};
use winnow::error::{ContextError, ErrMode, Needed};
use winnow::prelude::*;
use winnow::stream::Partial;
use winnow::token::{literal, take, take_while};

/// Longest value that is taken whole; a longer one is passed on while it comes.
pub const MAX_VALUE: usize = 64 * 1024;
/// Longest value of all.
pub const MAX_PASSED: usize = 4 * 1024 * 1024;
/// Most words in a request.
const MAX_WORDS: usize = 16;
/// Longest head of an HTTP answer, line of a RESP reply.
const MAX_LINE: usize = 16 * 1024;
/// Longest HTTP body: a long list of endpoints.
const MAX_BODY: usize = 4 * 1024 * 1024;
/// Deepest array in a reply.
const MAX_DEPTH: usize = 4;

type In<'a> = Partial<&'a [u8]>;

/// What the bytes so far amount to.
#[derive(Debug, PartialEq)]
pub enum Parsed<T> {
    /// A whole message and its length in bytes.
    Complete(T, usize),
    /// More bytes are wanted, so many at the least: to look again before they are there is for nothing.
    More(usize),
}

/// Bytes that are no message of this wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed message")]
pub struct Malformed;

fn whole<'a, T>(
    bytes: &'a [u8],
    mut parser: impl Parser<In<'a>, T, ErrMode<ContextError>>,
) -> Result<Parsed<T>, Malformed> {
    let mut input = Partial::new(bytes);
    match parser.parse_next(&mut input) {
        Ok(value) => Ok(Parsed::Complete(value, bytes.len() - input.len())),
        Err(ErrMode::Incomplete(Needed::Size(n))) => Ok(Parsed::More(n.get())),
        Err(ErrMode::Incomplete(Needed::Unknown)) => Ok(Parsed::More(1)),
        Err(_) => Err(Malformed),
    }
}

fn fail<T>() -> ModalResult<T> {
    Err(ErrMode::Cut(ContextError::new()))
}

fn number(input: &mut In<'_>) -> ModalResult<usize> {
    let digits: &[u8] = take_while(1..=7, |b: u8| b.is_ascii_digit()).parse_next(input)?;
    crlf.parse_next(input)?;
    Ok(digits.iter().fold(0, |n, d| n * 10 + usize::from(d - b'0')))
}

fn bulk<'a>(input: &mut In<'a>) -> ModalResult<&'a [u8]> {
    let size = preceded(literal(b"$"), number).parse_next(input)?;
    if size > MAX_VALUE {
        return fail();
    }
    terminated(take(size), crlf).parse_next(input)
}

fn words<'a>(input: &mut In<'a>) -> ModalResult<Vec<&'a [u8]>> {
    let count = preceded(literal(b"*"), number).parse_next(input)?;
    if count == 0 || count > MAX_WORDS {
        return fail();
    }
    (0..count).map(|_| bulk(input)).collect()
}

/// The next request of a client, as words.
///
/// # Errors
/// Bytes that can never become a request.
pub fn request_words(bytes: &[u8]) -> Result<Parsed<Vec<&[u8]>>, Malformed> {
    whole(bytes, words)
}

/// A reply of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply<'a> {
    /// `+...` or `:...`
    Simple(&'a [u8]),
    /// `-...`
    Error(&'a [u8]),
    /// A bulk string, or null.
    Bulk(Option<&'a [u8]>),
    /// An array; a null one is empty.
    Array(Vec<Reply<'a>>),
}

fn line<'a>(input: &mut In<'a>) -> ModalResult<&'a [u8]> {
    if input.len() > MAX_LINE && !input[..MAX_LINE].contains(&b'\r') {
        return fail();
    }
    terminated(take_while(0.., |b: u8| b != b'\r' && b != b'\n'), crlf).parse_next(input)
}

fn reply<'a>(input: &mut In<'a>, depth: usize) -> ModalResult<Reply<'a>> {
    let kind: &[u8] = take(1usize).parse_next(input)?;
    match kind[0] {
        b'+' | b':' => line.map(Reply::Simple).parse_next(input),
        b'-' => line.map(Reply::Error).parse_next(input),
        b'$' => {
            let size = alt((literal(b"-1\r\n").value(None), number.map(Some))).parse_next(input)?;
            match size {
                None => Ok(Reply::Bulk(None)),
                Some(size) if size <= MAX_VALUE => terminated(take(size), crlf)
                    .map(|b| Reply::Bulk(Some(b)))
                    .parse_next(input),
                Some(_) => fail(),
            }
        }
        b'*' if depth < MAX_DEPTH => {
            let count = alt((literal(b"-1\r\n").value(0), number)).parse_next(input)?;
            if count > MAX_WORDS {
                return fail();
            }
            let items: ModalResult<Vec<_>> = (0..count).map(|_| reply(input, depth + 1)).collect();
            items.map(Reply::Array)
        }
        _ => fail(),
    }
}

/// The next reply of an endpoint.
///
/// # Errors
/// Bytes that can never become a reply.
pub fn endpoint_reply(bytes: &[u8]) -> Result<Parsed<Reply<'_>>, Malformed> {
    whole(bytes, reply_of)
}

fn reply_of<'a>(input: &mut In<'a>) -> ModalResult<Reply<'a>> {
    reply(input, 0)
}

/// The head of a reply whose value is passed on: the array's items, the value's size, and bytes up to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Large {
    /// Items of the array, the value among them.
    pub items: usize,
    /// Bytes of the value.
    pub size: usize,
    /// Bytes of the head.
    pub head: usize,
}

fn large(input: &mut In<'_>) -> ModalResult<(usize, usize)> {
    let items = preceded(literal(b"*"), number).parse_next(input)?;
    let size = preceded(literal(b"$"), number).parse_next(input)?;
    Ok((items, size))
}

/// Whether these bytes begin a reply with a value too long to be taken whole.
pub fn large_reply(bytes: &[u8]) -> Option<Large> {
    match whole(bytes, large) {
        Ok(Parsed::Complete((items, size), head)) => {
            let passed =
                (MAX_VALUE + 1..=MAX_PASSED).contains(&size) && (1..=MAX_WORDS).contains(&items);
            passed.then_some(Large { items, size, head })
        }
        _ => None,
    }
}

/// What comes behind the value of such a reply: its other items.
///
/// # Errors
/// Bytes that can never become that.
pub fn large_rest(bytes: &[u8], items: usize) -> Result<Parsed<Vec<Reply<'_>>>, Malformed> {
    whole(bytes, rest_of(items))
}

fn rest_of<'a>(items: usize) -> impl Parser<In<'a>, Vec<Reply<'a>>, ErrMode<ContextError>> {
    move |input: &mut In<'a>| {
        crlf.parse_next(input)?;
        (1..items)
            .map(|_| reply(input, 1))
            .collect::<ModalResult<Vec<_>>>()
    }
}

/// Appends words as a RESP array of bulk strings.
pub fn push_words<'a>(out: &mut Vec<u8>, count: usize, words: impl Iterator<Item = &'a [u8]>) {
    let digits = |sign: u8, n: usize, out: &mut Vec<u8>| {
        out.push(sign);
        // Writing to memory does not fail.
        let _ = write!(out, "{n}\r\n");
    };
    digits(b'*', count, out);
    for word in words {
        digits(b'$', word.len(), out);
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

/// A platform request's words as a request of the core; `words` begins after the verb.
///
/// # Errors
/// The first value that makes no sense.
pub fn parse_request(
    platform: &Platform,
    safe: bool,
    words: &[&[u8]],
) -> Result<ClientRequest, InvalidRequest> {
    let text =
        |i: usize, name| std::str::from_utf8(words[i]).map_err(|_| InvalidRequest::Term(name));
    // Guards the endpoints' grammar: a query is never written with a body, anything else never without.
    if words.len() != if safe { 3 } else { 4 } {
        return Err(InvalidRequest::Term("body"));
    }
    let body = words.get(3).map(|b| b.to_vec());
    let terms = text(2, "terms")?.to_string();
    let request = ClientRequest::new(platform, text(0, "customer")?, text(1, "id")?, terms, body)?;
    // Guards the rule on double effects: a class travels under its own verb only.
    let effect = platform.decision.classes[request.ask.class].idempotency;
    if (effect == crate::decision::Idempotency::Safe) != safe {
        return Err(InvalidRequest::Class);
    }
    Ok(request)
}

/// The same request for an endpoint, which is told how long this ingress will wait.
pub fn push_request(out: &mut Vec<u8>, platform: &Platform, request: &ClientRequest, wait_ms: f64) {
    let safe = platform.decision.classes[request.ask.class].idempotency
        == crate::decision::Idempotency::Safe;
    let verb: &[u8] = if safe { b"SVC.QUERY" } else { b"SVC.SUBMIT" };
    let wait = (wait_ms.max(1.0) as u64).to_string();
    let mut list = String::with_capacity(request.terms.len() + wait.len());
    for term in request.terms.split(',') {
        if !list.is_empty() {
            list.push(',');
        }
        match term.split_once('=') {
            Some(("d", _)) => list.extend(["d=", &wait]),
            _ => list.push_str(term),
        }
    }
    let words = [
        verb,
        request.tenant.as_bytes(),
        request.id.as_bytes(),
        list.as_bytes(),
    ];
    let body = request.body.as_deref();
    let count = words.len() + usize::from(body.is_some());
    push_words(out, count, words.into_iter().chain(body));
}

/// The true units of a request among the figures on use (`used=37,cost=4`), where units are settled by answers.
/// Guards quotas: more units than the settings give one request are noise.
pub fn cost(platform: &Platform, statistics: &[u8]) -> Option<f64> {
    let settings = &platform.decision;
    let text = std::str::from_utf8(statistics)
        .ok()
        .filter(|_| settings.settles_units_later)?;
    let mut costs = pairs(text)
        .filter(|(name, _)| *name == "cost")
        .map(|(_, cost)| decimal(cost));
    let cost = costs
        .next()
        .flatten()
        .filter(|cost| *cost <= settings.max_units);
    cost.filter(|_| costs.next().is_none())
}

/// An HTTP/1.1 answer.
#[derive(Debug, PartialEq)]
pub struct HttpAnswer {
    /// The status.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
    /// The peer closes after it.
    pub close: bool,
}

fn header<'a>(input: &mut In<'a>) -> ModalResult<(&'a [u8], &'a [u8])> {
    let name = terminated(
        take_while(1.., |b: u8| b != b':' && b != b'\r' && b != b'\n'),
        literal(b":"),
    )
    .parse_next(input)?;
    let value = line(input)?;
    Ok((name, value.trim_ascii()))
}

fn chunked(input: &mut In<'_>) -> ModalResult<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size: &[u8] = take_while(1..=8, |b: u8| b.is_ascii_hexdigit()).parse_next(input)?;
        line(input)?;
        let hex = std::str::from_utf8(size).unwrap_or("");
        let size = usize::from_str_radix(hex, 16).unwrap_or(usize::MAX);
        if size > MAX_BODY || body.len() + size > MAX_BODY {
            return fail();
        }
        if size == 0 {
            while !line(input)?.is_empty() {}
            return Ok(body);
        }
        let part: &[u8] = terminated(take(size), crlf).parse_next(input)?;
        body.extend_from_slice(part);
    }
}

/// An answer behind any number of 1xx heads, which say nothing. `ended`: nothing comes behind the input.
fn answer(input: &mut In<'_>, ended: bool) -> ModalResult<HttpAnswer> {
    loop {
        let answer = one_answer(input, ended)?;
        if !(100..200).contains(&answer.status) {
            return Ok(answer);
        }
    }
}

fn one_answer(input: &mut In<'_>, ended: bool) -> ModalResult<HttpAnswer> {
    preceded(literal(b"HTTP/1."), take(2usize)).parse_next(input)?;
    let status: &[u8] = take_while(3..=3, |b: u8| b.is_ascii_digit()).parse_next(input)?;
    line(input)?;
    let status = status.iter().fold(0, |n, d| n * 10 + u16::from(d - b'0'));
    let (mut length, mut in_chunks, mut close) = (None::<usize>, false, false);
    for _ in 0..64 {
        let end: Result<_, ErrMode<ContextError>> = crlf.parse_next(input);
        match end {
            Ok(_) => {
                let body = match (in_chunks, length) {
                    (true, _) => chunked(input)?,
                    (false, Some(length)) => take(length).parse_next(input)?.to_vec(),
                    // A good answer without a length ends with its connection; others have nothing to say.
                    (false, None) if status != 200 => Vec::new(),
                    (false, None) if !ended => return Err(ErrMode::Incomplete(Needed::new(1))),
                    (false, None) => take(input.eof_offset()).parse_next(input)?.to_vec(),
                };
                let close = close || length.is_none() && !in_chunks && status == 200;
                return Ok(HttpAnswer {
                    status,
                    body,
                    close,
                });
            }
            Err(ErrMode::Incomplete(n)) => return Err(ErrMode::Incomplete(n)),
            Err(_) => {}
        }
        let (name, value) = header(input)?;
        if name.eq_ignore_ascii_case(b"content-length") {
            let text = std::str::from_utf8(value).unwrap_or("");
            let bytes = text.parse().ok().filter(|n| *n <= MAX_BODY);
            length = Some(bytes.ok_or(ErrMode::Cut(ContextError::new()))?);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            in_chunks = value.eq_ignore_ascii_case(b"chunked");
        } else if name.eq_ignore_ascii_case(b"connection") {
            close = value.eq_ignore_ascii_case(b"close");
        }
    }
    fail()
}

/// The next HTTP/1.1 answer.
///
/// # Errors
/// Bytes that can never become one.
pub fn http_answer(bytes: &[u8]) -> Result<Parsed<HttpAnswer>, Malformed> {
    whole(bytes, |input: &mut In<'_>| answer(input, false))
}

/// The same on a connection that its peer has ended in order: an answer without a length ends there. A reset is no
/// such end.
///
/// # Errors
/// Bytes that can never become one.
pub fn http_answer_at_end(bytes: &[u8]) -> Result<Parsed<HttpAnswer>, Malformed> {
    whole(bytes, |input: &mut In<'_>| answer(input, true))
}

#[cfg(test)]
mod tests;
