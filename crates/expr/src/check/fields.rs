//! Reads of fields, of local variables, and of the items of lists and maps.

use super::messages::{article, mismatch};
use super::{CheckResult, Checker, METHODS};
use crate::ast::{Tree, TreeKind};
use crate::error::{nearest, Error};
use crate::facts::Facts;
use crate::lex::abbreviated;
use crate::node::{Kind, Node};
use crate::schema::{Bound, Type};
use std::ops::Range;

/// Maximum number of fields listed in the error for an unknown name that resembles no known one.
const MAX_LISTED: usize = 12;

impl Checker<'_> {
    /// Resolves a name or a dotted name to a local variable or a field.
    pub(super) fn variable_or_field(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let span = tree.span.clone();
        if let TreeKind::Name(name) = &tree.kind {
            let mut locals = self.locals.iter();
            if let Some(local) = locals.find(|n| n.in_scope && n.name == *name).cloned() {
                let node = Node::new(Kind::Local(local.slot), local.ty, local.bound, span);
                return Ok(self.narrowed(node, facts));
            }
        }
        let Some(dotted) = dotted(tree) else {
            return Err(self.no_member(tree, facts)?);
        };
        let Some(id) = self.schema.id(&dotted) else {
            return Err(self.unknown_field(&dotted, span));
        };
        let Some(field) = self.schema.get(id) else {
            return Err(Error::new(span, "the field does not exist"));
        };
        let ty = if field.optional {
            Type::Optional(field.ty.clone().into())
        } else {
            field.ty.clone()
        };
        Ok(self.narrowed(Node::new(Kind::Field(id), ty, field.bound, span), facts))
    }

    /// Builds the error for a value that has no such member.
    ///
    /// # Errors
    /// The value itself is invalid.
    fn no_member(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Error> {
        let span = tree.span.clone();
        let TreeKind::Member(of, member) = &tree.kind else {
            return Ok(Error::new(span, "a field or a local variable was expected"));
        };
        let of = self.check(of, facts)?;
        let problem = format!(
            "{} has no member `{}`",
            article(&of.ty),
            abbreviated(member)
        );
        let error = Error::new(span, problem);
        Ok(match nearest(member, METHODS.into_iter()) {
            Some(near) => error.help(format!("`.{near}(...)` is a method")),
            None => error,
        })
    }

    /// Builds the error for an unknown field, with the most similar name or a list of fields.
    fn unknown_field(&self, dotted: &str, span: Range<usize>) -> Error {
        let problem = if self.schema.is_namespace(dotted) {
            format!(
                "`{}` is a group of fields, not a value",
                abbreviated(dotted)
            )
        } else {
            format!("there is no `{}`", abbreviated(dotted))
        };
        let error = Error::new(span, problem);
        let fields = self.schema.fields().iter().map(|f| f.name.as_str());
        let locals = self.locals.iter().filter(|n| n.in_scope);
        let known = fields.clone().chain(locals.map(|n| n.name.as_str()));
        if let Some(near) = nearest(dotted, known) {
            return error.help(format!("did you mean `{near}`?"));
        }
        let group = format!("{}.", dotted.split('.').next().unwrap_or(""));
        let of_group = fields.filter(|field| field.starts_with(&group));
        let listed: Vec<&str> = of_group.take(MAX_LISTED).collect();
        if listed.is_empty() {
            error
        } else {
            error.help(format!("known fields are {}", listed.join(", ")))
        }
    }

    /// `of[index]`: an item of a list or an entry of a map, which may be absent.
    pub(super) fn index(
        &mut self,
        of: &Tree,
        index: &Tree,
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let (of, index) = (self.check(of, facts)?, self.check(index, facts)?);
        let (kind, item, bound, want) = match &of.ty {
            Type::List(item) => (
                Kind::Item as fn(_, _) -> _,
                item.clone(),
                Bound::new(of.bound.bytes, 0),
                Type::Int,
            ),
            Type::Map(item) => (
                Kind::Lookup as fn(_, _) -> _,
                item.clone(),
                Bound::new(of.bound.bytes, 0),
                Type::Text,
            ),
            _ => return Err(mismatch(&of.span, "a list or a map", &of)),
        };
        if index.ty != want {
            return Err(mismatch(&index.span, &want.to_string(), &index));
        }
        let kind = kind(Box::new(of), Box::new(index));
        Ok(self.narrowed(Node::new(kind, Type::Optional(item), bound, span), facts))
    }
}

/// The dotted name `a.b.c`, if the tree consists of names only.
fn dotted(tree: &Tree) -> Option<String> {
    match &tree.kind {
        TreeKind::Name(name) => Some(name.clone()),
        TreeKind::Member(of, member) => Some(format!("{}.{member}", dotted(of)?)),
        _ => None,
    }
}
