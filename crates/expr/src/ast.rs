//! Syntax tree of an expression and the parser that builds it from tokens. The module defines the
//! precedence of CEL's operators and limits the nesting: a chain of `&&` or `||` is one node
//! however long it is, every other nesting counts. The parser never recurses deeper than that
//! limit, whatever the text.

use crate::error::Error;
use crate::lex::{tokens, Token};
use std::ops::Range;

/// Maximum nesting, in nodes.
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
    pub(crate) fn symbol(self) -> &'static str {
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
pub(crate) enum TreeKind {
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
    pub(crate) kind: TreeKind,
    pub(crate) span: Range<usize>,
    depth: usize,
}

/// Parses a whole text.
pub(crate) fn parse(text: &str) -> Result<Tree, Error> {
    let mut parser = Parser {
        tokens: tokens(text)?,
        position: 0,
        depth: 0,
    };
    let tree = parser.expression()?;
    match parser.peek() {
        Token::End => Ok(tree),
        other => {
            let error = Error::new(
                parser.span(),
                format!("{} is not expected here", other.description()),
            );
            Err(match other {
                Token::Symbol("=") => error.help("equality is written `==`"),
                Token::Name(word) if word == "and" => error.help("`and` is written `&&`"),
                Token::Name(word) if word == "or" => error.help("`or` is written `||`"),
                _ => error.help("an operator or the end was expected"),
            })
        }
    }
}

struct Parser {
    tokens: Vec<(Token, Range<usize>)>,
    position: usize,
    /// Number of nested calls of [`Parser::expression`], through which all recursion passes.
    depth: usize,
}

fn too_deep(span: Range<usize>) -> Error {
    Error::new(span, format!("nested deeper than {MAX_DEPTH}"))
        .help("use `let`, or `in` with a list, to reduce the nesting")
}

impl Parser {
    fn peek(&self) -> &Token {
        &self.tokens[self.position.min(self.tokens.len() - 1)].0
    }

    fn span(&self) -> Range<usize> {
        self.tokens[self.position.min(self.tokens.len() - 1)]
            .1
            .clone()
    }

    /// Consumes the next token if it is this symbol.
    fn accept(&mut self, symbol: &str) -> bool {
        let found = matches!(self.peek(), Token::Symbol(s) if *s == symbol);
        self.position += usize::from(found);
        found
    }

    fn expect(&mut self, symbol: &str) -> Result<usize, Error> {
        let span = self.span();
        if self.accept(symbol) {
            return Ok(span.end);
        }
        let problem = format!("{} is not expected here", self.peek().description());
        Err(Error::new(span, problem).help(format!("`{symbol}` was expected")))
    }

    fn name(&mut self) -> Result<(String, Range<usize>), Error> {
        let span = self.span();
        match self.peek() {
            Token::Name(name) => {
                let name = name.clone();
                self.position += 1;
                Ok((name, span))
            }
            other => Err(Error::new(
                span,
                format!("{} is not expected here", other.description()),
            )
            .help("a name was expected")),
        }
    }

    /// Builds a node; fails if it is nested too deeply.
    fn node(&self, kind: TreeKind, span: Range<usize>) -> Result<Tree, Error> {
        let deepest = |parts: &[Tree]| parts.iter().map(|p| p.depth).max().unwrap_or(0);
        let depth = 1 + match &kind {
            TreeKind::Bool(_)
            | TreeKind::Int(_)
            | TreeKind::Double(_)
            | TreeKind::Text(_)
            | TreeKind::Name(_) => 0,
            TreeKind::Member(a, _) | TreeKind::Not(a) | TreeKind::Minus(a) => a.depth,
            TreeKind::Index(a, b) | TreeKind::Binary(_, a, b) | TreeKind::Let(_, a, b) => {
                a.depth.max(b.depth)
            }
            TreeKind::Call(_, parts)
            | TreeKind::And(parts)
            | TreeKind::Or(parts)
            | TreeKind::List(parts) => deepest(parts),
            TreeKind::Method(a, _, parts) => a.depth.max(deepest(parts)),
            TreeKind::If(a, b, c) => a.depth.max(b.depth).max(c.depth),
            TreeKind::Map(pairs) => pairs
                .iter()
                .map(|(k, v)| k.depth.max(v.depth))
                .max()
                .unwrap_or(0),
        };
        if depth > MAX_DEPTH {
            return Err(too_deep(span));
        }
        Ok(Tree { kind, span, depth })
    }

    fn expression(&mut self) -> Result<Tree, Error> {
        if self.depth >= MAX_DEPTH {
            return Err(too_deep(self.span()));
        }
        self.depth += 1;
        let tree = self.let_or_conditional();
        self.depth -= 1;
        tree
    }

    fn let_or_conditional(&mut self) -> Result<Tree, Error> {
        let start = self.span().start;
        if matches!(self.peek(), Token::Name(word) if word == "let") {
            self.position += 1;
            let (name, _) = self.name()?;
            self.expect("=")?;
            let value = self.expression()?;
            self.expect(";")?;
            let body = self.expression()?;
            let end = body.span.end;
            return self.node(TreeKind::Let(name, value.into(), body.into()), start..end);
        }
        let test = self.chain(true)?;
        if !self.accept("?") {
            return Ok(test);
        }
        let then = self.expression()?;
        self.expect(":")?;
        let otherwise = self.expression()?;
        let span = start..otherwise.span.end;
        self.node(
            TreeKind::If(test.into(), then.into(), otherwise.into()),
            span,
        )
    }

    /// Parses `a || b || ...` (`or`) or `a && b && ...` as one flat node.
    fn chain(&mut self, or: bool) -> Result<Tree, Error> {
        let symbol = if or { "||" } else { "&&" };
        let operand = |parser: &mut Parser| match or {
            true => parser.chain(false),
            false => parser.binary(0),
        };
        let first = operand(self)?;
        if !matches!(self.peek(), Token::Symbol(s) if *s == symbol) {
            return Ok(first);
        }
        let start = first.span.start;
        let mut parts = vec![first];
        while self.accept(symbol) {
            parts.push(operand(self)?);
        }
        let end = parts.last().map_or(start, |last| last.span.end);
        let kind = if or {
            TreeKind::Or(parts)
        } else {
            TreeKind::And(parts)
        };
        self.node(kind, start..end)
    }

    fn operator(&self) -> Option<(Binary, u8)> {
        Some(match self.peek() {
            Token::Name(word) if word == "in" => (Binary::In, 0),
            Token::Symbol(symbol) => match *symbol {
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

    /// Parses operators whose precedence is at least `min`; recurses three levels deep at most.
    fn binary(&mut self, min: u8) -> Result<Tree, Error> {
        let mut left = self.unary()?;
        while let Some((operator, level)) = self.operator().filter(|(_, level)| *level >= min) {
            self.position += 1;
            let right = self.binary(level + 1)?;
            let span = left.span.start..right.span.end;
            left = self.node(TreeKind::Binary(operator, left.into(), right.into()), span)?;
        }
        Ok(left)
    }

    fn unary(&mut self) -> Result<Tree, Error> {
        // Collected in a loop, not by recursion: a text may hold thousands of prefix operators.
        let mut prefixes = Vec::new();
        loop {
            let start = self.span().start;
            if self.accept("!") {
                prefixes.push((true, start));
            } else if self.accept("-") {
                prefixes.push((false, start));
            } else {
                break;
            }
        }
        let mut tree = self.postfix()?;
        for (not, start) in prefixes.into_iter().rev() {
            let span = start..tree.span.end;
            tree = self.node(
                if not {
                    TreeKind::Not(tree.into())
                } else {
                    TreeKind::Minus(tree.into())
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
            if self.accept(".") {
                let (name, name_span) = self.name()?;
                if self.accept("(") {
                    let (parts, end) = self.list(")")?;
                    tree = self.node(TreeKind::Method(tree.into(), name, parts), start..end)?;
                } else {
                    tree = self.node(TreeKind::Member(tree.into(), name), start..name_span.end)?;
                }
            } else if self.accept("[") {
                let index = self.expression()?;
                let end = self.expect("]")?;
                tree = self.node(TreeKind::Index(tree.into(), index.into()), start..end)?;
            } else {
                return Ok(tree);
            }
        }
    }

    /// Parses expressions separated by commas up to the closing symbol; a trailing comma is
    /// allowed.
    fn list(&mut self, close: &str) -> Result<(Vec<Tree>, usize), Error> {
        let mut parts = Vec::new();
        loop {
            let end = self.span().end;
            if self.accept(close) {
                return Ok((parts, end));
            }
            parts.push(self.expression()?);
            if !self.accept(",") {
                return Ok((parts, self.expect(close)?));
            }
        }
    }

    fn primary(&mut self) -> Result<Tree, Error> {
        let (token, span) = (self.peek().clone(), self.span());
        self.position += 1;
        let kind = match token {
            Token::Int(value) => TreeKind::Int(value),
            Token::Double(value) => TreeKind::Double(value),
            Token::Text(value) => TreeKind::Text(value),
            Token::Name(name) if self.accept("(") => {
                let (parts, end) = self.list(")")?;
                return self.node(TreeKind::Call(name, parts), span.start..end);
            }
            Token::Name(name) => match name.as_str() {
                "true" => TreeKind::Bool(true),
                "false" => TreeKind::Bool(false),
                "in" | "let" | "null" => {
                    let error = Error::new(span, format!("`{name}` is not expected here"));
                    return Err(match name.as_str() {
                        "null" => {
                            error.help("there is no null: test for an absent value with has()")
                        }
                        _ => error.help("a value was expected"),
                    });
                }
                _ => TreeKind::Name(name),
            },
            Token::Symbol("(") => {
                let mut tree = self.expression()?;
                let end = self.expect(")")?;
                tree.span = span.start..end;
                return Ok(tree);
            }
            Token::Symbol("[") => {
                let (parts, end) = self.list("]")?;
                return self.node(TreeKind::List(parts), span.start..end);
            }
            Token::Symbol("{") => return self.map(span.start),
            other => {
                let problem = format!("{} is not expected here", other.description());
                return Err(Error::new(span, problem).help("a value was expected"));
            }
        };
        self.node(kind, span)
    }

    fn map(&mut self, start: usize) -> Result<Tree, Error> {
        let mut pairs = Vec::new();
        loop {
            let end = self.span().end;
            if self.accept("}") {
                return self.node(TreeKind::Map(pairs), start..end);
            }
            let key = self.expression()?;
            self.expect(":")?;
            pairs.push((key, self.expression()?));
            if !self.accept(",") {
                let end = self.expect("}")?;
                return self.node(TreeKind::Map(pairs), start..end);
            }
        }
    }
}

#[cfg(test)]
mod tests;
