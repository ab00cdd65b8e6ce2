//! Constants: the literal values of an expression and the data that the machine needs besides them,
//! such as compiled patterns. They are small, cheap to clone and compared by content, so that
//! compiled expressions can share them.

use crate::limits::MAX_REGEX;
use crate::schema::{Bound, Type, Value};
use crate::text_index::PrefixIndex;
use ipnet::IpNet;
use rapidhash::{RapidHashMap, RapidHashSet};
use regex::{Regex, RegexBuilder};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::mem::{discriminant, size_of};
use std::net::IpAddr;
use std::sync::Arc;

/// Bytes of the two reference counters at the start of an `Arc` allocation.
pub(crate) const ARC_HEADER: usize = 2 * size_of::<usize>();

/// A constant value of an expression.
#[derive(Clone, Debug)]
pub(crate) enum Const {
    Bool(bool),
    Int(i64),
    Double(f64),
    Text(Arc<str>),
    Duration(i64),
    Ip(IpAddr),
    List(Arc<ConstList>),
    Map(Arc<ConstMap>),
    TextSet(Arc<RapidHashSet<Arc<str>>>),
    IntSet(Arc<RapidHashSet<i64>>),
}

/// An ordered list of constants of one type.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ConstList {
    /// The type of the items.
    pub(crate) of: Type,
    pub(crate) items: Vec<Const>,
}

/// A map from texts to constants of one type.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ConstMap {
    /// The type of the values.
    pub(crate) of: Type,
    pub(crate) entries: RapidHashMap<Arc<str>, Const>,
}

impl Const {
    /// A set of texts, for look-ups.
    pub(crate) fn texts(all: Vec<Arc<str>>) -> Const {
        Const::TextSet(Arc::new(all.into_iter().collect()))
    }

    pub(crate) fn ty(&self) -> Type {
        match self {
            Const::Bool(_) => Type::Bool,
            Const::Int(_) => Type::Int,
            Const::Double(_) => Type::Double,
            Const::Text(_) => Type::Text,
            Const::Duration(_) => Type::Duration,
            Const::Ip(_) => Type::Ip,
            Const::List(list) => Type::List(list.of.clone().into()),
            Const::Map(map) => Type::Map(map.of.clone().into()),
            Const::TextSet(_) => Type::List(Type::Text.into()),
            Const::IntSet(_) => Type::List(Type::Int.into()),
        }
    }

    pub(crate) fn bound(&self) -> Bound {
        let longest = |items: &mut dyn Iterator<Item = &Const>| {
            items.map(|c| c.bound().bytes).max().unwrap_or(0)
        };
        match self {
            Const::Text(text) => Bound::new(text.len() as u32, 0),
            Const::List(list) => {
                Bound::new(longest(&mut list.items.iter()), list.items.len() as u32)
            }
            Const::Map(map) => {
                Bound::new(longest(&mut map.entries.values()), map.entries.len() as u32)
            }
            _ => Bound::default(),
        }
    }

    /// The constant as a value, unless it is a list, a map or a set.
    pub(crate) fn value(&self) -> Option<Value<'_>> {
        Some(match self {
            Const::Bool(v) => Value::Bool(*v),
            Const::Int(v) => Value::Int(*v),
            Const::Double(v) => Value::Double(*v),
            Const::Text(v) => Value::Text(v),
            Const::Duration(v) => Value::Duration(*v),
            Const::Ip(v) => Value::Ip(*v),
            _ => return None,
        })
    }

    /// The items, if this is a list of texts.
    pub(crate) fn text_items(&self) -> Option<Vec<Arc<str>>> {
        let Const::List(list) = self else { return None };
        let text = |item: &Const| {
            if let Const::Text(text) = item {
                Some(text.clone())
            } else {
                None
            }
        };
        (list.of == Type::Text).then(|| list.items.iter().filter_map(text).collect())
    }

    /// The items, if this is a list of integers.
    pub(crate) fn int_items(&self) -> Option<Vec<i64>> {
        let Const::List(list) = self else { return None };
        let int = |item: &Const| {
            if let Const::Int(int) = item {
                Some(*int)
            } else {
                None
            }
        };
        (list.of == Type::Int).then(|| list.items.iter().filter_map(int).collect())
    }
}

/// Doubles are compared by their bits: 0.0 and -0.0 differ when they are converted to text.
impl PartialEq for Const {
    fn eq(&self, other: &Const) -> bool {
        match (self, other) {
            (Const::Bool(a), Const::Bool(b)) => a == b,
            (Const::Int(a), Const::Int(b)) | (Const::Duration(a), Const::Duration(b)) => a == b,
            (Const::Double(a), Const::Double(b)) => a.to_bits() == b.to_bits(),
            (Const::Text(a), Const::Text(b)) => a == b,
            (Const::Ip(a), Const::Ip(b)) => a == b,
            (Const::List(a), Const::List(b)) => a == b,
            (Const::Map(a), Const::Map(b)) => a == b,
            (Const::TextSet(a), Const::TextSet(b)) => a == b,
            (Const::IntSet(a), Const::IntSet(b)) => a == b,
            _ => false,
        }
    }
}

impl Eq for Const {}

impl Hash for Const {
    fn hash<H: Hasher>(&self, state: &mut H) {
        discriminant(self).hash(state);
        match self {
            Const::Bool(v) => v.hash(state),
            Const::Int(v) | Const::Duration(v) => v.hash(state),
            Const::Double(v) => v.to_bits().hash(state),
            Const::Text(v) => v.hash(state),
            Const::Ip(v) => v.hash(state),
            Const::List(list) => list.items.hash(state),
            Const::Map(map) => unordered_hash(map.entries.iter()).hash(state),
            Const::TextSet(set) => unordered_hash(set.iter()).hash(state),
            Const::IntSet(set) => unordered_hash(set.iter()).hash(state),
        }
    }
}

/// A hash that does not depend on the order of the items.
fn unordered_hash(items: impl Iterator<Item: Hash>) -> u64 {
    let hash = |item| {
        let mut hasher = DefaultHasher::new();
        Hash::hash(&item, &mut hasher);
        hasher.finish()
    };
    items.map(hash).fold(0, u64::wrapping_add)
}

/// A constant that instructions refer to by index.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Operand {
    Value(Const),
    Pattern(Arc<Pattern>),
    Networks(Arc<[IpNet]>),
    Prefixes(Arc<PrefixIndex>),
}

impl Operand {
    /// Estimated heap bytes that the operand refers to.
    pub(crate) fn heap_bytes(&self) -> usize {
        let bytes = match self {
            Operand::Value(value) => return value.heap_bytes(),
            Operand::Pattern(pattern) => size_of::<Pattern>() + pattern.text.len(),
            Operand::Networks(networks) => size_of::<IpNet>() * networks.len(),
            Operand::Prefixes(prefixes) => size_of::<PrefixIndex>() + prefixes.heap_bytes(),
        };
        ARC_HEADER + bytes
    }

    /// Whether the operand is the only reference to its heap data.
    pub(crate) fn is_unshared(&self) -> bool {
        let holders = match self {
            Operand::Value(Const::Text(text)) => Arc::strong_count(text),
            Operand::Value(Const::List(list)) => Arc::strong_count(list),
            Operand::Value(Const::Map(map)) => Arc::strong_count(map),
            Operand::Value(Const::TextSet(set)) => Arc::strong_count(set),
            Operand::Value(Const::IntSet(set)) => Arc::strong_count(set),
            Operand::Value(_) => return false,
            Operand::Pattern(pattern) => Arc::strong_count(pattern),
            Operand::Networks(networks) => Arc::strong_count(networks),
            Operand::Prefixes(prefixes) => Arc::strong_count(prefixes),
        };
        holders == 1
    }

    /// Whether the operand refers to heap data that is more than one text.
    pub(crate) fn is_large(&self) -> bool {
        match self {
            Operand::Value(value) => {
                matches!(
                    value,
                    Const::List(_) | Const::Map(_) | Const::TextSet(_) | Const::IntSet(_)
                )
            }
            Operand::Pattern(_) | Operand::Networks(_) | Operand::Prefixes(_) => true,
        }
    }
}

impl Const {
    /// Estimated heap bytes, as in [`Operand::heap_bytes`].
    fn heap_bytes(&self) -> usize {
        let bytes = match self {
            Const::Text(text) => text.len(),
            Const::List(list) => {
                size_of::<ConstList>() + size_of::<Const>() * list.items.capacity()
            }
            Const::Map(map) => {
                size_of::<ConstMap>() + size_of::<(Arc<str>, Const)>() * map.entries.capacity()
            }
            Const::TextSet(set) => size_of::<Arc<str>>() * set.capacity(),
            Const::IntSet(set) => size_of::<i64>() * set.capacity(),
            Const::Bool(_)
            | Const::Int(_)
            | Const::Double(_)
            | Const::Duration(_)
            | Const::Ip(_) => return 0,
        };
        ARC_HEADER + bytes
    }
}

/// A compiled regular expression. Two patterns are equal if their texts are.
#[derive(Debug)]
pub(crate) struct Pattern {
    text: Arc<str>,
    regex: Regex,
}

impl Pattern {
    /// Compiles a pattern within the language's limits.
    ///
    /// # Errors
    /// The pattern is invalid, or its compiled form takes too much memory.
    pub(crate) fn new(text: &Arc<str>) -> Result<Pattern, regex::Error> {
        let regex = RegexBuilder::new(text)
            .size_limit(MAX_REGEX)
            .dfa_size_limit(MAX_REGEX)
            .nest_limit(24)
            .build()?;
        Ok(Pattern {
            text: text.clone(),
            regex,
        })
    }

    /// Length of the pattern's text in bytes.
    pub(crate) fn length(&self) -> u64 {
        self.text.len() as u64
    }

    pub(crate) fn is_match(&self, text: &str) -> bool {
        self.regex.is_match(text)
    }
}

impl PartialEq for Pattern {
    fn eq(&self, other: &Pattern) -> bool {
        self.text == other.text
    }
}

impl Eq for Pattern {}

impl Hash for Pattern {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}
