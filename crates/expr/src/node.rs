//! Typed tree of an expression. The checker builds it, the compiler reads it.

use crate::ast::Binary;
use crate::constant::Const;
use crate::schema::{Bound, FieldId, Type};
use ipnet::IpNet;
use std::ops::Range;
use std::sync::Arc;

/// Functions of the language and unary minus.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Func {
    Size,
    StartsWith,
    EndsWith,
    Contains,
    LowerAscii,
    Split,
    ToInt,
    ToDouble,
    ToText,
    ToIp,
    Milliseconds,
    Hash,
    Min,
    Max,
    Minus,
}

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Kind {
    Const(Const),
    Field(FieldId),
    Local(u16),
    /// An item of a list, which may be absent.
    Item(Box<Node>, Box<Node>),
    /// An entry of a map, which may be absent.
    Lookup(Box<Node>, Box<Node>),
    /// An optional value that facts prove to be present.
    Unwrap(Box<Node>),
    Has(Box<Node>),
    OrValue(Box<Node>, Box<Node>),
    Let(u16, Box<Node>, Box<Node>),
    Not(Box<Node>),
    And(Vec<Node>),
    Or(Vec<Node>),
    If(Box<Node>, Box<Node>, Box<Node>),
    Binary(Binary, Box<Node>, Box<Node>),
    Call(Func, Vec<Node>),
    /// Whether a set of constants contains the value.
    InSet(Box<Node>, Const),
    /// Whether the value begins with one of the given prefixes.
    BeginsWithAny(Box<Node>, Vec<Arc<str>>),
    Matches(Box<Node>, Arc<str>),
    InCidrs(Box<Node>, Vec<IpNet>),
    /// Whether a list that is not constant contains the value.
    InList(Box<Node>, Box<Node>),
    /// `list.exists(x, test)` or `list.all(x, test)`. `slot` is the slot of `x`; the next two slots
    /// hold the index and the list.
    Loop {
        all: bool,
        slot: u16,
        list: Box<Node>,
        test: Box<Node>,
    },
}

/// An expression whose type is known.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Node {
    pub(crate) kind: Kind,
    pub(crate) ty: Type,
    pub(crate) bound: Bound,
    pub(crate) span: Range<usize>,
}

impl Node {
    pub(crate) fn new(kind: Kind, ty: Type, bound: Bound, span: Range<usize>) -> Node {
        Node {
            kind,
            ty,
            bound,
            span,
        }
    }

    pub(crate) fn constant(value: Const, span: Range<usize>) -> Node {
        let (ty, bound) = (value.ty(), value.bound());
        Node::new(Kind::Const(value), ty, bound, span)
    }

    pub(crate) fn as_const(&self) -> Option<&Const> {
        match &self.kind {
            Kind::Const(value) => Some(value),
            _ => None,
        }
    }

    pub(crate) fn as_text(&self) -> Option<&Arc<str>> {
        match self.as_const() {
            Some(Const::Text(text)) => Some(text),
            _ => None,
        }
    }

    pub(crate) fn children(&self) -> Vec<&Node> {
        match &self.kind {
            Kind::Const(_) | Kind::Field(_) | Kind::Local(_) => vec![],
            Kind::Unwrap(a) | Kind::Has(a) | Kind::Not(a) => vec![a],
            Kind::InSet(a, _)
            | Kind::BeginsWithAny(a, _)
            | Kind::Matches(a, _)
            | Kind::InCidrs(a, _) => {
                vec![a]
            }
            Kind::Item(a, b) | Kind::Lookup(a, b) | Kind::OrValue(a, b) => vec![a, b],
            Kind::Let(_, a, b) | Kind::Binary(_, a, b) | Kind::InList(a, b) => vec![a, b],
            Kind::Loop { list, test, .. } => vec![list, test],
            Kind::And(parts) | Kind::Or(parts) | Kind::Call(_, parts) => parts.iter().collect(),
            Kind::If(a, b, c) => vec![a, b, c],
        }
    }
}
