//! Parses YAML and JSON into values with their locations. The size, nesting depth and expanded
//! anchors of a file are bounded.

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};
use serde_saphyr::Spanned;
use std::fmt;

/// Maximum nesting depth of a file, well above that of real inventories.
const MAX_DEPTH: usize = 32;
/// Maximum number of values of a file, expanded anchors included; bounds the memory that a small
/// file can require.
const MAX_NODES: usize = 1_500_000;
/// Maximum length of a parser message, in characters: about one line of text.
const MAX_PROBLEM_CHARS: usize = 160;

/// A value of a YAML or JSON file.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum YamlValue {
    Null,
    /// A scalar in its text form.
    Scalar(String),
    List(Vec<LocatedValue>),
    Map(Vec<(String, LocatedValue)>),
}

/// A value with the line and column at which it begins, from 1.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LocatedValue {
    pub(crate) line: u64,
    pub(crate) column: u64,
    pub(crate) value: YamlValue,
}

impl LocatedValue {
    pub(crate) fn get(&self, key: &str) -> Option<&LocatedValue> {
        match &self.value {
            YamlValue::Map(entries) => entries
                .iter()
                .find(|(name, _)| name == key)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub(crate) fn scalar(&self) -> Option<&str> {
        match &self.value {
            YamlValue::Scalar(text) => Some(text),
            _ => None,
        }
    }
}

impl<'de> Deserialize<'de> for YamlValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<YamlValue, D::Error> {
        deserializer.deserialize_any(ValueVisitor)
    }
}

/// Builds a [`YamlValue`] from the events of the parser.
struct ValueVisitor;

impl<'de> Visitor<'de> for ValueVisitor {
    type Value = YamlValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a value")
    }

    fn visit_unit<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_none<E>(self) -> Result<YamlValue, E> {
        Ok(YamlValue::Null)
    }

    fn visit_some<D: Deserializer<'de>>(self, deserializer: D) -> Result<YamlValue, D::Error> {
        YamlValue::deserialize(deserializer)
    }

    fn visit_bool<E>(self, v: bool) -> Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.to_string()))
    }

    fn visit_i64<E>(self, v: i64) -> Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.to_string()))
    }

    fn visit_u64<E>(self, v: u64) -> Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.to_string()))
    }

    fn visit_f64<E>(self, v: f64) -> Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.to_string()))
    }

    fn visit_str<E>(self, v: &str) -> Result<YamlValue, E> {
        Ok(YamlValue::Scalar(v.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<YamlValue, A::Error> {
        let mut list = Vec::new();
        while let Some(item) = seq.next_element::<Spanned<YamlValue>>()? {
            list.push(locate(item));
        }
        Ok(YamlValue::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<YamlValue, A::Error> {
        let mut entries = Vec::new();
        while let Some((name, item)) = map.next_entry::<String, Spanned<YamlValue>>()? {
            entries.push((name, locate(item)));
        }
        Ok(YamlValue::Map(entries))
    }
}

fn locate(item: Spanned<YamlValue>) -> LocatedValue {
    LocatedValue {
        line: item.referenced.line(),
        column: item.referenced.column(),
        value: item.value,
    }
}

/// A syntax error with its location.
pub(crate) struct YamlError {
    pub(crate) line: u64,
    pub(crate) column: u64,
    pub(crate) problem: String,
}

/// Parses a text as YAML or JSON.
pub(crate) fn parse(text: &str) -> Result<LocatedValue, YamlError> {
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_depth: MAX_DEPTH,
            flow_nesting_limit: MAX_DEPTH,
            max_nodes: MAX_NODES,
            max_events: 2 * MAX_NODES,
        },
    };
    let read: Result<Spanned<YamlValue>, _> = serde_saphyr::from_str_with_options(text, options);
    read.map(locate).map_err(|error| {
        let location = error.location();
        let (line, column) = location.map_or((0, 0), |at| (at.line(), at.column()));
        YamlError {
            line,
            column,
            problem: first_line(&error.to_string()),
        }
    })
}

fn first_line(text: &str) -> String {
    let line = text.lines().next().unwrap_or("this is not YAML");
    line.chars().take(MAX_PROBLEM_CHARS).collect()
}
