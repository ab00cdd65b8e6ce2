//! What the rules of a file are checked against besides their own text: the platform's catalog, the declared effects,
//! the names of the pools and the cost ceilings. A rule that was read in an equal environment would be checked and
//! compiled with the same result, so that it may be taken over.

use crate::document::RULES;
use crate::effect::{DeclaredEffects, Effect};
use crate::reader::{Value, Values};
use toml::de::DeTable;

/// Most units that one expression may cost unless the file says otherwise.
const DEFAULT_EXPRESSION_COST: f64 = 10_000.0;
/// Most units that one request may cost unless the file says otherwise.
const DEFAULT_REQUEST_COST: f64 = 200_000.0;
/// Highest ceiling that a file may name, in units.
const MAX_CEILING: f64 = 1e7;

/// The platform's classes and plans, from its settings.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Classes by name with their effects. Mapped requests name a class by its index here.
    pub classes: Vec<(String, Effect)>,
    /// Names of the plans.
    pub plans: Vec<String>,
    /// Most units that one request may count.
    pub max_units: f64,
}

/// What the rules of one file are checked against.
#[derive(Debug, PartialEq)]
pub(crate) struct Environment {
    pub(crate) catalog: Catalog,
    pub(crate) declared: DeclaredEffects,
    /// Names of the pools.
    pub(crate) pools: Vec<String>,
    /// Most units that one expression may cost.
    pub(crate) expression_cost: u64,
}

/// Cost ceilings, in units.
pub(crate) struct Ceilings {
    /// Of one expression.
    pub(crate) expression: u64,
    /// Of all rules that one request can reach.
    pub(crate) request: u64,
}

/// Notes every key of a file that is not known.
pub(crate) fn check_top_level_keys(values: &mut Values<'_, '_>, table: &DeTable<'_>) {
    values.known_keys(table, &["cost", "effects", "pool", RULES]);
}

/// Reads the cost ceilings.
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

/// Reads the effects that requests are declared to have.
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
                let problem = format!("{name:?} is no beginning of a path");
                values.fault(value.span(), problem, Some("it begins with /".into()));
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
