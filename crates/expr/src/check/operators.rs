//! Types of the binary operators.

use super::messages::{article, OPTIONAL_HELP};
use super::{CheckResult, Checker};
use crate::ast::Binary;
use crate::error::Error;
use crate::limits::MAX_CONCATENATED;
use crate::node::{Kind, Node};
use crate::schema::{Bound, Type};
use std::ops::Range;

impl Checker<'_> {
    /// Checks `a operator b`, except `in`.
    pub(super) fn binary(
        &self,
        operator: Binary,
        a: Node,
        b: Node,
        span: Range<usize>,
    ) -> CheckResult<Node> {
        let Some(ty) = result_type(operator, &a.ty, &b.ty) else {
            return Err(no_operator(operator, &a.ty, &b.ty, span));
        };
        let bound = if ty == Type::Text {
            concatenated(&a, &b, &span)?
        } else {
            Bound::default()
        };
        let kind = Kind::Binary(operator, a.into(), b.into());
        Ok(Node::new(kind, ty, bound, span))
    }
}

/// The type of an operator's result; `None` if it does not apply to these types.
fn result_type(operator: Binary, a: &Type, b: &Type) -> Option<Type> {
    use Type::{Bool, Double, Duration, Int, Ip, Text};
    let is_same = a == b;
    match operator {
        Binary::Equal | Binary::Unequal => {
            let is_comparable = matches!(a, Bool | Int | Double | Text | Duration | Ip);
            (is_same && is_comparable).then_some(Bool)
        }
        Binary::Less | Binary::LessEqual | Binary::Greater | Binary::GreaterEqual => {
            let is_ordered = matches!(a, Int | Double | Text | Duration);
            (is_same && is_ordered).then_some(Bool)
        }
        Binary::Add => {
            let is_added = matches!(a, Int | Double | Duration | Text);
            (is_same && is_added).then(|| a.clone())
        }
        Binary::Subtract => {
            let is_subtracted = matches!(a, Int | Double | Duration);
            (is_same && is_subtracted).then(|| a.clone())
        }
        Binary::Multiply => match (a, b) {
            (Int, Int) | (Double, Double) => Some(a.clone()),
            (Duration, Int) | (Int, Duration) => Some(Duration),
            _ => None,
        },
        Binary::Divide => match (a, b) {
            (Int, Int) | (Double, Double) => Some(a.clone()),
            (Duration, Int) => Some(Duration),
            _ => None,
        },
        Binary::Remainder => (is_same && *a == Int).then_some(Int),
        Binary::In => None,
    }
}

/// The bound of the concatenation of two texts.
///
/// # Errors
/// The bound exceeds the maximum length of a text.
fn concatenated(a: &Node, b: &Node, span: &Range<usize>) -> CheckResult<Bound> {
    let bytes = a.bound.bytes.saturating_add(b.bound.bytes);
    if bytes > MAX_CONCATENATED {
        let problem =
            format!("this may produce a string of {bytes} bytes, the limit is {MAX_CONCATENATED}");
        return Err(Error::new(span.clone(), problem));
    }
    Ok(Bound::new(bytes, 0))
}

/// Builds the error for an operator that does not apply to these types.
fn no_operator(operator: Binary, a: &Type, b: &Type, span: Range<usize>) -> Error {
    use Type::{Double, Duration, Int, Ip, Text};
    let problem = format!(
        "`{}` does not apply to {} and {}",
        operator.symbol(),
        article(a),
        article(b)
    );
    Error::new(span, problem).help(match (a, b) {
        (Type::Optional(_), _) | (_, Type::Optional(_)) => OPTIONAL_HELP,
        (Int, Double) | (Double, Int) => "double(x) converts an int to a double",
        (Text, Int) | (Int, Text) => "int(x).orValue(0) parses an int, string(x) formats one",
        (Text, Ip) | (Ip, Text) => "ip(x) converts a string to an ip",
        (Text, Duration) | (Duration, Text) => "a duration is written duration(\"250ms\")",
        _ => "both sides must have the same type",
    })
}
