//! Which effect a request is declared to have, and whether a rule may map it to a class.
//!
//! A class whose requests are idempotent is retried. If a rule mapped a request that must not run twice to such a class,
//! a retry would run it again. So a rule is accepted only if on every branch of its `class` the class is proved to be at
//! least as strict as any request that reaches the branch. What cannot be proved is refused when the file is read.

use crate::request::field;
use driftgap_expr::{Expression, Facts, Outcome, Path, Way};
use std::collections::BTreeMap;
use std::ops::Range;

/// How often a request may take effect: its idempotency, under the names of the settings. A later one is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Idempotent: it may run any number of times.
    Pure,
    /// Idempotent with its key, by which endpoints discard repeats for a while.
    Token,
    /// Unsafe: it must never run twice.
    SideEffect,
}

impl Effect {
    /// An effect by the name that the settings use.
    pub fn named(name: &str) -> Option<Effect> {
        match name {
            "pure" => Some(Effect::Pure),
            "token" => Some(Effect::Token),
            "side_effect" => Some(Effect::SideEffect),
            _ => None,
        }
    }

    /// The name that the settings use.
    fn as_str(self) -> &'static str {
        match self {
            Effect::Pure => "pure",
            Effect::Token => "token",
            Effect::SideEffect => "side_effect",
        }
    }
}

/// The effects that requests outside of the platform's own protocol are declared to have.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct DeclaredEffects {
    /// By method; any other has an effect.
    pub(crate) methods: BTreeMap<String, Effect>,
    /// By the beginning of the path, on top of the method's.
    pub(crate) paths: Vec<(String, Effect)>,
}

impl Default for DeclaredEffects {
    /// RFC 9110's safe methods are pure, every other has an effect.
    fn default() -> DeclaredEffects {
        let safe = ["GET", "HEAD", "OPTIONS"].map(|m| (m.to_string(), Effect::Pure));
        DeclaredEffects {
            methods: safe.into(),
            paths: Vec::new(),
        }
    }
}

/// The beginning of the paths of the platform's own protocol, on which the client names the class.
pub const COMMANDS: &str = "/commands/";

impl DeclaredEffects {
    /// The strictest effect that a request may have of which `facts` are known, and the reason for messages.
    pub(crate) fn strictest(&self, facts: &Facts) -> (Effect, String) {
        let mut found = (Effect::Pure, String::new());
        let mut note = |effect: Effect, why: String| {
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
                    note(
                        effect,
                        format!("the method may be {method}, which is {}", effect.as_str()),
                    );
                }
            }
            None => {
                let why = "the method may be any, of which some are side_effect".to_string();
                note(Effect::SideEffect, why);
            }
        }
        let path = facts.get(&Path::Field(field::PATH));
        for (prefix, effect) in &self.paths {
            if !path.is_some_and(|fact| fact.never_begins(prefix)) {
                note(
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

/// Why a branch of a rule's expression is refused.
pub(crate) struct RejectedBranch {
    /// The branch, in bytes of the expression.
    pub(crate) span: Range<usize>,
    pub(crate) problem: String,
    pub(crate) help: String,
}

/// Whether a rule may match a request of the platform's own protocol.
pub(crate) fn may_be_platform_request(facts: &Facts) -> bool {
    !facts
        .get(&Path::Field(field::PATH))
        .is_some_and(|fact| fact.never_begins(COMMANDS))
}

/// Why a rule's class is refused, branch by branch; empty: it is accepted.
pub(crate) fn check_class(
    expression: &Expression,
    declared: &DeclaredEffects,
    effect_of: impl Fn(&str) -> Option<Effect>,
    nearest: impl Fn(&str) -> String,
) -> Vec<RejectedBranch> {
    let Some(ways) = expression.ways() else {
        let help = "a table with [key].orValue(...) is flatter";
        return vec![too_many_ways(expression, "class has", help)];
    };
    let refused = ways.iter().filter_map(|way| {
        let (problem, help) = match &way.outcome {
            Outcome::Text(name) => match effect_of(name) {
                Some(effect) => too_weak(name, effect, declared, &way.facts)?,
                None => (format!("there is no class {name:?}"), nearest(name)),
            },
            _ => (
                "this class is not known before use".into(),
                "a class is written out on every branch, so that its effect is known when the file is read".into(),
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

/// The problem and its help if a class is weaker than a request of which `facts` are known may be.
fn too_weak(
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

/// The branches of an expression are too many to check each.
fn too_many_ways(expression: &Expression, what: &str, help: &str) -> RejectedBranch {
    RejectedBranch {
        span: 0..expression.text().len(),
        problem: format!("the {what} too many ways to tell apart"),
        help: help.into(),
    }
}

/// Why a rule's units are refused, branch by branch: they must be above 0, `max` at most, and a value that the client
/// names must stay. Empty: they are accepted.
pub(crate) fn check_units(expression: &Expression, max: f64) -> Vec<RejectedBranch> {
    let Some(ways) = expression.ways() else {
        return vec![too_many_ways(expression, "units have", "fewer branches")];
    };
    let named = Path::Field(field::UNITS);
    let is_allowed = |number: f64| number > 0.0 && number <= max;
    let keeps = |way: &Way| match &way.outcome {
        Outcome::Place(place) if *place == named => true,
        Outcome::Number(number) => way.facts.absent(&named) && is_allowed(*number),
        _ => way.facts.absent(&named),
    };
    let refused = ways.iter().filter(|way| !keeps(way)).map(|way| {
        let (problem, help) = match &way.outcome {
            Outcome::Number(number) if !is_allowed(*number) => (
                format!("{number} units are none that a request may count"),
                format!("a number above 0, {max} at most, was expected"),
            ),
            _ => (
                "this would change the units that a client names itself".into(),
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
