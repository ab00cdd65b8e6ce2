//! YAML and JSON as a tree that knows where each value stands. It owns the bounds on files of either form:
//! length, nodes, depth, anchors and what they unfold to. It must never unfold more than those bounds.

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::fmt;

/// Deepest nesting of a file.
const MAX_DEPTH: usize = 32;
/// Most values of a file, with all that anchors unfold to.
const MAX_NODES: usize = 1_500_000;

/// A value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Tree {
    Null,
    /// A scalar as a text.
    Scalar(String),
    List(Vec<At>),
    Map(Vec<(String, At)>),
}

/// A value and its place.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct At {
    pub(crate) line: u64,
    pub(crate) column: u64,
    pub(crate) tree: Tree,
}

impl At {
    pub(crate) fn get(&self, key: &str) -> Option<&At> {
        match &self.tree {
            Tree::Map(entries) => entries
                .iter()
                .find(|(name, _)| name == key)
                .map(|(_, at)| at),
            _ => None,
        }
    }

    pub(crate) fn scalar(&self) -> Option<&str> {
        match &self.tree {
            Tree::Scalar(text) => Some(text),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for Tree {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Tree, D::Error> {
        deserializer.deserialize_any(Build)
    }
}

struct Build;

impl<'de> Visitor<'de> for Build {
    type Value = Tree;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_none<E>(self) -> Result<Tree, E> {
        Ok(Tree::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<Tree, D::Error> {
        Tree::deserialize(deserializer)
    }

    fn visit_bool<E>(self, v: bool) -> Result<Tree, E> {
        Ok(Tree::Scalar(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<Tree, E> {
        Ok(Tree::Scalar(v.to_string()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<Tree, E> {
        Ok(Tree::Scalar(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<Tree, E> {
        Ok(Tree::Scalar(v.to_string()))
    }

    fn visit_str<E>(self, v: &str) -> Result<Tree, E> {
        Ok(Tree::Scalar(v.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Tree, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<Tree>>()? {
            list.push(at(item));
        }
        Ok(Tree::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Tree, A::Error> {
        let mut entries = Vec::new();
        while let Some((name, item)) = map.next_entry::<String, Spanned<Tree>>()? {
            entries.push((name, at(item)));
        }
        Ok(Tree::Map(entries))
    }
}

fn at(item: Spanned<Tree>) -> At {
    At {
        line: item.referenced.line(),
        column: item.referenced.column(),
        tree: item.value,
    }
}

/// A text that is no YAML, and where.
pub(crate) struct NotYaml {
    pub(crate) line: u64,
    pub(crate) column: u64,
    pub(crate) problem: String,
}

/// Reads a text of YAML or JSON.
pub(crate) fn parse(text: &str) -> Result<At, NotYaml> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            flow_nesting_limit: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_events: 2 * MAX_NODES,
        },
    };
    let read: Result<Spanned<Tree>, _> = serde_saphyr::from_str_with_options(text, options);
    read.map(at).map_err(|e| {
        let (line, column) = e.location().map_or((0, 0), |at| (at.line(), at.column()));
        let told = e.to_string();
        let problem = told
            .lines()
            .next()
            .unwrap_or("this is no YAML")
            .chars()
            .take(160)
            .collect();
        NotYaml {
            line,
            column,
            problem,
        }
    })
}
