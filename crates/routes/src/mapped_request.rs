//! Checks the expressions of a rule that map an HTTP request to a request of one of the service's
//! classes: the class, the units, the plan, the tenant and the rest. A rule is refused if reading
//! the file cannot prove that the class exists and is as strict as the request's effect, and that
//! the units that a client names are kept.

use crate::effect::{self, Effect, RejectedBranch};
use crate::expression_reader::{ExpressionReader, MatchedRequest, RuleFields};
use crate::names::nearest;
use crate::reader::Text;
use crate::request::field;
use crate::rule::{ActionKind, Actions};
use driftgap_expr::{Expression, Outcome, Type};

/// Keys that require `class`.
const KEYS: [&str; 8] = [
    "plan", "partner", "units", "id", "deadline", "spread", "first", "terms",
];
/// Names of the terms that the platform's protocol defines, which a rule must not set again.
const PROTOCOL_TERMS: [&str; 7] = ["c", "t", "d", "r", "units", "spread", "first"];
/// Maximum length of a term's name, in bytes.
const MAX_TERM_NAME: usize = 32;

/// Reads the expressions that map a request to one of the service's classes.
pub(crate) struct MappedRequestReader<'e, 'a, 'r, 't> {
    expressions: &'e mut ExpressionReader<'a, 'r, 't>,
}

impl<'e, 'a, 'r, 't> MappedRequestReader<'e, 'a, 'r, 't> {
    pub(crate) fn new(expressions: &'e mut ExpressionReader<'a, 'r, 't>) -> Self {
        MappedRequestReader { expressions }
    }

    /// Returns the expressions in the order of evaluation. They are empty if the rule maps no
    /// request, or if its class is invalid.
    pub(crate) fn read(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
    ) -> Actions {
        if rule.table.get("class").is_none() {
            self.refuse_without_class(rule);
            return Actions::new();
        }
        self.refuse_platform_requests(rule, matched);
        let class = self.class(rule, matched);
        let units = self.units(rule, matched);
        let plan = self.plan(rule, matched);
        self.refuse_missing(rule, matched, class.as_ref());
        let mut read = |key: &str, expected: Type| {
            self.expressions
                .expression(rule.table, key, matched.facts, &expected)
        };
        let partner = read("partner", Type::Text);
        let id = read("id", Type::Text);
        let deadline = read("deadline", Type::Duration);
        let spread = read("spread", Type::Int);
        let first = read("first", Type::Int);
        let terms = self
            .expressions
            .named(rule.table, "terms", matched.facts, is_term_name);
        let Some(class) = class else {
            return Actions::new();
        };
        let in_order = [
            (ActionKind::Class, Some(class)),
            (ActionKind::Plan, plan),
            (ActionKind::Partner, partner),
            (ActionKind::Id, id),
            (ActionKind::Units, units),
            (ActionKind::Deadline, deadline),
            (ActionKind::Spread, spread),
            (ActionKind::First, first),
        ];
        let set = in_order
            .into_iter()
            .filter_map(|(name, expression)| Some((name, expression?)));
        let terms = terms
            .into_iter()
            .map(|(name, term)| (ActionKind::Term(name), term));
        set.chain(terms).collect()
    }

    /// Reports keys that require `class` in a rule without it.
    fn refuse_without_class(&mut self, rule: &RuleFields<'_, '_>) {
        for key in KEYS {
            if let Some(value) = rule.table.get(key) {
                let help = Some("a rule with `class` maps the request to a class".into());
                self.expressions.values.fault(
                    value.span(),
                    format!("`{key}` requires `class`"),
                    help,
                );
            }
        }
    }

    /// Refuses a rule that may match a request of the platform's own protocol, because such a
    /// request keeps the class that its client names.
    fn refuse_platform_requests(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
    ) {
        if !matched.test_is_valid || !effect::may_be_platform_request(matched.facts) {
            return;
        }
        let help = format!(
            "a rule with `class` must not match paths that begin with {}: test request.path in `when`",
            effect::COMMANDS
        );
        let problem =
            "the rule may match a request of the platform's own protocol, whose client names the class and the units";
        let span = rule
            .table
            .get("class")
            .map_or(rule.span.clone(), |class| class.span());
        self.expressions.values.fault(span, problem, Some(help));
    }

    /// Reads the class. On every branch it must be at least as strict as the requests that reach
    /// the branch.
    fn class(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
    ) -> Option<Expression> {
        let (class, text) =
            self.expressions
                .with_text(rule.table, "class", matched.facts, &Type::Text)?;
        if matched.test_is_valid {
            let classes = &self.expressions.environment.catalog.classes;
            let effect_of = |name: &str| classes.iter().find(|(n, _)| n == name).map(|(_, e)| *e);
            let nearest = |name: &str| nearest(name, classes.iter().map(|(n, _)| n.as_str()));
            let rejected = effect::check_class(
                &class,
                &self.expressions.environment.declared,
                effect_of,
                nearest,
            );
            self.report_rejected_branches(&class, &text, rejected);
        }
        Some(class)
    }

    /// Reads the units. A value that the client names must be kept.
    fn units(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
    ) -> Option<Expression> {
        let (units, text) =
            self.expressions
                .with_text(rule.table, "units", matched.facts, &Type::Double)?;
        if matched.test_is_valid {
            let rejected =
                effect::check_units(&units, self.expressions.environment.catalog.max_units);
            self.report_rejected_branches(&units, &text, rejected);
        }
        Some(units)
    }

    /// Reads the plan. A plan that is written out must exist in the catalog.
    fn plan(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
    ) -> Option<Expression> {
        let (plan, text) =
            self.expressions
                .with_text(rule.table, "plan", matched.facts, &Type::Text)?;
        let plans = &self.expressions.environment.catalog.plans;
        for way in plan.ways().unwrap_or(&[]) {
            let Outcome::Text(name) = &way.outcome else {
                continue;
            };
            if !plans.contains(name) {
                let help = nearest(name, plans.iter().map(String::as_str));
                let error =
                    plan.fault(way.span.clone(), format!("there is no plan {name:?}"), help);
                self.expressions.values.expression_fault(&text, &error);
            }
        }
        Some(plan)
    }

    fn report_rejected_branches(
        &mut self,
        expression: &Expression,
        text: &Text,
        rejected: Vec<RejectedBranch>,
    ) {
        for rejected in rejected {
            let error = expression.fault(rejected.span, rejected.problem, rejected.help);
            self.expressions.values.expression_fault(text, &error);
        }
    }

    /// Reports values that every mapped request needs and the rule does not set, unless its test
    /// ensures that the client names them.
    fn refuse_missing(
        &mut self,
        rule: &RuleFields<'_, '_>,
        matched: &MatchedRequest<'_>,
        class: Option<&Expression>,
    ) {
        for (key, field_id) in [
            ("plan", field::PLAN),
            ("partner", field::PARTNER),
            ("units", field::UNITS),
        ] {
            if matched.may_be_missing(rule, key, field_id) {
                let help = format!("set it, or test has(request.{key}) in `when`");
                self.expressions.values.fault(
                    rule.span.clone(),
                    format!("a mapped request needs `{key}`"),
                    Some(help),
                );
            }
        }
        let deduplicates = class.is_some_and(|class| self.deduplicates(class));
        if deduplicates && matched.may_be_missing(rule, "id", field::ID) {
            let help = Some("set it, or test has(request.id) in `when`".into());
            let problem = "a class whose endpoints discard repeats by id needs `id`";
            self.expressions
                .values
                .fault(rule.span.clone(), problem, help);
        }
    }

    /// Returns whether the class may be one whose endpoints deduplicate requests by id.
    fn deduplicates(&self, class: &Expression) -> bool {
        let classes = &self.expressions.environment.catalog.classes;
        let is_token = |name: &str| {
            classes
                .iter()
                .any(|(n, effect)| n == name && *effect == Effect::Token)
        };
        let mut ways = class.ways().unwrap_or(&[]).iter();
        ways.any(|way| matches!(&way.outcome, Outcome::Text(name) if is_token(name)))
    }
}

fn is_term_name(name: &str) -> bool {
    let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    plain && name.len() <= MAX_TERM_NAME && !PROTOCOL_TERMS.contains(&name)
}
