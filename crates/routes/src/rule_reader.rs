//! Reads and checks one rule: its name, its test, and its actions for a request that matches.

use crate::environment::Environment;
use crate::expression_reader::{ExpressionReader, MatchedRequest, RuleFields};
use crate::limit::Allowance;
use crate::mapped_request::MappedRequestReader;
use crate::names;
use crate::pool::{nearest_pool, retry_after_ms, ANY};
use crate::reader::{Text, Values};
use crate::rule::{ActionKind, Actions, CheckedRule, LimitSpec};
use driftgap_expr::{Expression, Facts, Outcome, Schema, Type};
use toml::de::{DeTable, DeValue};

/// Known keys of a rule.
const KEYS: [&str; 16] = [
    "name", "when", "class", "plan", "partner", "units", "id", "deadline", "spread", "first",
    "terms", "pool", "limit", "notes", "nack", "go_on",
];
/// Keys that give a rule an effect.
const ACTION_KEYS: [&str; 5] = ["class", "pool", "limit", "notes", "nack"];
/// Known keys of a limit.
const LIMIT_KEYS: [&str; 6] = ["key", "rate", "burst", "at_once", "after", "keys"];
/// Maximum length of a note's name, in bytes.
const MAX_NOTE_NAME: usize = 32;
/// Minimum rate of a limit, in requests per second: one request in about 17 minutes.
const MIN_RATE: f64 = 0.001;
/// Maximum rate, burst, concurrency and number of keys of a limit.
const MAX_LIMIT: f64 = 1e6;
/// Minimum number of keys of a limit: one set of its table.
const MIN_KEYS: f64 = 8.0;
/// Default number of keys of a limit.
const DEFAULT_KEYS: f64 = 16_384.0;
/// Default Retry-After of a concurrency limit, in ms.
const DEFAULT_LIMIT_RETRY_AFTER_MS: f64 = 250.0;

/// A rule after reading, which may be faulty.
pub(crate) struct ReadRule {
    /// The name, if it is valid, even if the rule has other faults.
    pub(crate) name: Option<Text>,
    pub(crate) checked: Option<CheckedRule>,
}

/// Reads one rule.
pub(crate) struct RuleReader<'a, 'r, 't> {
    expressions: ExpressionReader<'a, 'r, 't>,
    /// Returns whether an earlier rule of the file has the given name.
    is_used: &'a dyn Fn(&str) -> bool,
}

impl<'a, 'r, 't> RuleReader<'a, 'r, 't> {
    /// Creates a reader for one rule; `is_used` returns whether an earlier rule of the file has the
    /// given name.
    pub(crate) fn new(
        values: &'a mut Values<'r, 't>,
        environment: &'a Environment,
        schema: &'a Schema,
        is_used: &'a dyn Fn(&str) -> bool,
    ) -> Self {
        let expressions = ExpressionReader {
            values,
            environment,
            schema,
        };
        RuleReader {
            expressions,
            is_used,
        }
    }

    /// Reads a rule and reports each of its faults.
    pub(crate) fn read(&mut self, rule: &RuleFields<'_, '_>) -> ReadRule {
        let name = self.name(rule);
        let when = self.when(rule.table);
        let facts = when
            .as_ref()
            .and_then(|when| when.when_true().cloned())
            .unwrap_or_default();
        let matched = MatchedRequest {
            facts: &facts,
            test_is_valid: when.is_some(),
        };
        let (actions, limit) = self.actions(rule, &matched);
        let continues = self.continues(rule.table);
        self.refuse_without_action(rule, continues);
        let checked = name.as_ref().zip(when).map(|(name, when)| CheckedRule {
            name: name.text.clone(),
            when,
            actions,
            limit,
            continues,
        });
        ReadRule { name, checked }
    }

    /// Reads the rule's name; returns `None` if it is invalid.
    fn name(&mut self, rule: &RuleFields<'_, '_>) -> Option<Text> {
        let values = &mut *self.expressions.values;
        values.known_keys(rule.table, &KEYS);
        let name = names::name(values, rule.table, rule.span.clone())?;
        if (self.is_used)(&name.text) {
            report_duplicate_name(values, &name);
        }
        Some(name)
    }

    /// Reads the actions of the rule, in the order of evaluation, and its limit.
    fn actions(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
    ) -> (Actions, Option<LimitSpec>) {
        let mapped = MappedRequestReader::new(&mut self.expressions).read(rule, matched);
        let pool = self.pool(rule.table, matched.facts);
        let limit = self.limit(rule.table, matched.facts);
        let notes = self
            .expressions
            .named(rule.table, "notes", matched.facts, is_note_name);
        let rejection =
            self.expressions
                .expression(rule.table, "nack", matched.facts, &Type::Duration);
        let (limit_key, limit) = limit.unzip();
        let mut actions = Actions::new();
        actions.extend(rejection.map(|rejection| (ActionKind::Reject, rejection)));
        actions.extend(pool.map(|pool| (ActionKind::Pool, pool)));
        let notes = notes.into_iter();
        actions.extend(notes.map(|(name, note)| (ActionKind::Note(name), note)));
        actions.extend(mapped);
        actions.extend(limit_key.map(|key| (ActionKind::LimitKey, key)));
        (actions, limit)
    }

    /// Reports a rule that would have no effect on any request.
    fn refuse_without_action(&mut self, rule: &RuleFields<'_, '_>, continues: bool) {
        let acts = ACTION_KEYS.iter().any(|key| rule.table.contains_key(*key));
        if !acts && continues {
            let help = Some("class, pool, limit, notes or nack was expected".into());
            let span = rule.span.clone();
            self.expressions
                .values
                .fault(span, "the rule does nothing", help);
        }
    }

    /// Reads the test. Returns `None` if it is faulty; the other expressions are then checked
    /// without facts.
    fn when(&mut self, table: &DeTable<'_>) -> Option<Expression> {
        if !table.contains_key("when") {
            return Expression::new("true", self.expressions.schema).ok();
        }
        let (when, text) =
            self.expressions
                .with_text(table, "when", &Facts::default(), &Type::Bool)?;
        if when.when_true().is_none() {
            let span = 0..when.text().len();
            let error = when.fault(span, "this is never true", "the rule has no effect");
            self.expressions.values.expression_fault(&text, &error);
        }
        Some(when)
    }

    /// Reads the pool, which must be written out on every branch so that it is known when the file
    /// is read.
    fn pool(&mut self, table: &DeTable<'_>, facts: &Facts) -> Option<Expression> {
        let (pool, text) = self
            .expressions
            .with_text(table, "pool", facts, &Type::Text)?;
        let Some(ways) = pool.ways() else {
            let problem = "the pool has too many branches to check";
            let error = pool.fault(0..pool.text().len(), problem, "use fewer branches");
            self.expressions.values.expression_fault(&text, &error);
            return None;
        };
        let pools = &self.expressions.environment.pools;
        for way in ways {
            let (problem, help) = match &way.outcome {
                Outcome::Text(name) if name == ANY || pools.contains(name) => continue,
                Outcome::Text(name) => (
                    format!("there is no pool {name:?}"),
                    nearest_pool(name, pools),
                ),
                _ => (
                    "this pool is not known before use".to_string(),
                    "write out a pool on every branch".to_string(),
                ),
            };
            let error = pool.fault(way.span.clone(), problem, help);
            self.expressions.values.expression_fault(&text, &error);
        }
        Some(pool)
    }

    /// Reads a limit: its key expression and its configuration.
    fn limit(&mut self, table: &DeTable<'_>, facts: &Facts) -> Option<(Expression, LimitSpec)> {
        let value = table.get("limit")?;
        let limit = self.expressions.values.table(value)?;
        self.expressions.values.known_keys(limit, &LIMIT_KEYS);
        if limit.get("key").is_none() {
            let help = "key = '\"all\"' makes one limit for all requests";
            self.expressions
                .values
                .fault(value.span(), "a limit needs `key`", Some(help.into()));
        }
        let key = self.expressions.with_text(limit, "key", facts, &Type::Text);
        let rate = self.number(limit, "rate", MIN_RATE);
        let burst = self.number(limit, "burst", 1.0);
        let at_once = self.number(limit, "at_once", 1.0);
        let keys = self.number(limit, "keys", MIN_KEYS);
        let allowance = match (rate, burst, at_once) {
            (Some(rate), burst, None) => {
                let rate = rate?;
                let burst = burst.unwrap_or(Some(rate.max(1.0)))?;
                Allowance::Rate { rate, burst }
            }
            (None, None, Some(max)) => self.concurrency(limit, max)?,
            _ => {
                let help = "`rate` with `burst`, or `at_once` with `after`, was expected";
                self.expressions.values.fault(
                    value.span(),
                    "the limit is incomplete",
                    Some(help.into()),
                );
                return None;
            }
        };
        let (key, text) = key?;
        let spec = LimitSpec {
            key: text.text.into(),
            allowance,
            keys: keys.unwrap_or(Some(DEFAULT_KEYS))? as usize,
        };
        Some((key, spec))
    }

    /// Reads the number under a key of a limit. Returns `None` if the key is absent, and
    /// `Some(None)` after reporting an invalid number.
    fn number(&mut self, limit: &DeTable<'_>, key: &str, min: f64) -> Option<Option<f64>> {
        let value = limit.get(key)?;
        Some(self.expressions.values.number(value, min..=MAX_LIMIT))
    }

    /// Reads a limit on concurrent requests.
    fn concurrency(&mut self, limit: &DeTable<'_>, max: Option<f64>) -> Option<Allowance> {
        let default = DEFAULT_LIMIT_RETRY_AFTER_MS;
        let retry_after_ms = retry_after_ms(self.expressions.values, limit, "after", default);
        Some(Allowance::Concurrency {
            max: max? as u32,
            retry_after_ms,
        })
    }

    /// Reads whether later rules are evaluated after this rule has matched.
    fn continues(&mut self, table: &DeTable<'_>) -> bool {
        let Some(value) = table.get("go_on") else {
            return false;
        };
        if let DeValue::Boolean(continues) = value.get_ref() {
            return *continues;
        }
        self.expressions
            .values
            .fault(value.span(), "`go_on` must be true or false", None);
        false
    }
}

/// Reports a rule that has the name of an earlier rule.
pub(crate) fn report_duplicate_name(values: &mut Values<'_, '_>, name: &Text) {
    let problem = format!("the rule name {:?} is already in use", name.text);
    values.fault(name.span.clone(), problem, None);
}

fn is_note_name(name: &str) -> bool {
    let plain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-';
    name.bytes().all(plain) && name.len() <= MAX_NOTE_NAME
}
