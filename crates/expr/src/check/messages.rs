//! The wording of type errors.

use crate::error::Error;
use crate::node::Node;
use crate::schema::Type;
use std::ops::Range;

/// How to read what may be absent.
pub(super) const OPTIONAL_HELP: &str = "ask has() first, or give a default with .orValue()";

/// The error that a node is of another type than `want`.
pub(super) fn mismatch(span: &Range<usize>, want: &str, got: &Node) -> Error {
    let error = Error::new(span.clone(), format!("this is {}", article(&got.ty)));
    match &got.ty {
        Type::Optional(of) if of.to_string() == want => error.help(format!(
            "{want} was expected: ask has() first, or give a default with .orValue()"
        )),
        _ => error.help(format!("{want} was expected")),
    }
}

/// A type with its article.
pub(super) fn article(ty: &Type) -> String {
    match ty {
        Type::Int | Type::Ip | Type::Optional(_) => format!("an {ty}"),
        _ => format!("a {ty}"),
    }
}
