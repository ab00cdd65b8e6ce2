//! The highest cost of the rules of a file for one request.
//!
//! A rule that the index selects by a text costs nothing for a request with another text. Of the
//! rules that are selected by one field, a request reaches those whose text equals the field's
//! value and those whose text is a prefix of it. The prefixes of a text form a chain. The bound is
//! the sum of the most expensive chain of each field, including the rules for an equal text at its
//! end, and of all rules that are evaluated for every request. No request exceeds it.

use crate::rule::Rule;
use driftgap_expr::{FieldId, SelectKey};
use std::collections::BTreeMap;
use std::sync::Arc;

/// The cost of the rules that one text selects, in units.
#[derive(Clone, Copy, Default)]
struct TextCost {
    /// The cost of rules that require the field to equal the text.
    equal: u64,
    /// The cost of rules that require the field to begin with the text.
    prefix: u64,
}

/// Returns the highest cost of these rules for one request, in units.
pub(crate) fn highest_request_cost(rules: &[Arc<Rule>]) -> u64 {
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
        .map(highest_text_cost)
        .fold(always, u64::saturating_add)
}

/// Returns the field and the texts that select a rule, with its cost. Returns `None` if no text
/// selects the rule, so that it counts for every request.
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

/// Returns the highest cost of the rules that one value of a field selects.
fn highest_text_cost(mut texts: Vec<(&str, TextCost)>) -> u64 {
    // In sorted order, the texts that begin with a prefix directly follow it.
    texts.sort_unstable_by_key(|(text, _)| *text);
    let mut highest_cost = 0;
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
        highest_cost = highest_cost.max(reached.saturating_add(sum(|costs| costs.equal)));
        chain.push((text, reached));
    }
    highest_cost
}
