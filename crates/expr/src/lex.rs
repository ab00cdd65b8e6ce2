//! Tokenizer for CEL's lexical grammar: names, numbers, string literals with escapes, raw string
//! literals and comments. The module limits the length of a text and its number of tokens. It never
//! looks ahead further than one token and allocates no more than the text is long.

use crate::error::Error;
use std::ops::Range;

/// Maximum length of an expression's text, bytes.
pub const MAX_TEXT: usize = 64 * 1024;
/// Maximum number of tokens in one expression.
pub const MAX_TOKENS: usize = 16 * 1024;
/// Maximum length of a string literal, bytes.
pub const MAX_LITERAL: usize = 4096;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Token {
    Name(String),
    Int(i64),
    Double(f64),
    Text(String),
    /// An operator or a bracket.
    Symbol(&'static str),
    End,
}

impl Token {
    /// Description of the token for an error message.
    pub(crate) fn description(&self) -> String {
        match self {
            Token::Name(name) => format!("`{}`", abbreviated(name)),
            Token::Int(_) | Token::Double(_) => "a number".into(),
            Token::Text(_) => "a string literal".into(),
            Token::Symbol(symbol) => format!("`{symbol}`"),
            Token::End => "the end".into(),
        }
    }
}

/// The first 40 characters of a name, so that error messages stay short for hostile texts.
pub(crate) fn abbreviated(name: &str) -> String {
    match name.char_indices().nth(40) {
        Some((at, _)) => format!("{}...", &name[..at]),
        None => name.to_string(),
    }
}

const SYMBOLS: [&str; 26] = [
    "&&", "||", "==", "!=", "<=", ">=", "?", ":", "<", ">", "!", "+", "-", "*", "/", "%", "(", ")",
    "[", "]", "{", "}", ",", ";", ".", "=",
];

/// Splits a text into tokens with their byte ranges; the last token is [`Token::End`].
pub(crate) fn tokens(text: &str) -> Result<Vec<(Token, Range<usize>)>, Error> {
    if text.len() > MAX_TEXT {
        let problem = format!(
            "the expression has {} bytes, the limit is {MAX_TEXT}",
            text.len()
        );
        return Err(Error::new(0..1, problem));
    }
    let mut found = Vec::new();
    let mut at = 0;
    while let Some(first) = text[at..].chars().next() {
        let rest = &text[at..];
        if first.is_whitespace() {
            at += first.len_utf8();
            continue;
        }
        if rest.starts_with("//") {
            at += rest.find('\n').unwrap_or(rest.len());
            continue;
        }
        if found.len() >= MAX_TOKENS {
            let problem = format!("the expression has more than {MAX_TOKENS} tokens");
            return Err(Error::new(at..at + 1, problem));
        }
        let raw = matches!(first, 'r' | 'R') && rest[1..].starts_with(['"', '\'']);
        let (token, length) = if raw || matches!(first, '"' | '\'') {
            literal(rest, at, raw)?
        } else if first.is_ascii_alphabetic() || first == '_' {
            let word = |c: char| c.is_ascii_alphanumeric() || c == '_';
            let length = rest.find(|c| !word(c)).unwrap_or(rest.len());
            (Token::Name(rest[..length].to_string()), length)
        } else if first.is_ascii_digit() {
            number(rest, at)?
        } else if let Some(symbol) = SYMBOLS.iter().find(|symbol| rest.starts_with(**symbol)) {
            (Token::Symbol(symbol), symbol.len())
        } else {
            let end = at + first.len_utf8();
            let problem = format!("{first:?} has no meaning here");
            let error = Error::new(at..end, problem);
            return Err(match first {
                '&' => error.help("`and` is written `&&`"),
                '|' => error.help("`or` is written `||`"),
                _ => error,
            });
        };
        found.push((token, at..at + length));
        at += length;
    }
    found.push((Token::End, text.len()..text.len()));
    Ok(found)
}

fn number(rest: &str, at: usize) -> Result<(Token, usize), Error> {
    let digits = |text: &str| text.bytes().take_while(u8::is_ascii_digit).count();
    if rest.starts_with("0x") || rest.starts_with("0X") {
        let length = 2 + rest[2..].bytes().take_while(u8::is_ascii_hexdigit).count();
        let value = i64::from_str_radix(&rest[2..length], 16);
        let problem = "the hexadecimal number is invalid or too large for 64 bits";
        return value
            .map(|v| (Token::Int(v), length))
            .map_err(|_| Error::new(at..at + length, problem));
    }
    let mut length = digits(rest);
    let mut double = false;
    if rest[length..].starts_with('.') && digits(&rest[length + 1..]) > 0 {
        length += 1 + digits(&rest[length + 1..]);
        double = true;
    }
    if rest[length..].starts_with(['e', 'E']) {
        let sign = usize::from(rest[length + 1..].starts_with(['+', '-']));
        let power = digits(&rest[length + 1 + sign..]);
        if power > 0 {
            length += 1 + sign + power;
            double = true;
        }
    }
    let text = &rest[..length];
    let token = match double {
        true => text
            .parse()
            .ok()
            .filter(|v: &f64| v.is_finite())
            .map(Token::Double),
        false => text.parse().ok().map(Token::Int),
    };
    token.map(|token| (token, length)).ok_or_else(|| {
        Error::new(at..at + length, "the number is too large").help("integers have 64 bits")
    })
}

fn literal(rest: &str, at: usize, raw: bool) -> Result<(Token, usize), Error> {
    let open = usize::from(raw);
    let Some(quote) = rest[open..].chars().next() else {
        return Err(Error::new(at..at + 1, "a string literal was expected"));
    };
    let triple = rest[open..].starts_with(if quote == '"' { "\"\"\"" } else { "'''" });
    let close: &str = match (quote, triple) {
        ('"', true) => "\"\"\"",
        ('"', false) => "\"",
        (_, true) => "'''",
        _ => "'",
    };
    let mut value = String::new();
    let mut offset = open + close.len();
    loop {
        let left = &rest[offset..];
        if left.starts_with(close) {
            return Ok((Token::Text(value), offset + close.len()));
        }
        let Some(c) = left.chars().next().filter(|c| triple || *c != '\n') else {
            let error = Error::new(at..at + offset, "the string literal is not terminated");
            return Err(error.help(format!("it starts with {close}")));
        };
        if value.len() >= MAX_LITERAL {
            let problem = format!("the string literal is longer than {MAX_LITERAL} bytes");
            return Err(Error::new(at..at + 1, problem));
        }
        if c == '\\' && !raw {
            let (c, length) = escape(left).ok_or_else(|| {
                let span = at + offset..at + offset + 2;
                Error::new(span, "invalid escape sequence").help(
                    r#"supported are \\ \" \' \` \? \a \b \f \n \r \t \v \xHH \uHHHH \UHHHHHHHH"#,
                )
            })?;
            value.push(c);
            offset += length;
        } else {
            value.push(c);
            offset += c.len_utf8();
        }
    }
}

/// The character that an escape sequence stands for, and the length of the sequence in bytes.
fn escape(left: &str) -> Option<(char, usize)> {
    let code = |digits: usize| {
        let hex = left
            .get(2..2 + digits)
            .filter(|hex| hex.bytes().all(|b| b.is_ascii_hexdigit()))?;
        Some((
            char::from_u32(u32::from_str_radix(hex, 16).ok()?)?,
            2 + digits,
        ))
    };
    let plain = match left.chars().nth(1)? {
        c @ ('\\' | '"' | '\'' | '`' | '?') => c,
        'a' => '\u{7}',
        'b' => '\u{8}',
        'f' => '\u{c}',
        'n' => '\n',
        'r' => '\r',
        't' => '\t',
        'v' => '\u{b}',
        'x' | 'X' => return code(2),
        'u' => return code(4),
        'U' => return code(8),
        _ => return None,
    };
    Some((plain, 2))
}
