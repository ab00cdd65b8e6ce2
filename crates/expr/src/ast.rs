//! The tree of an expression as it is written, and the way from tokens to it. It owns the precedence of CEL's
//! operators and the bound on nesting: chains of `&&` and of `||` are one node however long they are, all else
//! that nests counts. It must never recurse deeper than that bound, whatever the text.

use crate::error::Error;
use crate::lex::{tokens, Token};
use std::ops::Range;

/// Deepest nesting, in nodes.
pub const MAX_DEPTH: usize = 64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Binary {
    Equal,
    Unequal,
    Less,
    LessEqual,
    Greater,
    GreaterEqual,
    In,
    Add,
    Subtract,
    Multiply,
    Divide,
    Remainder,
}

impl Binary {
    pub(crate) fn sign(self) -> &'static str {
        match self {
            Binary::Equal => "==",
            Binary::Unequal => "!=",
            Binary::Less => "<",
            Binary::LessEqual => "<=",
            Binary::Greater => ">",
            Binary::GreaterEqual => ">=",
            Binary::In => "in",
            Binary::Add => "+",
            Binary::Subtract => "-",
            Binary::Multiply => "*",
            Binary::Divide => "/",
            Binary::Remainder => "%",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum What {
    Bool(bool),
    Int(i64),
    Double(f64),
    Text(String),
    Name(String),
    /// `a.b`
    Member(Box<Tree>, String),
    /// `a[b]`
    Index(Box<Tree>, Box<Tree>),
    /// `f(...)`
    Call(String, Vec<Tree>),
    /// `a.f(...)`
    Method(Box<Tree>, String, Vec<Tree>),
    Not(Box<Tree>),
    Minus(Box<Tree>),
    And(Vec<Tree>),
    Or(Vec<Tree>),
    Binary(Binary, Box<Tree>, Box<Tree>),
    If(Box<Tree>, Box<Tree>, Box<Tree>),
    List(Vec<Tree>),
    Map(Vec<(Tree, Tree)>),
    /// `let a = b; c`
    Let(String, Box<Tree>, Box<Tree>),
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Tree {
    pub(crate) what: What,
    pub(crate) span: Range<usize>,
    depth: usize,
}

/// Reads a whole text.
pub(crate) fn parse(text: &str) -> Result<Tree, Error> {
    let mut parser = Parser {
        tokens: tokens(text)?,
        at: 0,
        depth: 0,
    };
    let tree = parser.expression()?;
    match parser.peek() {
        Token::End => Ok(tree),
        other => {
            let error = Error::new(
                parser.span(),
                format!("{} is not expected here", other.told()),
            );
            Err(match other {
                Token::Sign("=") => error.help("equality is written `==`"),
                Token::Name(word) if word == "and" => error.help("`and` is written `&&`"),
                Token::Name(word) if word == "or" => error.help("`or` is written `||`"),
                _ => error.help("an operator or the end was expected"),
            })
        }
    }
}

struct Parser {
    tokens: Vec<(Token, Range<usize>)>,
    at: usize,
    /// Nested calls of [`Parser::expression`], which is where all recursion passes.
    depth: usize,
}

fn too_deep(span: Range<usize>) -> Error {
    Error::new(span, format!("nested deeper than {MAX_DEPTH}"))
        .help("a `let` or a list with `in` is flatter")
}

impl Parser {
    fn peek(&self) -> &Token {
        &self.tokens[self.at.min(self.tokens.len() - 1)].0
    }

    fn span(&self) -> Range<usize> {
        self.tokens[self.at.min(self.tokens.len() - 1)].1.clone()
    }

    /// Takes the sign if it is next.
    fn take(&mut self, sign: &str) -> bool {
        let found = matches!(self.peek(), Token::Sign(s) if *s == sign);
        self.at += usize::from(found);
        found
    }

    fn need(&mut self, sign: &str) -> Result<usize, Error> {
        let span = self.span();
        if self.take(sign) {
            return Ok(span.end);
        }
        let problem = format!("{} is not expected here", self.peek().told());
        Err(Error::new(span, problem).help(format!("`{sign}` was expected")))
    }

    fn name(&mut self) -> Result<(String, Range<usize>), Error> {
        let span = self.span();
        match self.peek() {
            Token::Name(name) => {
                let name = name.clone();
                self.at += 1;
                Ok((name, span))
            }
            other => Err(
                Error::new(span, format!("{} is not expected here", other.told()))
                    .help("a name was expected"),
            ),
        }
    }

    /// A node over its parts, as long as it is not nested too deep.
    fn node(&self, what: What, span: Range<usize>) -> Result<Tree, Error> {
        let deepest = |parts: &[Tree]| parts.iter().map(|p| p.depth).max().unwrap_or(0);
        let depth = 1 + match &what {
            What::Bool(_) | What::Int(_) | What::Double(_) | What::Text(_) | What::Name(_) => 0,
            What::Member(a, _) | What::Not(a) | What::Minus(a) => a.depth,
            What::Index(a, b) | What::Binary(_, a, b) | What::Let(_, a, b) => a.depth.max(b.depth),
            What::Call(_, parts) | What::And(parts) | What::Or(parts) | What::List(parts) => {
                deepest(parts)
            }
            What::Method(a, _, parts) => a.depth.max(deepest(parts)),
            What::If(a, b, c) => a.depth.max(b.depth).max(c.depth),
            What::Map(pairs) => pairs
                .iter()
                .map(|(k, v)| k.depth.max(v.depth))
                .max()
                .unwrap_or(0),
        };
        if depth > MAX_DEPTH {
            return Err(too_deep(span));
        }
        Ok(Tree { what, span, depth })
    }

    fn expression(&mut self) -> Result<Tree, Error> {
        if self.depth >= MAX_DEPTH {
            return Err(too_deep(self.span()));
        }
        self.depth += 1;
        let tree = self.bound_or_conditional();
        self.depth -= 1;
        tree
    }

    fn bound_or_conditional(&mut self) -> Result<Tree, Error> {
        let start = self.span().start;
        if matches!(self.peek(), Token::Name(word) if word == "let") {
            self.at += 1;
            let (name, _) = self.name()?;
            self.need("=")?;
            let value = self.expression()?;
            self.need(";")?;
            let body = self.expression()?;
            let end = body.span.end;
            return self.node(What::Let(name, value.into(), body.into()), start..end);
        }
        let test = self.chain(true)?;
        if !self.take("?") {
            return Ok(test);
        }
        let yes = self.expression()?;
        self.need(":")?;
        let no = self.expression()?;
        let span = start..no.span.end;
        self.node(What::If(test.into(), yes.into(), no.into()), span)
    }

    /// `a || b || ...` (`or`) or `a && b && ...` as one flat node.
    fn chain(&mut self, or: bool) -> Result<Tree, Error> {
        let sign = if or { "||" } else { "&&" };
        let operand = |parser: &mut Parser| match or {
            true => parser.chain(false),
            false => parser.binary(0),
        };
        let first = operand(self)?;
        if !matches!(self.peek(), Token::Sign(s) if *s == sign) {
            return Ok(first);
        }
        let start = first.span.start;
        let mut parts = vec![first];
        while self.take(sign) {
            parts.push(operand(self)?);
        }
        let end = parts.last().map_or(start, |last| last.span.end);
        let what = if or {
            What::Or(parts)
        } else {
            What::And(parts)
        };
        self.node(what, start..end)
    }

    fn operator(&self) -> Option<(Binary, u8)> {
        Some(match self.peek() {
            Token::Name(word) if word == "in" => (Binary::In, 0),
            Token::Sign(sign) => match *sign {
                "==" => (Binary::Equal, 0),
                "!=" => (Binary::Unequal, 0),
                "<" => (Binary::Less, 0),
                "<=" => (Binary::LessEqual, 0),
                ">" => (Binary::Greater, 0),
                ">=" => (Binary::GreaterEqual, 0),
                "+" => (Binary::Add, 1),
                "-" => (Binary::Subtract, 1),
                "*" => (Binary::Multiply, 2),
                "/" => (Binary::Divide, 2),
                "%" => (Binary::Remainder, 2),
                _ => return None,
            },
            _ => return None,
        })
    }

    /// Operators that bind at least as tightly as `least`; the recursion is three deep at most.
    fn binary(&mut self, min: u8) -> Result<Tree, Error> {
        let mut left = self.unary()?;
        while let Some((operator, level)) = self.operator().filter(|(_, level)| *level >= min) {
            self.at += 1;
            let right = self.binary(level + 1)?;
            let span = left.span.start..right.span.end;
            left = self.node(What::Binary(operator, left.into(), right.into()), span)?;
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Tree, Error> {
        // Signs are gathered without recursion: a text may hold thousands of them.
        let mut signs = Vec::new();
        loop {
            let start = self.span().start;
            if self.take("!") {
                signs.push((true, start));
            } else if self.take("-") {
                signs.push((false, start));
            } else {
                break;
            }
        }
        let mut tree = self.postfix()?;
        for (not, start) in signs.into_iter().rev() {
            let span = start..tree.span.end;
            tree = self.node(
                if not {
                    What::Not(tree.into())
                } else {
                    What::Minus(tree.into())
                },
                span,
            )?;
        }
        Ok(tree)
    }

    fn postfix(&mut self) -> Result<Tree, Error> {
        let mut tree = self.primary()?;
        loop {
            let start = tree.span.start;
            if self.take(".") {
                let (name, at) = self.name()?;
                if self.take("(") {
                    let (parts, end) = self.list(")")?;
                    tree = self.node(What::Method(tree.into(), name, parts), start..end)?;
                } else {
                    tree = self.node(What::Member(tree.into(), name), start..at.end)?;
                }
            } else if self.take("[") {
                let index = self.expression()?;
                let end = self.need("]")?;
                tree = self.node(What::Index(tree.into(), index.into()), start..end)?;
            } else {
                return Ok(tree);
            }
        }
    }

    /// Expressions up to the closing sign, a comma between them and, as one likes, behind the last.
    fn list(&mut self, close: &str) -> Result<(Vec<Tree>, usize), Error> {
        let mut parts = Vec::new();
        loop {
            let end = self.span().end;
            if self.take(close) {
                return Ok((parts, end));
            }
            parts.push(self.expression()?);
            if !self.take(",") {
                return Ok((parts, self.need(close)?));
            }
        }
    }

    fn primary(&mut self) -> Result<Tree, Error> {
        let (token, span) = (self.peek().clone(), self.span());
        self.at += 1;
        let what = match token {
            Token::Int(value) => What::Int(value),
            Token::Double(value) => What::Double(value),
            Token::Text(value) => What::Text(value),
            Token::Name(name) if self.take("(") => {
                let (parts, end) = self.list(")")?;
                return self.node(What::Call(name, parts), span.start..end);
            }
            Token::Name(name) => match name.as_str() {
                "true" => What::Bool(true),
                "false" => What::Bool(false),
                "in" | "let" | "null" => {
                    let error = Error::new(span, format!("`{name}` is not expected here"));
                    return Err(match name.as_str() {
                        "null" => {
                            error.help("there is no null: what may be absent is asked for by has()")
                        }
                        _ => error.help("a value was expected"),
                    });
                }
                _ => What::Name(name),
            },
            Token::Sign("(") => {
                let mut tree = self.expression()?;
                let end = self.need(")")?;
                tree.span = span.start..end;
                return Ok(tree);
            }
            Token::Sign("[") => {
                let (parts, end) = self.list("]")?;
                return self.node(What::List(parts), span.start..end);
            }
            Token::Sign("{") => return self.map(span.start),
            other => {
                let problem = format!("{} is not expected here", other.told());
                return Err(Error::new(span, problem).help("a value was expected"));
            }
        };
        self.node(what, span)
    }

    fn map(&mut self, start: usize) -> Result<Tree, Error> {
        let mut pairs = Vec::new();
        loop {
            let end = self.span().end;
            if self.take("}") {
                return self.node(What::Map(pairs), start..end);
            }
            let key = self.expression()?;
            self.need(":")?;
            pairs.push((key, self.expression()?));
            if !self.take(",") {
                let end = self.need("}")?;
                return self.node(What::Map(pairs), start..end);
            }
        }
    }
}

#[cfg(test)]
mod tests;
