//! Checks of the parts of a rule that make a command of a request: its class, units, plan, partner and the rest.

use crate::effect::{self, Effect, Unfit};
use crate::names::nearest;
use crate::reader::Text;
use crate::request::field;
use crate::rule::{PartName, Parts};
use crate::rule_reader::{RuleFields, RuleReader};
use driftgap_expr::{Expression, Facts, FieldId, Outcome, Path, Type};

/// Keys that make sense beside `class` only.
const KEYS: [&str; 8] = [
    "plan", "partner", "units", "id", "deadline", "spread", "first", "terms",
];
/// Names of the platform's own terms, which a rule may not set.
const OWN_TERMS: [&str; 7] = ["c", "t", "d", "r", "units", "spread", "first"];
/// Longest name of a term.
const MAX_TERM_NAME: usize = 32;

/// What a rule's own test says of the requests that its other parts see.
pub(crate) struct Matched<'a> {
    pub(crate) facts: &'a Facts,
    /// The test was read without fault: what is missing from `facts` is missing from the test.
    pub(crate) certain: bool,
}

impl Matched<'_> {
    /// Whether a command's part is named neither by the rule nor for certain by the client.
    fn lacks(&self, fields: &RuleFields<'_, '_>, key: &str, place: FieldId) -> bool {
        self.certain && fields.table.get(key).is_none() && !self.facts.present(&Path::Field(place))
    }
}

impl RuleReader<'_, '_, '_> {
    /// The parts that make a command; none: the rule makes none, or its class is wrong.
    pub(crate) fn mapping(&mut self, fields: &RuleFields<'_, '_>, matched: &Matched<'_>) -> Parts {
        if fields.table.get("class").is_none() {
            self.refuse_without_class(fields);
            return Parts::new();
        }
        self.refuse_commands(fields, matched);
        let class = self.class(fields, matched);
        let units = self.units(fields, matched);
        let plan = self.plan(fields, matched);
        self.refuse_lacking(fields, matched, class.as_ref());
        let mut part = |key: &str, name: PartName, want: Type| {
            let part = self.part(fields.table, key, matched.facts, &want);
            part.map(|(part, _)| (name, part))
        };
        let partner = part("partner", PartName::Partner, Type::Text);
        let id = part("id", PartName::Id, Type::Text);
        let deadline = part("deadline", PartName::Deadline, Type::Duration);
        let spread = part("spread", PartName::Spread, Type::Int);
        let first = part("first", PartName::First, Type::Int);
        let terms = self.named(fields.table, "terms", matched.facts, is_term);
        let Some(class) = class else {
            return Parts::new();
        };
        let plan = plan.map(|plan| (PartName::Plan, plan));
        let units = units.map(|units| (PartName::Units, units));
        // In the order in which they are evaluated.
        let mut parts = vec![(PartName::Class, class)];
        parts.extend(
            [plan, partner, id, units, deadline, spread, first]
                .into_iter()
                .flatten(),
        );
        parts.extend(
            terms
                .into_iter()
                .map(|(name, term)| (PartName::Term(name), term)),
        );
        parts
    }

    fn refuse_without_class(&mut self, fields: &RuleFields<'_, '_>) {
        for key in KEYS {
            if let Some(value) = fields.table.get(key) {
                let help = Some("a rule with `class` makes a command of a request".into());
                self.values.fault(
                    value.span(),
                    format!("`{key}` stands without `class`"),
                    help,
                );
            }
        }
    }

    /// The platform's own commands keep the class that their client names.
    fn refuse_commands(&mut self, fields: &RuleFields<'_, '_>, matched: &Matched<'_>) {
        if !matched.certain || !effect::may_be_command(matched.facts) {
            return;
        }
        let help = format!(
            "a rule with `class` is for other paths than {}...: test request.path in `when`",
            effect::COMMANDS
        );
        let problem =
            "the rule may match a command of the platform's own, whose class and units are the client's word";
        let span = fields
            .table
            .get("class")
            .map_or(fields.span.clone(), |class| class.span());
        self.values.fault(span, problem, Some(help));
    }

    fn class(&mut self, fields: &RuleFields<'_, '_>, matched: &Matched<'_>) -> Option<Expression> {
        let (class, text) = self.part(fields.table, "class", matched.facts, &Type::Text)?;
        if matched.certain {
            let classes = &self.environment.catalog.classes;
            let effect_of = |name: &str| classes.iter().find(|(n, _)| n == name).map(|(_, e)| *e);
            let nearest = |name: &str| nearest(name, classes.iter().map(|(n, _)| n.as_str()));
            let unfit = effect::class(&class, &self.environment.declared, effect_of, nearest);
            self.refuse_unfit(&class, &text, unfit);
        }
        Some(class)
    }

    fn units(&mut self, fields: &RuleFields<'_, '_>, matched: &Matched<'_>) -> Option<Expression> {
        let (units, text) = self.part(fields.table, "units", matched.facts, &Type::Double)?;
        if matched.certain {
            let unfit = effect::units(&units, self.environment.catalog.max_units);
            self.refuse_unfit(&units, &text, unfit);
        }
        Some(units)
    }

    fn plan(&mut self, fields: &RuleFields<'_, '_>, matched: &Matched<'_>) -> Option<Expression> {
        let (plan, text) = self.part(fields.table, "plan", matched.facts, &Type::Text)?;
        let plans = &self.environment.catalog.plans;
        for way in plan.ways().unwrap_or(&[]) {
            let Outcome::Text(name) = &way.outcome else {
                continue;
            };
            if !plans.contains(name) {
                let help = nearest(name, plans.iter().map(String::as_str));
                let error =
                    plan.fault(way.span.clone(), format!("there is no plan {name:?}"), help);
                self.values.expression_fault(&text, &error);
            }
        }
        Some(plan)
    }

    fn refuse_unfit(&mut self, expression: &Expression, text: &Text, unfit: Vec<Unfit>) {
        for unfit in unfit {
            let error = expression.fault(unfit.span, unfit.problem, unfit.help);
            self.values.expression_fault(text, &error);
        }
    }

    /// What a command needs must be given by the rule, or named for certain by the client.
    fn refuse_lacking(
        &mut self,
        fields: &RuleFields<'_, '_>,
        matched: &Matched<'_>,
        class: Option<&Expression>,
    ) {
        for (key, place) in [
            ("plan", field::PLAN),
            ("partner", field::PARTNER),
            ("units", field::UNITS),
        ] {
            if matched.lacks(fields, key, place) {
                let help = format!("give it, or test has(request.{key}) in `when`");
                self.values.fault(
                    fields.span.clone(),
                    format!("a command needs `{key}`"),
                    Some(help),
                );
            }
        }
        let discards = class.is_some_and(|class| self.discards_repeats(class));
        if discards && matched.lacks(fields, "id", field::ID) {
            let help = Some("give it, or test has(request.id) in `when`".into());
            let problem = "a class whose repeats are discarded by their id needs `id`";
            self.values.fault(fields.span.clone(), problem, help);
        }
    }

    fn discards_repeats(&self, class: &Expression) -> bool {
        let classes = &self.environment.catalog.classes;
        let is_token = |name: &str| {
            classes
                .iter()
                .any(|(n, effect)| n == name && *effect == Effect::Token)
        };
        let mut ways = class.ways().unwrap_or(&[]).iter();
        ways.any(|way| matches!(&way.outcome, Outcome::Text(name) if is_token(name)))
    }
}

fn is_term(name: &str) -> bool {
    let plain = name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_');
    plain && name.len() <= MAX_TERM_NAME && !OWN_TERMS.contains(&name)
}
