//! Neighbouring tests of one place become one test: equalities one look-up, beginnings one prefix index.

use super::Checker;
use crate::ast::Binary;
use crate::constant::Const;
use crate::node::{Func, Kind, Node};
use crate::schema::{Bound, Type};
use std::sync::Arc;

impl Checker<'_> {
    /// Neighbouring tests of one place as one: equalities as a look-up, beginnings as one prefix index.
    pub(super) fn merged(&self, nodes: Vec<Node>) -> Vec<Node> {
        let mut merged: Vec<Node> = Vec::new();
        let mut run: Option<(Node, Tested)> = None;
        for node in nodes {
            if let Some((first, tested)) = &mut run {
                let of = self.tested(first).map(|(of, _)| of);
                if let (Some(of), Some((too, more))) = (of, self.tested(&node)) {
                    if self.same(of, too) && tested.take(more) {
                        first.span.end = node.span.end;
                        continue;
                    }
                }
            }
            merged.extend(run.take().map(|run| self.whole(run)));
            match self.tested(&node) {
                Some((_, tested)) => run = Some((node, tested)),
                None => merged.push(node),
            }
        }
        merged.extend(run.map(|run| self.whole(run)));
        merged
    }

    /// A run of tests as one node.
    fn whole(&self, (first, tested): (Node, Tested)) -> Node {
        let Some((of, _)) = self.tested(&first) else {
            return first;
        };
        let kind = match tested {
            Tested::One(texts) if texts.len() > 1 => {
                Kind::InSet(of.clone().into(), Const::texts(texts))
            }
            Tested::Begin(texts) if texts.len() > 1 => {
                Kind::BeginsWithAny(of.clone().into(), texts)
            }
            _ => return first,
        };
        Node::new(kind, Type::Bool, Bound::default(), first.span)
    }

    fn same(&self, a: &Node, b: &Node) -> bool {
        self.path(a).is_some_and(|path| Some(path) == self.path(b))
    }

    fn tested<'n>(&self, node: &'n Node) -> Option<(&'n Node, Tested)> {
        match &node.kind {
            Kind::Binary(Binary::Equal, a, b) => match (a.as_text(), b.as_text()) {
                (None, Some(text)) => Some((a, Tested::One(vec![text.clone()]))),
                (Some(text), None) => Some((b, Tested::One(vec![text.clone()]))),
                _ => None,
            },
            Kind::InSet(a, Const::TextSet(set)) => {
                Some((a, Tested::One(set.iter().cloned().collect())))
            }
            Kind::Call(Func::StartsWith, args) => Some((
                &args[0],
                Tested::Begin(vec![args.get(1)?.as_text()?.clone()]),
            )),
            Kind::BeginsWithAny(a, all) => Some((a, Tested::Begin(all.clone()))),
            _ => None,
        }
    }
}

/// What a place is tested for.
enum Tested {
    One(Vec<Arc<str>>),
    Begin(Vec<Arc<str>>),
}

impl Tested {
    /// Takes in more of the same kind; false: it is of the other.
    fn take(&mut self, more: Tested) -> bool {
        match (self, more) {
            (Tested::One(texts), Tested::One(more))
            | (Tested::Begin(texts), Tested::Begin(more)) => {
                texts.extend(more);
                true
            }
            _ => false,
        }
    }
}
