//! Local variables of an expression, and the paths of the input that nodes read.

use super::{CheckResult, Checker};
use crate::constant::Const;
use crate::error::Error;
use crate::facts::{Facts, Path};
use crate::lex::abbreviated;
use crate::limits::MAX_LOCALS;
use crate::node::{Kind, Node};
use crate::schema::{Bound, Type};
use std::ops::Range;

/// A local variable.
#[derive(Clone, Debug)]
pub(super) struct Local {
    pub(super) name: String,
    pub(super) slot: u16,
    pub(super) ty: Type,
    pub(super) bound: Bound,
    /// Path of the value that the variable stands for; its own slot if there is no path of the
    /// input.
    pub(super) path: Option<Path>,
    /// Facts where the variable is true and where it is false, if it is a bool.
    pub(super) facts: Option<[Option<Facts>; 2]>,
    /// Whether the variable may be read here. It is kept after its scope has ended, since facts may
    /// still refer to it.
    pub(super) in_scope: bool,
}

impl Checker<'_> {
    /// Declares a local variable with the type and the bound of `value` and allocates `slots` slots
    /// for it.
    ///
    /// # Errors
    /// The name is already defined, or there are too many local variables.
    pub(super) fn declare(
        &mut self,
        name: &str,
        value: &Node,
        path: Option<Path>,
        facts: Option<[Option<Facts>; 2]>,
        span: Range<usize>,
        slots: u16,
    ) -> CheckResult<u16> {
        let taken = self.locals.iter().any(|n| n.in_scope && n.name == name);
        if taken || self.schema.id(name).is_some() || self.schema.is_namespace(name) {
            return Err(Error::new(
                span,
                format!("`{}` is already defined", abbreviated(name)),
            ));
        }
        let slot = self.slots;
        if usize::from(slot + slots) > MAX_LOCALS {
            return Err(Error::new(
                span,
                format!("the expression needs more than {MAX_LOCALS} slots for local variables"),
            ));
        }
        self.slots += slots;
        let path = path.or(Some(Path::Local(slot)));
        let (ty, bound) = (value.ty.clone(), value.bound);
        self.locals.push(Local {
            name: name.to_string(),
            slot,
            ty,
            bound,
            path,
            facts,
            in_scope: true,
        });
        Ok(slot)
    }

    /// Ends the scope of a local variable.
    pub(super) fn end_scope(&mut self, slot: u16) {
        self.locals
            .iter_mut()
            .filter(|n| n.slot == slot)
            .for_each(|n| n.in_scope = false);
    }

    /// Marks an optional value as present, if facts prove that it is.
    pub(super) fn narrowed(&self, node: Node, facts: &Facts) -> Node {
        let Type::Optional(of) = &node.ty else {
            return node;
        };
        match self.path(&node) {
            Some(path) if facts.present(&path) => {
                let (ty, bound, span) = ((**of).clone(), node.bound, node.span.clone());
                Node::new(Kind::Unwrap(node.into()), ty, bound, span)
            }
            _ => node,
        }
    }

    /// The path whose value a node reads.
    pub(crate) fn path(&self, node: &Node) -> Option<Path> {
        match &node.kind {
            Kind::Field(id) => Some(Path::Field(*id)),
            Kind::Unwrap(of) => self.path(of),
            Kind::Local(slot) => self.locals.iter().find(|n| n.slot == *slot)?.path.clone(),
            Kind::Lookup(of, key) => match (self.path(of)?, key.as_const()?) {
                (Path::Field(id), Const::Text(key)) => Some(Path::Key(id, key.to_string())),
                _ => None,
            },
            Kind::Item(of, index) => match (self.path(of)?, index.as_const()?) {
                (Path::Field(id), Const::Int(index)) => Some(Path::Item(id, *index)),
                _ => None,
            },
            _ => None,
        }
    }
}
