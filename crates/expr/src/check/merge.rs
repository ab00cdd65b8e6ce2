//! Merges neighbouring tests of one path: equalities become one set look-up, prefix tests one
//! prefix index.

use super::Checker;
use crate::ast::Binary;
use crate::constant::Const;
use crate::node::{Func, Kind, Node};
use crate::schema::{Bound, Type};
use std::sync::Arc;

impl Checker<'_> {
    /// Merges neighbouring operands of `||` that test the same path.
    pub(super) fn merged(&self, nodes: Vec<Node>) -> Vec<Node> {
        let mut merged: Vec<Node> = Vec::new();
        let mut run: Option<(Node, TextTest)> = None;
        for node in nodes {
            if let Some((first, text_test)) = &mut run {
                let of = self.text_test(first).map(|(of, _)| of);
                if let (Some(of), Some((other, more))) = (of, self.text_test(&node)) {
                    if self.same_path(of, other) && text_test.extend(more) {
                        first.span.end = node.span.end;
                        continue;
                    }
                }
            }
            merged.extend(run.take().map(|run| self.merged_node(run)));
            match self.text_test(&node) {
                Some((_, text_test)) => run = Some((node, text_test)),
                None => merged.push(node),
            }
        }
        merged.extend(run.map(|run| self.merged_node(run)));
        merged
    }

    /// Builds one node from a run of tests.
    fn merged_node(&self, (first, text_test): (Node, TextTest)) -> Node {
        let Some((of, _)) = self.text_test(&first) else {
            return first;
        };
        let kind = match text_test {
            TextTest::EqualsAny(texts) if texts.len() > 1 => {
                Kind::InSet(of.clone().into(), Const::texts(texts))
            }
            TextTest::StartsWithAny(texts) if texts.len() > 1 => {
                Kind::BeginsWithAny(of.clone().into(), texts)
            }
            _ => return first,
        };
        Node::new(kind, Type::Bool, Bound::default(), first.span)
    }

    fn same_path(&self, a: &Node, b: &Node) -> bool {
        self.path(a).is_some_and(|path| Some(path) == self.path(b))
    }

    fn text_test<'n>(&self, node: &'n Node) -> Option<(&'n Node, TextTest)> {
        match &node.kind {
            Kind::Binary(Binary::Equal, a, b) => match (a.as_text(), b.as_text()) {
                (None, Some(text)) => Some((a, TextTest::EqualsAny(vec![text.clone()]))),
                (Some(text), None) => Some((b, TextTest::EqualsAny(vec![text.clone()]))),
                _ => None,
            },
            Kind::InSet(a, Const::TextSet(set)) => {
                Some((a, TextTest::EqualsAny(set.iter().cloned().collect())))
            }
            Kind::Call(Func::StartsWith, args) => Some((
                &args[0],
                TextTest::StartsWithAny(vec![args.get(1)?.as_text()?.clone()]),
            )),
            Kind::BeginsWithAny(a, all) => Some((a, TextTest::StartsWithAny(all.clone()))),
            _ => None,
        }
    }
}

/// Texts that a value is compared with.
enum TextTest {
    EqualsAny(Vec<Arc<str>>),
    StartsWithAny(Vec<Arc<str>>),
}

impl TextTest {
    /// Adds the texts of another test of the same kind; returns false if the kinds differ.
    fn extend(&mut self, more: TextTest) -> bool {
        match (self, more) {
            (TextTest::EqualsAny(texts), TextTest::EqualsAny(more))
            | (TextTest::StartsWithAny(texts), TextTest::StartsWithAny(more)) => {
                texts.extend(more);
                true
            }
            _ => false,
        }
    }
}
