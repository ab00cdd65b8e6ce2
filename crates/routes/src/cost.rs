//! The most that one request may spend on the rules of a file.
//!
//! A rule that the index selects by a text of the request costs nothing where the request has another text. Of all rules
//! found by one field, a request reaches those whose text the field equals and those whose beginnings it has:
//! the beginnings of one text form a chain. The costliest chain of each field, the costliest equal text behind
//! it included, and all rules that are always looked at add up to a bound that no request exceeds, whatever
//! texts it has.

use crate::rule::Rule;
use driftgap_expr::{FieldId, SelectKey};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Costs of the rules that one text selects, in units.
#[derive(Clone, Copy, Default)]
struct TextCost {
    /// By rules that the field must equal it for.
    equal: u64,
    /// By rules that the field must begin with it for.
    prefix: u64,
}

/// The most that one request spends on these rules, in units.
pub(crate) fn worst_request(rules: &[Arc<Rule>]) -> u64 {
    let mut always = 0u64;
    let mut fields: BTreeMap<FieldId, Vec<(&str, TextCost)>> = BTreeMap::new();
    for rule in rules {
        let Some((field, texts, cost)) = selection(rule) else {
            always = always.saturating_add(rule.cost);
            continue;
        };
        let texts = texts.iter().map(|text| (&**text, cost));
        fields.entry(field).or_default().extend(texts);
    }
    fields
        .into_values()
        .map(worst_text)
        .fold(always, u64::saturating_add)
}

/// The field and the texts that select a rule, and what it costs for them. None: it is evaluated for every request.
fn selection(rule: &Rule) -> Option<(FieldId, &[Arc<str>], TextCost)> {
    let equal = TextCost {
        equal: rule.cost,
        prefix: 0,
    };
    let prefix = TextCost {
        equal: 0,
        prefix: rule.cost,
    };
    match &rule.key {
        SelectKey::Always | SelectKey::Never => None,
        SelectKey::Equals(field, text) => Some((*field, std::slice::from_ref(text), equal)),
        SelectKey::EqualsAny(field, texts) => Some((*field, texts, equal)),
        SelectKey::BeginsWith(field, text) => Some((*field, std::slice::from_ref(text), prefix)),
        SelectKey::BeginsWithAny(field, texts) => Some((*field, texts, prefix)),
    }
}

/// The highest cost of the rules that one text of a field selects.
fn worst_text(mut texts: Vec<(&str, TextCost)>) -> u64 {
    // In order, each text follows its beginnings, with nothing between that does not begin with them.
    texts.sort_unstable_by_key(|(text, _)| *text);
    let mut worst = 0;
    let mut chain: Vec<(&str, u64)> = Vec::new();
    for group in texts.chunk_by(|(a, _), (b, _)| a == b) {
        let text = group[0].0;
        let sum = |cost: fn(&TextCost) -> u64| {
            group
                .iter()
                .fold(0u64, |sum, (_, costs)| sum.saturating_add(cost(costs)))
        };
        while chain
            .last()
            .is_some_and(|(prefix, _)| !text.starts_with(prefix))
        {
            chain.pop();
        }
        let before = chain.last().map_or(0, |(_, reached)| *reached);
        let reached = before.saturating_add(sum(|costs| costs.prefix));
        worst = worst.max(reached.saturating_add(sum(|costs| costs.equal)));
        chain.push((text, reached));
    }
    worst
}
