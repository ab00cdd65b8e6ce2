//! Reads the expressions of one rule and checks each against the facts that the rule's own test
//! establishes. The readers of a whole rule ([`crate::rule_reader`]) and of a mapped request
//! ([`crate::mapped_request`]) share it.

use crate::environment::Environment;
use crate::reader::{Text, Values};
use driftgap_expr::{Expression, Facts, FieldId, Path, Schema, Type};
use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Arc;
use toml::de::DeTable;

/// Maximum number of entries in a table of notes or terms.
const MAX_NAMED_EXPRESSIONS: usize = 8;

/// The fields of one rule.
pub(crate) struct RuleFields<'v, 'd> {
    pub(crate) table: &'v DeTable<'d>,
    /// The span at which faults of the rule as a whole are reported.
    pub(crate) span: Range<usize>,
}

/// The facts that a rule's own test establishes about the requests that its other expressions see.
pub(crate) struct MatchedRequest<'a> {
    pub(crate) facts: &'a Facts,
    /// Whether the test could be read. If not, `facts` is empty for that reason, and a missing fact
    /// must not be reported as a further fault.
    pub(crate) test_is_valid: bool,
}

impl MatchedRequest<'_> {
    /// Returns whether a value that every mapped request needs may be missing: the rule does not
    /// set it, and its test does not ensure that the client names it.
    pub(crate) fn may_be_missing(
        &self,
        rule: &RuleFields<'_, '_>,
        key: &str,
        field: FieldId,
    ) -> bool {
        let is_set = rule.table.get(key).is_some();
        let is_named = self.facts.present(&Path::Field(field));
        self.test_is_valid && !is_set && !is_named
    }
}

/// Reads the expressions of one rule. A faulty expression is reported and yields `None`.
pub(crate) struct ExpressionReader<'a, 'r, 't> {
    pub(crate) values: &'a mut Values<'r, 't>,
    pub(crate) environment: &'a Environment,
    pub(crate) schema: &'a Schema,
}

impl ExpressionReader<'_, '_, '_> {
    /// Returns the expression under a key with its text, if the key is present.
    pub(crate) fn with_text(
        &mut self,
        table: &DeTable<'_>,
        key: &str,
        facts: &Facts,
        expected: &Type,
    ) -> Option<(Expression, Text)> {
        let value = table.get(key)?;
        let text = self.values.string(value)?;
        let expression = self
            .values
            .expression(&text, self.schema, facts, expected)?;
        Some((expression, text))
    }

    /// Returns the expression under a key, if the key is present.
    pub(crate) fn expression(
        &mut self,
        table: &DeTable<'_>,
        key: &str,
        facts: &Facts,
        expected: &Type,
    ) -> Option<Expression> {
        let (expression, _) = self.with_text(table, key, facts, expected)?;
        Some(expression)
    }

    /// Returns the string expressions of the table under a key, by name. A name that is not
    /// `is_allowed` is a fault.
    pub(crate) fn named(
        &mut self,
        table: &DeTable<'_>,
        key: &str,
        facts: &Facts,
        is_allowed: impl Fn(&str) -> bool,
    ) -> BTreeMap<Arc<str>, Expression> {
        let mut named = BTreeMap::new();
        let Some(value) = table.get(key) else {
            return named;
        };
        let Some(table) = self.values.table(value) else {
            return named;
        };
        if table.len() > MAX_NAMED_EXPRESSIONS {
            let problem = format!("more than {MAX_NAMED_EXPRESSIONS} {key}");
            self.values.fault(value.span(), problem, None);
        }
        for (name, value) in table.iter().take(MAX_NAMED_EXPRESSIONS) {
            let text: &str = name.get_ref();
            if text.is_empty() || !is_allowed(text) {
                let problem = format!("the name is not valid in `{key}`");
                self.values.fault(name.span(), problem, None);
                continue;
            }
            let Some(source) = self.values.string(value) else {
                continue;
            };
            let expression = self
                .values
                .expression(&source, self.schema, facts, &Type::Text);
            named.extend(expression.map(|expression| (text.into(), expression)));
        }
        named
    }
}
