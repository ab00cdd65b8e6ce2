//! Which effect a request is declared to have, and whether a rule may give it a class.
//!
//! A rule may give a class only where every way that its expression can take is proved to give a request a class
//! that is no safer to repeat than the request is. What cannot be proved is refused.

use crate::request::field;
use driftgap_expr::{Expression, Facts, Outcome, Path};
use std::collections::BTreeMap;
use std::ops::Range;

/// How often a request may take effect; a later one is stricter.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// It may run any number of times.
    Pure,
    /// Endpoints discard repeats by its key for a while.
    Token,
    /// It must never run twice.
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

    fn told(self) -> &'static str {
        match self {
            Effect::Pure => "pure",
            Effect::Token => "token",
            Effect::SideEffect => "side_effect",
        }
    }
}

/// The effects that requests are declared to have, beside those of the platform's own commands.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Declared {
    /// By method; any other has an effect.
    pub(crate) methods: BTreeMap<String, Effect>,
    /// By the beginning of the path, on top of the method's.
    pub(crate) paths: Vec<(String, Effect)>,
}

impl Default for Declared {
    /// RFC 9110's safe methods are pure, every other has an effect.
    fn default() -> Declared {
        let safe = ["GET", "HEAD", "OPTIONS"].map(|m| (m.to_string(), Effect::Pure));
        Declared {
            methods: safe.into(),
            paths: Vec::new(),
        }
    }
}

/// Where the platform's own commands are: their class is the client's word.
pub const COMMANDS: &str = "/commands/";

impl Declared {
    /// The strictest effect that a request of which `facts` are known may have, and why.
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
                        format!("the method may be {method}, which is {}", effect.told()),
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
                        effect.told()
                    ),
                );
            }
        }
        found
    }
}

/// What is wrong with a part of a rule's expression.
pub(crate) struct Unfit {
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

/// Judges the class that a rule gives.
pub(crate) fn class(
    expression: &Expression,
    declared: &Declared,
    effect_of: impl Fn(&str) -> Option<Effect>,
    nearest: impl Fn(&str) -> String,
) -> Vec<Unfit> {
    let Some(ways) = expression.ways() else {
        let (problem, help) = (
            "the class has too many ways to tell apart",
            "a table with [key].orValue(...) is flatter",
        );
        return vec![Unfit {
            span: 0..expression.text().len(),
            problem: problem.into(),
            help: help.into(),
        }];
    };
    let mut unfit = Vec::new();
    for way in ways {
        let span = way.span.clone();
        let name = match &way.outcome {
            Outcome::Text(name) => name,
            _ => {
                let (problem, help) = (
                    "this class is not known before use",
                    "a class is written out on every branch, so that its effect is known when the file is read",
                );
                unfit.push(Unfit {
                    span,
                    problem: problem.into(),
                    help: help.into(),
                });
                continue;
            }
        };
        let Some(effect) = effect_of(name) else {
            unfit.push(Unfit {
                span,
                problem: format!("there is no class {name:?}"),
                help: nearest(name),
            });
            continue;
        };
        let (needed, why) = declared.strictest(&way.facts);
        if effect < needed {
            unfit.push(Unfit {
                span,
                problem: format!("this would make a request with an effect safe to repeat: class {name:?} is {}, but {why}", effect.told()),
                help: "test request.method and request.path in `when` so that only requests without the effect match".into(),
            });
        }
    }
    unfit
}

/// Judges the units that a rule gives: what the client names must stay.
pub(crate) fn units(expression: &Expression, max: f64) -> Vec<Unfit> {
    let named = Path::Field(field::UNITS);
    let fits = |way: &driftgap_expr::Way| match &way.outcome {
        Outcome::Place(place) => *place == named || way.facts.absent(&named),
        Outcome::Number(number) => way.facts.absent(&named) && *number > 0.0 && *number <= max,
        _ => way.facts.absent(&named),
    };
    let ways = expression.ways().unwrap_or(&[]);
    if expression.ways().is_none() {
        let (problem, help) = (
            "the units have too many ways to tell apart",
            "fewer branches",
        );
        return vec![Unfit {
            span: 0..expression.text().len(),
            problem: problem.into(),
            help: help.into(),
        }];
    }
    let wrong = ways.iter().filter(|way| !fits(way));
    wrong
        .map(|way| match &way.outcome {
            Outcome::Number(number) if !(*number > 0.0 && *number <= max) => Unfit {
                span: way.span.clone(),
                problem: format!("{number} units are none that a request may count"),
                help: format!("a number above 0, {max} at most, was expected"),
            },
            _ => Unfit {
                span: way.span.clone(),
                problem: "this would change the units that a client names itself".into(),
                help: "request.units.orValue(...) keeps them".into(),
            },
        })
        .collect()
}
