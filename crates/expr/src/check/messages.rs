//! Messages of type errors.

use crate::error::Error;
use crate::node::Node;
use crate::schema::Type;
use std::ops::Range;

/// Help for an optional value that is used without a test or a default.
pub(super) const OPTIONAL_HELP: &str =
    "test it with has() first, or give a default with .orValue()";

/// Builds the error for a node whose type is not `want`.
pub(super) fn mismatch(span: &Range<usize>, want: &str, got: &Node) -> Error {
    let error = Error::new(span.clone(), format!("this is {}", article(&got.ty)));
    match &got.ty {
        Type::Optional(of) if of.to_string() == want => error.help(format!(
            "{want} was expected: test it with has() first, or give a default with .orValue()"
        )),
        _ => error.help(format!("{want} was expected")),
    }
}

/// A type with its indefinite article.
pub(super) fn article(ty: &Type) -> String {
    match ty {
        Type::Int | Type::Ip | Type::Optional(_) => format!("an {ty}"),
        _ => format!("a {ty}"),
    }
}
