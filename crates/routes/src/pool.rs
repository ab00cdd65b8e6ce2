//! Pools of endpoints: their members, and where their requests go while no member is ready.

use crate::names::{name, nearest};
use crate::reader::{Value, Values};
use crate::request::endpoint_schema;
use driftgap_expr::{Compiled, Expression, FieldId, Input, Interner, Schema, Scratch, Type};
use toml::de::DeTable;

/// Maximum number of pools: an endpoint's pools are bits of a 64-bit word, one of which stands for
/// all endpoints.
pub const MAX_POOLS: usize = 62;
/// The reserved pool name that stands for all endpoints.
pub const ANY: &str = "any";
/// Maximum Retry-After of a rule or pool, in ms: 10 minutes.
pub(crate) const MAX_RETRY_AFTER_MS: f64 = 600_000.0;
/// Default Retry-After of a pool without a ready endpoint, in ms.
const DEFAULT_RETRY_AFTER_MS: f64 = 1000.0;

/// Where the requests of a pool go while none of its endpoints is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fallback {
    /// The requests are rejected.
    Refuse,
    /// The requests go to another pool, given by its index in the file.
    Pool(usize),
    /// The requests go to any endpoint.
    Any,
}

/// A pool of endpoints.
pub(crate) struct Pool {
    pub(crate) name: String,
    /// The text of the test, by which the same pool is recognised in another file.
    pub(crate) text: String,
    pub(crate) when: Compiled,
    pub(crate) fallback: Fallback,
    /// Time after which a rejected client may retry, in ms.
    pub(crate) retry_after_ms: f64,
}

impl Pool {
    /// Returns whether a pool of another file has the same name and the same test.
    pub(crate) fn is_same(&self, other: &Pool) -> bool {
        self.name == other.name && self.text == other.text
    }
}

/// Returns the list of pools of a file.
pub(crate) fn list<'v, 'd>(values: &mut Values<'_, '_>, table: &'v DeTable<'d>) -> &'v [Value<'d>] {
    let Some(list) = table.get("pool") else {
        return &[];
    };
    let list = values.array(list);
    if list.len() > MAX_POOLS {
        values.fault(
            list[MAX_POOLS].span(),
            format!("more than {MAX_POOLS} pools"),
            None,
        );
        return &[];
    }
    list
}

/// Reads the names of all pools. They are read first, because a pool may fall back on a later one.
pub(crate) fn names(values: &mut Values<'_, '_>, list: &[Value<'_>]) -> Vec<String> {
    let mut names: Vec<String> = Vec::new();
    for value in list {
        let Some(fields) = values.table(value) else {
            continue;
        };
        let Some(name) = name(values, fields, value.span()) else {
            continue;
        };
        if names.contains(&name.text) || name.text == ANY {
            let help = if name.text == ANY {
                "the name is reserved for all endpoints"
            } else {
                "the name is already in use"
            };
            let problem = format!("the pool name {:?} cannot be used", name.text);
            values.fault(name.span, problem, Some(help.into()));
        }
        names.push(name.text);
    }
    names
}

/// Reads the pools of a list, whose names are already known.
pub(crate) fn pools(
    values: &mut Values<'_, '_>,
    list: &[Value<'_>],
    names: &[String],
    interner: &mut Interner,
) -> Vec<Pool> {
    let schema = endpoint_schema();
    let mut pools = Vec::with_capacity(list.len());
    for (value, name) in list.iter().zip(names) {
        let Some(fields) = values.table(value) else {
            continue;
        };
        pools.extend(pool(values, value, fields, name, names, &schema, interner));
    }
    refuse_cycles(values, list, &pools);
    pools
}

fn pool(
    values: &mut Values<'_, '_>,
    value: &Value<'_>,
    fields: &DeTable<'_>,
    name: &str,
    names: &[String],
    schema: &Schema,
    interner: &mut Interner,
) -> Option<Pool> {
    values.known_keys(fields, &["name", "when", "fallback", "after"]);
    let fallback = fallback(values, fields, names);
    let retry_after_ms = retry_after_ms(values, fields, "after", DEFAULT_RETRY_AFTER_MS);
    let Some(when) = fields.get("when") else {
        values.fault(value.span(), format!("pool {name:?} has no `when`"), None);
        return None;
    };
    let when = values.string(when)?;
    let checked = values.expression(&when, schema, &Default::default(), &Type::Bool)?;
    let (name, text) = (name.to_string(), when.text);
    Some(Pool {
        name,
        text,
        when: checked.compile(interner),
        fallback,
        retry_after_ms,
    })
}

fn fallback(values: &mut Values<'_, '_>, fields: &DeTable<'_>, names: &[String]) -> Fallback {
    let Some(text) = fields
        .get("fallback")
        .and_then(|fallback| values.string(fallback))
    else {
        return Fallback::Refuse;
    };
    match (
        text.text.as_str(),
        names.iter().position(|name| *name == text.text),
    ) {
        ("refuse", _) => Fallback::Refuse,
        (ANY, _) => Fallback::Any,
        (_, Some(other)) => Fallback::Pool(other),
        (other, None) => {
            let help = nearest_pool(other, names);
            values.fault(text.span, format!("there is no pool {other:?}"), Some(help));
            Fallback::Refuse
        }
    }
}

/// Reports pools that fall back on each other in a cycle, in which no pool would ever reject or
/// serve a request.
fn refuse_cycles(values: &mut Values<'_, '_>, list: &[Value<'_>], pools: &[Pool]) {
    if pools.len() != list.len() {
        return;
    }
    for (start, value) in list.iter().enumerate() {
        let (mut at, mut steps) = (start, 0);
        while let Fallback::Pool(next) = pools[at].fallback {
            (at, steps) = (next, steps + 1);
            if at == start || steps > pools.len() {
                let problem = format!("pool {:?} falls back on itself", pools[start].name);
                let help = "one pool of the cycle must refuse, or fall back on any";
                values.fault(value.span(), problem, Some(help.into()));
                break;
            }
        }
    }
}

/// Returns the help text for an unknown pool name.
pub(crate) fn nearest_pool(wrong: &str, names: &[String]) -> String {
    nearest(wrong, names.iter().map(String::as_str).chain([ANY]))
}

/// Reads the Retry-After under a key, in ms. Returns `default` if it is missing or invalid.
pub(crate) fn retry_after_ms(
    values: &mut Values<'_, '_>,
    fields: &DeTable<'_>,
    key: &str,
    default: f64,
) -> f64 {
    let Some(text) = fields.get(key).and_then(|after| values.string(after)) else {
        return default;
    };
    match duration(&text.text).filter(|ms| (0.0..=MAX_RETRY_AFTER_MS).contains(ms)) {
        Some(ms) => ms,
        None => {
            let help = Some("expected a time up to 10m, such as \"250ms\" or \"1.5s\"".into());
            values.fault(
                text.span,
                format!("{:?} is not a valid Retry-After", text.text),
                help,
            );
            default
        }
    }
}

/// Parses a duration in the syntax of expressions; returns ms.
fn duration(text: &str) -> Option<f64> {
    let quoted = format!("duration({text:?})");
    let duration = Expression::new(&quoted, &Schema::new()).ok()?;
    match duration.eval(&NoInput, &mut Scratch::default()) {
        Ok(Some(driftgap_expr::Value::Duration(ms))) => Some(ms as f64),
        _ => None,
    }
}

/// The input of an expression that reads no fields.
struct NoInput;

impl Input for NoInput {
    fn get(&self, _: FieldId) -> Option<driftgap_expr::Value<'_>> {
        None
    }
}
