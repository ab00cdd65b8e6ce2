//! `x in y`, for lists and maps.

use super::literals::constant_list;
use super::messages::mismatch;
use super::{CheckResult, Checker};
use crate::ast::{Binary, Tree, TreeKind};
use crate::constant::Const;
use crate::facts::Facts;
use crate::node::{Kind, Node};
use crate::schema::{Bound, Type};
use std::ops::Range;
use std::sync::Arc;

impl Checker<'_> {
    /// `a in b`.
    pub(super) fn in_operator(
        &mut self,
        a: &Tree,
        b: &Tree,
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let node = self.check(a, facts)?;
        // A list literal may have items that are not constant: it becomes one comparison for each
        // item.
        let list = match &b.kind {
            TreeKind::List(parts) => {
                let items = parts
                    .iter()
                    .map(|part| self.check(part, facts))
                    .collect::<CheckResult<Vec<Node>>>()?;
                if items.iter().any(|item| item.as_const().is_none()) {
                    return self.is_one_of(node, items, span);
                }
                constant_list(items, b.span.clone())?
            }
            _ => self.check(b, facts)?,
        };
        if matches!(list.as_const(), Some(Const::List(list)) if list.items.is_empty()) {
            return Ok(Node::constant(Const::Bool(false), span));
        }
        match list.ty.clone() {
            Type::Map(of) => is_key(node, list, of, span),
            Type::List(of) => is_item(node, list, &of, span),
            _ => Err(mismatch(&list.span, "a list or a map", &list)),
        }
    }

    /// `node in [items]`, where some of the items are not constant.
    fn is_one_of(&mut self, node: Node, items: Vec<Node>, span: Range<usize>) -> CheckResult<Node> {
        // The value is evaluated once, into a local variable whose name cannot occur in a text.
        let name = format!("in {}", self.slots);
        let path = self.path(&node);
        let slot = self.declare(&name, &node, path, None, span.clone(), 1)?;
        let local = Node::new(
            Kind::Local(slot),
            node.ty.clone(),
            node.bound,
            node.span.clone(),
        );
        let tests = items.into_iter().map(|item| {
            let span = item.span.clone();
            self.binary(Binary::Equal, local.clone(), item, span)
        });
        let tests = tests.collect::<CheckResult<Vec<Node>>>()?;
        self.end_scope(slot);
        let any = Node::new(Kind::Or(tests), Type::Bool, Bound::default(), span.clone());
        Ok(Node::new(
            Kind::Let(slot, node.into(), any.into()),
            Type::Bool,
            Bound::default(),
            span,
        ))
    }
}

/// `key in map`, where the values of the map are of type `of`.
fn is_key(key: Node, map: Node, of: Box<Type>, span: Range<usize>) -> CheckResult<Node> {
    if key.ty != Type::Text {
        return Err(mismatch(&key.span, "string", &key));
    }
    let bound = Bound::new(map.bound.bytes, 0);
    let lookup = Kind::Lookup(map.into(), key.into());
    let found = Node::new(lookup, Type::Optional(of), bound, span.clone());
    let has = Kind::Has(found.into());
    Ok(Node::new(has, Type::Bool, Bound::default(), span))
}

/// `item in list`, where the items of the list are of type `of`. A constant list becomes a set.
fn is_item(item: Node, list: Node, of: &Type, span: Range<usize>) -> CheckResult<Node> {
    if item.ty != *of {
        return Err(mismatch(&item.span, &of.to_string(), &item));
    }
    let value = list.as_const();
    let texts = value.and_then(Const::text_items).map(Const::texts);
    let ints = || value.and_then(Const::int_items);
    let set = texts.or_else(|| Some(Const::IntSet(Arc::new(ints()?.into_iter().collect()))));
    let kind = match set {
        Some(set) => Kind::InSet(item.into(), set),
        None => Kind::InList(item.into(), list.into()),
    };
    Ok(Node::new(kind, Type::Bool, Bound::default(), span))
}
