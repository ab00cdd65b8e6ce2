//! The declared effect of requests, and the check that a rule may map a request to a class.
//!
//! Requests of an idempotent class are retried. If a rule mapped a request that must not run twice
//! to such a class, a retry would run it again. A rule is therefore accepted only if the class on
//! every branch of its `class` expression is proved to be at least as strict as any request that
//! reaches the branch. A rule that cannot be proved is refused when the file is read.

use crate::request::field;
use driftgap_expr::{Expression, Facts, Outcome, Path, Way};
use std::collections::BTreeMap;
use std::ops::Range;

/// The idempotency of a request, in increasing strictness.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Idempotent: the request may run any number of times.
    Pure,
    /// Idempotent with a key, by which endpoints discard repeats for a limited time.
    Token,
    /// Not idempotent: the request must never run twice.
    SideEffect,
}

impl Effect {
    /// Returns the effect with the given name in the settings.
    pub fn named(name: &str) -> Option<Effect> {
        match name {
            "pure" => Some(Effect::Pure),
            "token" => Some(Effect::Token),
            "side_effect" => Some(Effect::SideEffect),
            _ => None,
        }
    }

    /// Returns the name in the settings.
    fn as_str(self) -> &'static str {
        match self {
            Effect::Pure => "pure",
            Effect::Token => "token",
            Effect::SideEffect => "side_effect",
        }
    }
}

/// The declared effects of requests that do not use the platform's own protocol.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DeclaredEffects {
    /// Effects by method; a method that is not listed has [`Effect::SideEffect`].
    pub(crate) methods: BTreeMap<String, Effect>,
    /// Effects by path prefix; the stricter one of the method's and the path's effect applies.
    pub(crate) paths: Vec<(String, Effect)>,
}

impl Default for DeclaredEffects {
    /// The safe methods GET, HEAD and OPTIONS of RFC 9110 are pure; every other method has a side
    /// effect.
    fn default() -> DeclaredEffects {
        let safe = ["GET", "HEAD", "OPTIONS"].map(|m| (m.to_string(), Effect::Pure));
        DeclaredEffects {
            methods: safe.into(),
            paths: Vec::new(),
        }
    }
}

/// The path prefix of the platform's own protocol, in which the client names the class.
pub const COMMANDS: &str = "/commands/";

impl DeclaredEffects {
    /// Returns the strictest effect of any request that satisfies `facts`, with the reason for
    /// messages.
    pub(crate) fn strictest(&self, facts: &Facts) -> (Effect, String) {
        let mut found = (Effect::Pure, String::new());
        let mut record = |effect: Effect, why: String| {
            if effect > found.0 {
                found = (effect, why);
            }
        };
        match facts.texts(&Path::Field(field::METHOD)) {
            Some(methods) => {
                for method in methods {
                    let effect = self
                        .methods
                        .get(method)
                        .copied()
                        .unwrap_or(Effect::SideEffect);
                    record(
                        effect,
                        format!("the method may be {method}, which is {}", effect.as_str()),
                    );
                }
            }
            None => {
                let why = "the method may be any, of which some are side_effect".to_string();
                record(Effect::SideEffect, why);
            }
        }
        let path = facts.get(&Path::Field(field::PATH));
        for (prefix, effect) in &self.paths {
            if !path.is_some_and(|fact| fact.never_begins(prefix)) {
                record(
                    *effect,
                    format!(
                        "the path may begin with {prefix}, which is {}",
                        effect.as_str()
                    ),
                );
            }
        }
        found
    }
}

/// A branch of a rule's expression that is refused, and why.
pub(crate) struct RejectedBranch {
    /// The span of the branch in the expression, in bytes.
    pub(crate) span: Range<usize>,
    pub(crate) problem: String,
    pub(crate) help: String,
}

/// Returns whether a rule may match a request of the platform's own protocol.
pub(crate) fn may_be_platform_request(facts: &Facts) -> bool {
    !facts
        .get(&Path::Field(field::PATH))
        .is_some_and(|fact| fact.never_begins(COMMANDS))
}

/// Checks the class of a rule and returns the refused branches.
pub(crate) fn check_class(
    expression: &Expression,
    declared: &DeclaredEffects,
    effect_of: impl Fn(&str) -> Option<Effect>,
    nearest: impl Fn(&str) -> String,
) -> Vec<RejectedBranch> {
    let Some(ways) = expression.ways() else {
        let help = "use a table with [key].orValue(...)";
        return vec![too_many_branches(expression, "class has", help)];
    };
    let refused = ways.iter().filter_map(|way| {
        let (problem, help) = match &way.outcome {
            Outcome::Text(name) => match effect_of(name) {
                Some(effect) => weaker_class_problem(name, effect, declared, &way.facts)?,
                None => (format!("there is no class {name:?}"), nearest(name)),
            },
            _ => (
                "this class is not known before use".into(),
                "write out a class on every branch, so that its effect is known when the file is read".into(),
            ),
        };
        let span = way.span.clone();
        Some(RejectedBranch {
            span,
            problem,
            help,
        })
    });
    refused.collect()
}

/// Returns the problem and help text if a class is weaker than some request that satisfies `facts`.
fn weaker_class_problem(
    class: &str,
    effect: Effect,
    declared: &DeclaredEffects,
    facts: &Facts,
) -> Option<(String, String)> {
    let (needed, why) = declared.strictest(facts);
    if effect >= needed {
        return None;
    }
    let problem = format!(
        "this would make a request with an effect safe to repeat: class {class:?} is {}, but {why}",
        effect.as_str()
    );
    let help = "test request.method and request.path in `when` so that only requests without the effect match";
    Some((problem, help.into()))
}

/// Refuses an expression that has too many branches to check each of them.
fn too_many_branches(expression: &Expression, what: &str, help: &str) -> RejectedBranch {
    RejectedBranch {
        span: 0..expression.text().len(),
        problem: format!("the {what} too many branches to check"),
        help: help.into(),
    }
}

/// Checks the units of a rule and returns the refused branches. Units must be above 0 and at most
/// `max`, and a value that the client names must be kept.
pub(crate) fn check_units(expression: &Expression, max: f64) -> Vec<RejectedBranch> {
    let Some(ways) = expression.ways() else {
        return vec![too_many_branches(
            expression,
            "units have",
            "use fewer branches",
        )];
    };
    let client_units = Path::Field(field::UNITS);
    let is_allowed = |number: f64| number > 0.0 && number <= max;
    let keeps = |way: &Way| match &way.outcome {
        Outcome::Place(place) if *place == client_units => true,
        Outcome::Number(number) => way.facts.absent(&client_units) && is_allowed(*number),
        _ => way.facts.absent(&client_units),
    };
    let refused = ways.iter().filter(|way| !keeps(way)).map(|way| {
        let (problem, help) = match &way.outcome {
            Outcome::Number(number) if !is_allowed(*number) => (
                format!("a request cannot count {number} units"),
                format!("expected a number above 0 and at most {max}"),
            ),
            _ => (
                "this would change the units that the client names".into(),
                "request.units.orValue(...) keeps them".into(),
            ),
        };
        let span = way.span.clone();
        RejectedBranch {
            span,
            problem,
            help,
        }
    });
    refused.collect()
}
