//! Functions that are called by name, such as `has(x)` and `int(x)`.

use super::literals::duration;
use super::messages::{article, mismatch};
use super::{CheckResult, Checker, FUNCTIONS, METHODS};
use crate::ast::Tree;
use crate::constant::Const;
use crate::error::{nearest, Error};
use crate::facts::Facts;
use crate::lex::abbreviated;
use crate::node::{Func, Kind, Node};
use crate::schema::{Bound, Type};
use std::ops::Range;

/// Maximum length of a double as text, bytes.
const MAX_DOUBLE_TEXT: u32 = 344;
/// Maximum length of any other number, a duration or an address as text, bytes.
const MAX_SCALAR_TEXT: u32 = 48;

impl Checker<'_> {
    /// Returns an error unless the number of arguments is one of `want`.
    pub(super) fn check_arity(
        &self,
        name: &str,
        args: &[Tree],
        want: &[usize],
        span: &Range<usize>,
    ) -> CheckResult<()> {
        if want.contains(&args.len()) {
            return Ok(());
        }
        let expected: Vec<String> = want.iter().map(usize::to_string).collect();
        let problem = format!("`{name}` is called with {} arguments", args.len());
        Err(Error::new(span.clone(), problem)
            .help(format!("{} was expected", expected.join(" or "))))
    }

    /// Checks a call of a function.
    pub(super) fn call(
        &mut self,
        name: &str,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let arguments: &[usize] = match name {
            "has" | "size" | "int" | "double" | "string" | "ip" | "duration" => &[1],
            "hash" | "min" | "max" => &[2],
            _ => return Err(no_function(name, span)),
        };
        self.check_arity(name, args, arguments, &span)?;
        let first = self.check(&args[0], facts)?;
        match name {
            "has" => has(first, span),
            "size" => size(first, span),
            "duration" => constant_duration(first, span),
            "hash" => {
                let max = self.check(&args[1], facts)?;
                hash(first, max, span)
            }
            "min" | "max" => {
                let second = self.check(&args[1], facts)?;
                min_or_max(name, first, second, span)
            }
            _ => convert(name, first, span),
        }
    }
}

/// Builds the error for an unknown function.
fn no_function(name: &str, span: Range<usize>) -> Error {
    let error = Error::new(
        span,
        format!("there is no function `{}`", abbreviated(name)),
    );
    if METHODS.contains(&name) {
        return error.help(format!("it is a method: `x.{name}(...)`"));
    }
    match nearest(name, FUNCTIONS.into_iter()) {
        Some(near) => error.help(format!("did you mean `{near}`?")),
        None => error.help(format!(
            "known functions are {}",
            FUNCTIONS[..10].join(", ")
        )),
    }
}

/// `has(x)`: whether an optional value is present.
fn has(of: Node, span: Range<usize>) -> CheckResult<Node> {
    // Facts prove that the value is present.
    if let Kind::Unwrap(_) = &of.kind {
        return Ok(Node::constant(Const::Bool(true), span));
    }
    if !matches!(of.ty, Type::Optional(_)) {
        let error = Error::new(of.span, "this is always present");
        return Err(error.help("has() takes a value that may be absent"));
    }
    let has = Kind::Has(of.into());
    Ok(Node::new(has, Type::Bool, Bound::default(), span))
}

/// `duration("250ms")`.
fn constant_duration(text: Node, span: Range<usize>) -> CheckResult<Node> {
    let Some(written) = text.as_text() else {
        let error = Error::new(text.span, "duration() takes a constant string");
        return Err(error.help("x * duration(\"1ms\") converts an integer to a duration"));
    };
    let Some(ms) = duration(written) else {
        let problem = format!("{:?} is not a duration", abbreviated(written));
        let error = Error::new(text.span.clone(), problem);
        return Err(error.help("examples are \"250ms\", \"1.5s\", \"2m\" and \"1h30m\""));
    };
    Ok(Node::constant(Const::Duration(ms), span))
}

/// `min(a, b)` and `max(a, b)`.
fn min_or_max(name: &str, a: Node, b: Node, span: Range<usize>) -> CheckResult<Node> {
    if a.ty != b.ty || !matches!(a.ty, Type::Int | Type::Double | Type::Duration) {
        let (a, b) = (article(&a.ty), article(&b.ty));
        let problem = format!("`{name}` does not take {a} and {b}");
        return Err(Error::new(span, problem).help("two numbers of the same type were expected"));
    }
    let func = if name == "min" { Func::Min } else { Func::Max };
    let ty = a.ty.clone();
    let call = Kind::Call(func, vec![a, b]);
    Ok(Node::new(call, ty, Bound::default(), span))
}

/// `size(x)` and `x.size()`.
pub(super) fn size(of: Node, span: Range<usize>) -> CheckResult<Node> {
    if !matches!(of.ty, Type::Text | Type::List(_) | Type::Map(_)) {
        return Err(mismatch(&of.span, "a string, a list or a map", &of));
    }
    Ok(Node::new(
        Kind::Call(Func::Size, vec![of]),
        Type::Int,
        Bound::default(),
        span,
    ))
}

/// `int(x)`, `double(x)`, `string(x)` and `ip(x)`.
fn convert(name: &str, a: Node, span: Range<usize>) -> CheckResult<Node> {
    let optional = |ty: Type| Type::Optional(ty.into());
    let (func, ty, bytes) = match (name, &a.ty) {
        ("int", Type::Text) => (Func::ToInt, optional(Type::Int), 0),
        ("int", Type::Double) => (Func::ToInt, optional(Type::Int), 0),
        ("double", Type::Text) => (Func::ToDouble, optional(Type::Double), 0),
        ("double", Type::Int) => (Func::ToDouble, Type::Double, 0),
        ("ip", Type::Text) => match a.as_text().map(|text| text.parse()) {
            Some(Ok(ip)) => return Ok(Node::constant(Const::Ip(ip), span)),
            Some(Err(_)) => {
                return Err(Error::new(a.span, "this is not an IP address")
                    .help("examples are \"10.0.0.1\" and \"fd00::1\""))
            }
            None => (Func::ToIp, optional(Type::Ip), 0),
        },
        ("string", Type::Int | Type::Bool | Type::Ip | Type::Duration) => {
            (Func::ToText, Type::Text, MAX_SCALAR_TEXT)
        }
        ("string", Type::Double) => (Func::ToText, Type::Text, MAX_DOUBLE_TEXT),
        _ => {
            let problem = format!("`{name}` does not take {}", article(&a.ty));
            return Err(Error::new(a.span, problem));
        }
    };
    Ok(Node::new(
        Kind::Call(func, vec![a]),
        ty,
        Bound::new(bytes, 0),
        span,
    ))
}

/// `hash(x, n)`: a hash from 0 to n - 1.
fn hash(a: Node, n: Node, span: Range<usize>) -> CheckResult<Node> {
    if a.ty != Type::Text {
        return Err(mismatch(&a.span, "string", &a));
    }
    match n.as_const() {
        Some(Const::Int(max)) if *max >= 1 && *max <= i64::from(u32::MAX) => Ok(Node::new(
            Kind::Call(Func::Hash, vec![a, n]),
            Type::Int,
            Bound::default(),
            span,
        )),
        _ => Err(Error::new(
            n.span,
            "hash(x, n) takes a constant integer n from 1 to 4294967295",
        )),
    }
}
