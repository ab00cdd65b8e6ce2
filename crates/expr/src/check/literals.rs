//! Lists, maps and durations that are written out in an expression. Lists and maps contain
//! constants only, so that their look-up tables are built once.

use super::messages::mismatch;
use super::{CheckResult, Checker};
use crate::ast::Tree;
use crate::constant::{Const, ConstList, ConstMap};
use crate::error::Error;
use crate::facts::Facts;
use crate::lex::abbreviated;
use crate::node::Node;
use crate::schema::Type;
use rapidhash::RapidHashMap;
use std::ops::Range;

/// Longest duration, ms (about 100 years).
const MAX_DURATION_MS: f64 = 3.2e12;
/// Maximum length of a duration's text, bytes.
const MAX_DURATION_TEXT: usize = 32;
/// Units of a duration in ms. `ms` precedes `m`, since the first unit that matches is used.
const DURATION_UNITS: [(&str, f64); 4] = [("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)];

impl Checker<'_> {
    /// A list of constants.
    pub(super) fn list(
        &mut self,
        parts: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let items = parts
            .iter()
            .map(|part| self.check(part, facts))
            .collect::<CheckResult<Vec<Node>>>()?;
        constant_list(items, span)
    }

    /// A map from texts to constants.
    pub(super) fn map(
        &mut self,
        pairs: &[(Tree, Tree)],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let mut map = RapidHashMap::default();
        let mut ty: Option<Type> = None;
        for (key, value) in pairs {
            let (key, value) = (self.check(key, facts)?, self.check(value, facts)?);
            let Some(text) = key.as_text().cloned() else {
                return Err(Error::new(key.span, "a map key must be a constant string"));
            };
            let Some(constant) = value.as_const().cloned() else {
                return Err(Error::new(value.span, "a map may contain constants only"));
            };
            match &ty {
                Some(ty) if *ty != value.ty => {
                    return Err(mismatch(&value.span, &ty.to_string(), &value))
                }
                Some(_) => {}
                None if !matches!(value.ty, Type::List(_) | Type::Map(_)) => {
                    ty = Some(value.ty.clone())
                }
                None => return Err(Error::new(value.span, "a map cannot contain lists or maps")),
            }
            if map.insert(text.clone(), constant).is_some() {
                return Err(Error::new(
                    key.span,
                    format!("duplicate key {:?}", abbreviated(&text)),
                ));
            }
        }
        let map = ConstMap {
            of: ty.unwrap_or(Type::Text),
            entries: map,
        };
        Ok(Node::constant(Const::Map(map.into()), span))
    }
}

/// Builds a list whose items must be constants of one type.
pub(super) fn constant_list(items: Vec<Node>, span: Range<usize>) -> CheckResult<Node> {
    let mut values = Vec::with_capacity(items.len());
    let mut ty: Option<Type> = None;
    for node in items {
        let Some(value) = node.as_const().cloned() else {
            return Err(Error::new(node.span, "a list may contain constants only")
                .help("only a list that directly follows `in` may contain other values"));
        };
        match &ty {
            Some(ty) if *ty != node.ty => return Err(mismatch(&node.span, &ty.to_string(), &node)),
            Some(_) => {}
            None if !matches!(node.ty, Type::List(_) | Type::Map(_)) => ty = Some(node.ty),
            None => return Err(Error::new(node.span, "a list cannot contain lists or maps")),
        }
        values.push(value);
    }
    let list = ConstList {
        of: ty.unwrap_or(Type::Text),
        items: values,
    };
    Ok(Node::constant(Const::List(list.into()), span))
}

/// Parses a duration such as `1h30m`, `1.5s` or `250ms` to whole ms; a leading minus sign is
/// allowed.
pub(super) fn duration(text: &str) -> Option<i64> {
    let (sign, mut rest) = match text.strip_prefix('-') {
        Some(rest) => (-1.0, rest),
        None => (1.0, text),
    };
    if rest.is_empty() || rest.len() > MAX_DURATION_TEXT {
        return None;
    }
    let mut ms = 0.0;
    while !rest.is_empty() {
        let digits = rest.find(|c: char| !c.is_ascii_digit() && c != '.')?;
        let number: f64 = rest[..digits].parse().ok()?;
        rest = &rest[digits..];
        let (unit, factor) = DURATION_UNITS
            .into_iter()
            .find(|(unit, _)| rest.starts_with(unit))?;
        ms += number * factor;
        rest = &rest[unit.len()..];
    }
    (ms <= MAX_DURATION_MS).then_some((sign * ms).round() as i64)
}
