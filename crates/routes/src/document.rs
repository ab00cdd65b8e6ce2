//! Splits a file of rules into its rules and the remaining text without parsing it, so that each
//! rule can be parsed, and recognised as unchanged, by itself.
//!
//! The file is tokenised by the lexer of the TOML parser. A rule begins at a line with the header
//! `[[rule]]` outside of any value, and ends before the next header that is not one of its
//! sub-tables. The remaining text is the skeleton, in which one empty header stands for each run of
//! rules: parsing it therefore still detects other definitions of the same key. A file whose
//! headers this module cannot resolve (escapes in a quoted key, a sub-table apart from its rule)
//! has no sections, and its skeleton is the whole file.

use std::borrow::Cow;
use std::ops::Range;
use toml_parser::lexer::{Lexer, Token, TokenKind};
use toml_parser::Source;

/// The key of the array of rules.
pub(crate) const RULES: &str = "rule";

/// A contiguous range of the file within an excerpt.
#[derive(Clone, Copy)]
struct Segment {
    /// Offset of its first byte in the excerpt.
    start: usize,
    /// Offset of its first byte in the file.
    offset: usize,
}

/// A part of a file that is parsed by itself. It maps offsets of its bytes to offsets in the file.
pub(crate) struct Excerpt<'t> {
    text: Cow<'t, str>,
    segments: Vec<Segment>,
}

impl<'t> Excerpt<'t> {
    /// Creates the excerpt of one range of the file.
    pub(crate) fn range(text: &'t str, range: Range<usize>) -> Excerpt<'t> {
        let segments = vec![Segment {
            start: 0,
            offset: range.start,
        }];
        Excerpt {
            text: Cow::Borrowed(text.get(range).unwrap_or("")),
            segments,
        }
    }

    /// Returns the text of the excerpt.
    pub(crate) fn text(&self) -> &str {
        &self.text
    }

    /// Converts a span of the excerpt to a span of the file.
    pub(crate) fn in_file(&self, span: &Range<usize>) -> Range<usize> {
        let start = self.offset(span.start);
        let end = if span.end > span.start {
            self.offset(span.end - 1) + 1
        } else {
            start
        };
        start..end.max(start)
    }

    fn offset(&self, at: usize) -> usize {
        let following = self.segments.partition_point(|segment| segment.start <= at);
        match following
            .checked_sub(1)
            .and_then(|last| self.segments.get(last))
        {
            Some(segment) => segment.offset + (at - segment.start),
            None => at,
        }
    }

    /// Appends a range of the file.
    fn push(&mut self, text: &str, range: Range<usize>) {
        if range.is_empty() {
            return;
        }
        self.segments.push(Segment {
            start: self.text.len(),
            offset: range.start,
        });
        self.text.to_mut().push_str(text.get(range).unwrap_or(""));
    }
}

/// A file split into its rules and the remaining text.
pub(crate) struct Document<'t> {
    /// The file without its rules.
    pub(crate) skeleton: Excerpt<'t>,
    /// The span of each rule, from its header on.
    pub(crate) sections: Vec<Range<usize>>,
}

impl<'t> Document<'t> {
    /// Splits a file. The rules are those of the table `table`, or those at the top level.
    pub(crate) fn split(text: &'t str, table: Option<&str>) -> Document<'t> {
        let path: Vec<&str> = table.into_iter().chain([RULES]).collect();
        let mut skeleton = Excerpt {
            text: Cow::Owned(String::new()),
            segments: Vec::new(),
        };
        let mut sections = Vec::new();
        let mut region_start = 0;
        let mut in_rule = false;
        for header in Headers::new(text, &path) {
            match (header.kind, in_rule) {
                (HeaderKind::Unresolved, _) | (HeaderKind::SubTable, false) => {
                    return Document::unsplit(text)
                }
                (HeaderKind::SubTable, true) | (HeaderKind::Other, false) => continue,
                (HeaderKind::Rule | HeaderKind::Other, true) => {
                    sections.push(region_start..header.span.start)
                }
                (HeaderKind::Rule, false) => {
                    skeleton.push(text, region_start..header.span.end);
                    skeleton.text.to_mut().push('\n');
                }
            }
            region_start = header.span.start;
            in_rule = header.kind == HeaderKind::Rule;
        }
        if in_rule {
            sections.push(region_start..text.len());
        } else {
            skeleton.push(text, region_start..text.len());
        }
        Document { skeleton, sections }
    }

    /// Creates a document that is parsed in one piece.
    fn unsplit(text: &'t str) -> Document<'t> {
        Document {
            skeleton: Excerpt::range(text, 0..text.len()),
            sections: Vec::new(),
        }
    }
}

/// How a header relates to the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeaderKind {
    /// The header begins a rule.
    Rule,
    /// The header begins a sub-table of the preceding rule.
    SubTable,
    /// The header belongs to no rule.
    Other,
    /// The key has a spelling that only the parser can resolve.
    Unresolved,
}

struct Header {
    kind: HeaderKind,
    /// The span from the start of its line to its last bracket.
    span: Range<usize>,
}

/// Iterator over the headers of a file in order.
struct Headers<'t, 'p> {
    text: &'t str,
    path: &'p [&'p str],
    lexer: Lexer<'t>,
    /// Number of open brackets.
    depth: usize,
    /// The start of the current line, while only white space has been read from it.
    line_start: Option<usize>,
}

impl<'t, 'p> Headers<'t, 'p> {
    fn new(text: &'t str, path: &'p [&'p str]) -> Headers<'t, 'p> {
        Headers {
            text,
            path,
            lexer: Source::new(text).lex(),
            depth: 0,
            line_start: Some(0),
        }
    }

    /// Reads the header whose first bracket has just been read, up to the end of its line.
    fn header(&mut self, line_start: usize, bracket: Token) -> Header {
        let mut tokens = vec![bracket];
        for token in self.lexer.by_ref() {
            match token.kind() {
                TokenKind::Newline => {
                    self.line_start = Some(token.span().end());
                    break;
                }
                TokenKind::Whitespace | TokenKind::Comment | TokenKind::Eof => {}
                _ => tokens.push(token),
            }
        }
        let (kind, length) = self.kind(&tokens);
        let last = tokens.get(length.saturating_sub(1)).unwrap_or(&bracket);
        Header {
            kind,
            span: line_start..last.span().end(),
        }
    }

    /// Returns the kind of a header, and the number of its tokens that form the header itself. A
    /// malformed header counts as [`HeaderKind::Other`], so that the parser reports it in the
    /// skeleton.
    fn kind(&self, tokens: &[Token]) -> (HeaderKind, usize) {
        let opens = |at: usize| {
            tokens
                .get(at)
                .is_some_and(|t| t.kind() == TokenKind::LeftSquareBracket)
        };
        let closes = |at: usize| {
            tokens
                .get(at)
                .is_some_and(|t| t.kind() == TokenKind::RightSquareBracket)
        };
        let brackets = if opens(1) { 2 } else { 1 };
        let mut at = brackets;
        let mut path = Vec::new();
        loop {
            match tokens.get(at).map(|token| self.key(token)) {
                Some(Key::Plain(key)) => path.push(key),
                Some(Key::Unresolved) => return (HeaderKind::Unresolved, tokens.len()),
                Some(Key::Missing) | None => return (HeaderKind::Other, tokens.len()),
            }
            at += 1;
            if tokens
                .get(at)
                .is_none_or(|token| token.kind() != TokenKind::Dot)
            {
                break;
            }
            at += 1;
        }
        if !closes(at) || (brackets == 2 && !closes(at + 1)) {
            return (HeaderKind::Other, tokens.len());
        }
        let kind = match path.starts_with(self.path) {
            true if brackets == 2 && path.len() == self.path.len() => HeaderKind::Rule,
            true => HeaderKind::SubTable,
            false => HeaderKind::Other,
        };
        (kind, at + brackets)
    }

    fn key(&self, token: &Token) -> Key<'t> {
        let raw = self
            .text
            .get(token.span().start()..token.span().end())
            .unwrap_or("");
        let within = |quote: char| {
            raw.strip_prefix(quote)
                .and_then(|rest| rest.strip_suffix(quote))
        };
        let quoted = match token.kind() {
            TokenKind::Atom => return Key::Plain(raw),
            TokenKind::LiteralString => within('\''),
            TokenKind::BasicString if raw.contains('\\') => return Key::Unresolved,
            TokenKind::BasicString => within('"'),
            _ => None,
        };
        quoted.map_or(Key::Missing, Key::Plain)
    }
}

/// One key of a header's dotted path.
enum Key<'t> {
    Plain(&'t str),
    /// A quoted key that contains escapes.
    Unresolved,
    /// The token is not a key.
    Missing,
}

impl Iterator for Headers<'_, '_> {
    type Item = Header;

    fn next(&mut self) -> Option<Header> {
        while let Some(token) = self.lexer.next() {
            match token.kind() {
                TokenKind::Newline if self.depth == 0 => self.line_start = Some(token.span().end()),
                TokenKind::Newline | TokenKind::Whitespace | TokenKind::Comment => {}
                TokenKind::LeftSquareBracket if self.depth == 0 && self.line_start.is_some() => {
                    let line_start = self.line_start.take().unwrap_or(token.span().start());
                    return Some(self.header(line_start, token));
                }
                TokenKind::LeftSquareBracket | TokenKind::LeftCurlyBracket => {
                    self.depth += 1;
                    self.line_start = None;
                }
                TokenKind::RightSquareBracket | TokenKind::RightCurlyBracket => {
                    self.depth = self.depth.saturating_sub(1);
                    self.line_start = None;
                }
                _ => self.line_start = None,
            }
        }
        None
    }
}
