//! The local variables of an expression, and which place of the input a node reads.

use super::{CheckResult, Checker};
use crate::constant::Const;
use crate::error::Error;
use crate::facts::{Facts, Path};
use crate::lex::short;
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
    /// The place of the input that it is another name for.
    pub(super) path: Option<Path>,
    /// What its being true or false establishes, if it is a test.
    pub(super) facts: Option<[Option<Facts>; 2]>,
    /// Whether it may be read here. It stays known when its scope has ended, since facts are asked for later.
    pub(super) in_scope: bool,
}

impl Checker<'_> {
    /// Declares a local variable with the type of `value`, for so many slots of the machine.
    ///
    /// # Errors
    /// The name has a meaning already, or there are too many locals.
    pub(super) fn declare(
        &mut self,
        name: &str,
        value: &Node,
        path: Option<Path>,
        facts: Option<[Option<Facts>; 2]>,
        span: Range<usize>,
        slots: u16,
    ) -> CheckResult<u16> {
        let taken = self.names.iter().any(|n| n.in_scope && n.name == name);
        if taken || self.schema.id(name).is_some() || self.schema.is_space(name) {
            return Err(Error::new(
                span,
                format!("`{}` has a meaning already", short(name)),
            ));
        }
        let slot = self.slots;
        if usize::from(slot + slots) > MAX_LOCALS {
            return Err(Error::new(
                span,
                format!("more than {MAX_LOCALS} names of the expression's own"),
            ));
        }
        self.slots += slots;
        let path = path.or(Some(Path::Local(slot)));
        let (ty, bound) = (value.ty.clone(), value.bound);
        self.names.push(Local {
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
    pub(super) fn close(&mut self, slot: u16) {
        self.names
            .iter_mut()
            .filter(|n| n.slot == slot)
            .for_each(|n| n.in_scope = false);
    }

    /// An optional value as one that is there, where facts establish that.
    pub(super) fn narrowed(&self, node: Node, facts: &Facts) -> Node {
        let Type::Optional(of) = &node.ty else {
            return node;
        };
        match self.path(&node) {
            Some(path) if facts.present(&path) => {
                let (ty, bound, span) = ((**of).clone(), node.bound, node.span.clone());
                Node::new(Kind::Sure(node.into()), ty, bound, span)
            }
            _ => node,
        }
    }

    /// The place of the input that a node reads.
    pub(crate) fn path(&self, node: &Node) -> Option<Path> {
        match &node.kind {
            Kind::Field(id) => Some(Path::Field(*id)),
            Kind::Sure(of) => self.path(of),
            Kind::Local(slot) => self.names.iter().find(|n| n.slot == *slot)?.path.clone(),
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
