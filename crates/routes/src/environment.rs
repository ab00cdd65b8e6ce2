//! The context in which the rules of a file are checked: the platform's catalog, the declared
//! effects, the names of the pools and the cost limits. A rule that was read in an equal
//! environment would be compiled with the same result and can therefore be reused.

use crate::document::RULES;
use crate::effect::{DeclaredEffects, Effect};
use crate::reader::{Value, Values};
use toml::de::DeTable;

/// Default limit for the cost of one expression, in units.
const DEFAULT_EXPRESSION_COST: f64 = 10_000.0;
/// Default limit for the cost of all rules that one request can reach, in units.
const DEFAULT_REQUEST_COST: f64 = 200_000.0;
/// Highest cost limit that a file may set, in units.
const MAX_CEILING: f64 = 1e7;

/// The platform's classes and plans, from its settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// The classes by name, with their effects. Mapped requests refer to a class by its index.
    pub classes: Vec<(String, Effect)>,
    /// The names of the plans.
    pub plans: Vec<String>,
    /// Maximum number of units that one request may count.
    pub max_units: f64,
}

/// The context in which the rules of one file are checked.
#[derive(Debug, PartialEq)]
pub(crate) struct Environment {
    pub(crate) catalog: Catalog,
    pub(crate) declared: DeclaredEffects,
    /// The names of the pools.
    pub(crate) pools: Vec<String>,
    /// Maximum cost of one expression, in units.
    pub(crate) expression_cost: u64,
}

/// Cost limits of a file, in units.
pub(crate) struct Ceilings {
    /// Limit for one expression.
    pub(crate) expression: u64,
    /// Limit for all rules that one request can reach.
    pub(crate) request: u64,
}

/// Reports every unknown key at the top level of a file.
pub(crate) fn check_top_level_keys(values: &mut Values<'_, '_>, table: &DeTable<'_>) {
    values.known_keys(table, &["cost", "effects", "pool", RULES]);
}

/// Reads the cost limits.
pub(crate) fn ceilings(values: &mut Values<'_, '_>, table: &DeTable<'_>) -> Ceilings {
    let (mut expression, mut request) = (DEFAULT_EXPRESSION_COST, DEFAULT_REQUEST_COST);
    if let Some(cost) = table.get("cost").and_then(|cost| values.table(cost)) {
        values.known_keys(cost, &["expression", "request"]);
        for (name, ceiling) in [("expression", &mut expression), ("request", &mut request)] {
            if let Some(value) = cost.get(name) {
                *ceiling = values.number(value, 1.0..=MAX_CEILING).unwrap_or(*ceiling);
            }
        }
    }
    Ceilings {
        expression: expression as u64,
        request: request as u64,
    }
}

/// Reads the declared effects of requests.
pub(crate) fn effects(values: &mut Values<'_, '_>, table: &DeTable<'_>) -> DeclaredEffects {
    let mut declared = DeclaredEffects::default();
    let Some(effects) = table
        .get("effects")
        .and_then(|effects| values.table(effects))
    else {
        return declared;
    };
    values.known_keys(effects, &["methods", "paths"]);
    if let Some(methods) = effects
        .get("methods")
        .and_then(|methods| values.table(methods))
    {
        for (name, value) in methods.iter() {
            let name: &str = name.get_ref();
            if let Some(effect) = effect(values, value) {
                declared.methods.insert(name.to_string(), effect);
            }
        }
    }
    if let Some(paths) = effects.get("paths").and_then(|paths| values.table(paths)) {
        for (name, value) in paths.iter() {
            let name: &str = name.get_ref();
            let Some(effect) = effect(values, value) else {
                continue;
            };
            if name.starts_with('/') {
                declared.paths.push((name.to_string(), effect));
            } else {
                let problem = format!("{name:?} is not a path prefix");
                values.fault(
                    value.span(),
                    problem,
                    Some("a path prefix begins with /".into()),
                );
            }
        }
    }
    declared
}

fn effect(values: &mut Values<'_, '_>, value: &Value<'_>) -> Option<Effect> {
    let text = values.string(value)?;
    let effect = Effect::named(&text.text);
    if effect.is_none() {
        let help = Some("pure, token or side_effect was expected".into());
        values.fault(
            text.span,
            format!("there is no effect {:?}", text.text),
            help,
        );
    }
    effect
}
