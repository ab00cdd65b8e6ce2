//! Reads and checks one rule: its name, its test, its pool, limit, notes and refusal.

use crate::environment::Environment;
use crate::limit::Allowance;
use crate::mapping::Matched;
use crate::names;
use crate::pool::{nearest_pool, time, ANY};
use crate::reader::{Text, Values};
use crate::rule::{CheckedRule, LimitSpec, PartName, Parts};
use driftgap_expr::{Expression, Facts, Outcome, Schema, Type};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use toml::de::{DeTable, DeValue};

/// Keys of a rule.
const KEYS: [&str; 16] = [
    "name", "when", "class", "plan", "partner", "units", "id", "deadline", "spread", "first",
    "terms", "pool", "limit", "notes", "nack", "go_on",
];
/// Keys that make a rule do something.
const ACTIONS: [&str; 5] = ["class", "pool", "limit", "notes", "nack"];
/// Most notes, and most terms, of one rule.
const MAX_NOTES: usize = 8;
/// Longest name of a note.
const MAX_NOTE_NAME: usize = 32;
/// Keys that a limit remembers unless the file says otherwise.
const DEFAULT_KEYS: f64 = 16_384.0;
/// When a client is to come back to an at-once limit unless the file says otherwise, ms.
const DEFAULT_LIMIT_AWAY: f64 = 250.0;

/// The fields of one rule.
pub(crate) struct RuleFields<'v, 'd> {
    pub(crate) table: &'v DeTable<'d>,
    /// Where faults about the rule as a whole are told.
    pub(crate) span: Range<usize>,
}

/// A rule as far as it could be read.
pub(crate) struct ReadRule {
    /// Its name, where it has a usable one, even if something else is wrong.
    pub(crate) name: Option<Text>,
    pub(crate) checked: Option<CheckedRule>,
}

/// Reads one rule.
pub(crate) struct RuleReader<'a, 'r, 't> {
    pub(crate) values: &'a mut Values<'r, 't>,
    pub(crate) environment: &'a Environment,
    pub(crate) schema: &'a Schema,
    /// Whether a rule of this name stands further up.
    pub(crate) is_named: &'a dyn Fn(&str) -> bool,
}

impl RuleReader<'_, '_, '_> {
    /// Reads a rule and notes every fault of it.
    pub(crate) fn read(&mut self, fields: &RuleFields<'_, '_>) -> ReadRule {
        self.values.known_keys(fields.table, &KEYS);
        let name = names::name(self.values, fields.table, fields.span.clone());
        if let Some(name) = name.as_ref().filter(|name| (self.is_named)(&name.text)) {
            refuse_second(self.values, name);
        }
        let when = self.when(fields.table);
        let facts = when
            .as_ref()
            .and_then(|when| when.when_true().cloned())
            .unwrap_or_default();
        let matched = Matched {
            facts: &facts,
            certain: when.is_some(),
        };
        let mapping = self.mapping(fields, &matched);
        let pool = self.pool(fields.table, &facts);
        let limit = self.limit(fields.table, &facts);
        let notes = self.named(fields.table, "notes", &facts, is_note);
        let nack = self
            .part(fields.table, "nack", &facts, &Type::Duration)
            .map(|(nack, _)| nack);
        let goes_on = self.goes_on(fields.table);
        let acts = ACTIONS.iter().any(|key| fields.table.contains_key(*key));
        if !acts && goes_on {
            let help = Some("class, pool, limit, notes or nack was expected".into());
            self.values
                .fault(fields.span.clone(), "the rule does nothing", help);
        }
        let (limit_key, limit) = limit.unzip();
        // In the order in which they are evaluated.
        let mut parts = Parts::new();
        parts.extend(nack.map(|nack| (PartName::Reject, nack)));
        parts.extend(pool.map(|pool| (PartName::Pool, pool)));
        parts.extend(
            notes
                .into_iter()
                .map(|(name, note)| (PartName::Note(name), note)),
        );
        parts.extend(mapping);
        parts.extend(limit_key.map(|key| (PartName::LimitKey, key)));
        let checked = match (&name, when) {
            (Some(name), Some(when)) => {
                let name = name.text.clone();
                Some(CheckedRule {
                    name,
                    when,
                    parts,
                    limit,
                    goes_on,
                })
            }
            _ => None,
        };
        ReadRule { name, checked }
    }

    /// The test; none: it is wrong, and the other parts are read knowing nothing.
    fn when(&mut self, table: &DeTable<'_>) -> Option<Expression> {
        if !table.contains_key("when") {
            return Expression::new("true", self.schema).ok();
        }
        let (when, text) = self.part(table, "when", &Facts::default(), &Type::Bool)?;
        if when.when_true().is_none() {
            let error = when.fault(
                0..when.text().len(),
                "this is never true",
                "the rule has no effect",
            );
            self.values.expression_fault(&text, &error);
        }
        Some(when)
    }

    /// An expression by its key, if there is one.
    pub(crate) fn part(
        &mut self,
        table: &DeTable<'_>,
        key: &str,
        facts: &Facts,
        want: &Type,
    ) -> Option<(Expression, Text)> {
        let text = table.get(key).and_then(|value| self.values.string(value))?;
        let expression = self.values.expression(&text, self.schema, facts, want)?;
        Some((expression, text))
    }

    /// A table of expressions by names that `fits` allows.
    pub(crate) fn named(
        &mut self,
        table: &DeTable<'_>,
        key: &str,
        facts: &Facts,
        fits: impl Fn(&str) -> bool,
    ) -> BTreeMap<Arc<str>, Expression> {
        let mut found = BTreeMap::new();
        let Some(value) = table.get(key) else {
            return found;
        };
        let Some(table) = self.values.table(value) else {
            return found;
        };
        if table.len() > MAX_NOTES {
            self.values
                .fault(value.span(), format!("more than {MAX_NOTES} {key}"), None);
        }
        for (name, value) in table.iter().take(MAX_NOTES) {
            let text: &str = name.get_ref();
            if text.is_empty() || !fits(text) {
                self.values.fault(
                    name.span(),
                    format!("the name cannot stand in `{key}`"),
                    None,
                );
                continue;
            }
            let Some(part) = self.values.string(value) else {
                continue;
            };
            let expression = self
                .values
                .expression(&part, self.schema, facts, &Type::Text);
            found.extend(expression.map(|expression| (text.into(), expression)));
        }
        found
    }

    fn pool(&mut self, table: &DeTable<'_>, facts: &Facts) -> Option<Expression> {
        let (pool, text) = self.part(table, "pool", facts, &Type::Text)?;
        let Some(ways) = pool.ways() else {
            let problem = "the pool has too many ways to tell apart";
            let error = pool.fault(0..pool.text().len(), problem, "fewer branches");
            self.values.expression_fault(&text, &error);
            return None;
        };
        let pools = &self.environment.pools;
        for way in ways {
            let (problem, help) = match &way.outcome {
                Outcome::Text(name) if name == ANY || pools.contains(name) => continue,
                Outcome::Text(name) => (
                    format!("there is no pool {name:?}"),
                    nearest_pool(name, pools),
                ),
                _ => (
                    "this pool is not known before use".to_string(),
                    "a pool is written out on every branch".to_string(),
                ),
            };
            let error = pool.fault(way.span.clone(), problem, help);
            self.values.expression_fault(&text, &error);
        }
        Some(pool)
    }

    /// A limit: its key, and what it allows.
    fn limit(&mut self, table: &DeTable<'_>, facts: &Facts) -> Option<(Expression, LimitSpec)> {
        let value = table.get("limit")?;
        let span = value.span();
        let limit = self.values.table(value)?;
        self.values
            .known_keys(limit, &["key", "rate", "burst", "at_once", "after", "keys"]);
        if limit.get("key").is_none() {
            let help = "key = '\"all\"' is one for all requests";
            self.values
                .fault(span.clone(), "a limit needs `key`", Some(help.into()));
        }
        let key = self.part(limit, "key", facts, &Type::Text);
        let mut number = |name: &str, min: f64, max: f64| {
            limit
                .get(name)
                .map(|value| self.values.number(value, min..=max))
        };
        let (rate, burst) = (number("rate", 0.001, 1e6), number("burst", 1.0, 1e6));
        let (at_once, keys) = (number("at_once", 1.0, 1e6), number("keys", 8.0, 1e6));
        let allowance = match (rate, burst, at_once) {
            (Some(rate), burst, None) => {
                let rate = rate?;
                Allowance::Rate {
                    rate,
                    burst: burst.unwrap_or(Some(rate.max(1.0)))?,
                }
            }
            (None, None, Some(max)) => {
                let retry_after_ms = time(self.values, limit, "after", DEFAULT_LIMIT_AWAY);
                Allowance::AtOnce {
                    max: max? as u32,
                    retry_after_ms,
                }
            }
            _ => {
                let help =
                    Some("`rate` with `burst`, or `at_once` with `after`, was expected".into());
                self.values.fault(span, "the limit is not whole", help);
                return None;
            }
        };
        let (key, text) = key?;
        let keys = keys.unwrap_or(Some(DEFAULT_KEYS))? as usize;
        Some((
            key,
            LimitSpec {
                key: text.text.into(),
                allowance,
                keys,
            },
        ))
    }

    fn goes_on(&mut self, table: &DeTable<'_>) -> bool {
        match table
            .get("go_on")
            .map(|value| (value.get_ref(), value.span()))
        {
            None => false,
            Some((DeValue::Boolean(goes_on), _)) => *goes_on,
            Some((_, span)) => {
                self.values.fault(span, "`go_on` is true or false", None);
                false
            }
        }
    }
}

/// Refuses a second rule of one name.
pub(crate) fn refuse_second(values: &mut Values<'_, '_>, name: &Text) {
    values.fault(
        name.span.clone(),
        format!("there is a rule {:?} already", name.text),
        None,
    );
}

fn is_note(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    name.bytes().all(plain) && name.len() <= MAX_NOTE_NAME
}
