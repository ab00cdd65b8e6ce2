//! A rule as it is kept: its compiled test, and what it does, which rules that do the same share.

use crate::content::ContentHash;
use crate::limit::{Allowance, Limit};
use driftgap_expr::{Compiled, Expression, Interner, SelectKey};
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;

/// Bytes that an `Arc` takes besides its value.
const ARC_HEADER: usize = 2 * size_of::<usize>();

/// What an expression of a rule is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum PartName {
    Nack,
    Pool,
    Note(Arc<str>),
    Class,
    Plan,
    Partner,
    Id,
    Units,
    Deadline,
    Spread,
    First,
    Term(Arc<str>),
    LimitKey,
}

impl fmt::Display for PartName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            PartName::Nack => "nack",
            PartName::Pool => "pool",
            PartName::Note(name) | PartName::Term(name) => name,
            PartName::Class => "class",
            PartName::Plan => "plan",
            PartName::Partner => "partner",
            PartName::Id => "id",
            PartName::Units => "units",
            PartName::Deadline => "deadline",
            PartName::Spread => "spread",
            PartName::First => "first",
            PartName::LimitKey => "limit.key",
        })
    }
}

/// Expression expressions with what they are for, in the order of their evaluation.
pub(crate) type Parts = Vec<(PartName, Expression)>;

/// A limit as the file has it: one that is equal under the same rule keeps its state when the file is read again.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitSpec {
    /// The text of its key.
    pub(crate) key: Box<str>,
    pub(crate) allowance: Allowance,
    pub(crate) keys: usize,
}

/// A rule whose expressions are checked and not yet compiled.
pub(crate) struct CheckedRule {
    pub(crate) name: String,
    pub(crate) when: Expression,
    pub(crate) parts: Parts,
    pub(crate) limit: Option<LimitSpec>,
    pub(crate) goes_on: bool,
}

/// An expression of a rule.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Part {
    pub(crate) name: PartName,
    pub(crate) expression: Compiled,
}

/// What a rule does.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Body {
    /// In the order of their evaluation.
    pub(crate) parts: Box<[Part]>,
}

impl Body {
    /// Bytes on the heap.
    fn heap_bytes(&self) -> usize {
        let parts = self.parts.iter().map(|part| size_of::<Part>() + part.expression.heap_bytes());
        ARC_HEADER + size_of::<Body>() + parts.sum::<usize>()
    }
}

/// A rule's limit with its state.
pub(crate) struct RuleLimit {
    pub(crate) spec: LimitSpec,
    pub(crate) limit: Arc<Limit>,
}

/// A rule.
pub(crate) struct Rule {
    pub(crate) name: Box<str>,
    pub(crate) when: Compiled,
    pub(crate) key: SelectKey,
    pub(crate) body: Arc<Body>,
    pub(crate) limit: Option<Box<RuleLimit>>,
    /// The most that one request spends on it, its test included, in units.
    pub(crate) cost: u64,
    /// The hash of the text that it was read from.
    pub(crate) content: ContentHash,
    pub(crate) goes_on: bool,
}

impl Rule {
    /// Bytes on the heap, with its share of what it has in common with others. A limit's places count in full,
    /// though they are allocated with its first request.
    pub(crate) fn heap_bytes(&self) -> usize {
        let own = ARC_HEADER + size_of::<Rule>() + self.name.len();
        let expressions = self.when.heap_bytes() + key_bytes(&self.key);
        // One more holds the body: the table by which it is shared.
        let sharing = Arc::strong_count(&self.body).saturating_sub(1).max(1);
        own + expressions + self.body.heap_bytes().div_ceil(sharing) + self.limit_bytes()
    }

    fn limit_bytes(&self) -> usize {
        let bytes = |limit: &RuleLimit| {
            size_of::<RuleLimit>()
                + limit.spec.key.len()
                + ARC_HEADER
                + size_of::<Limit>()
                + limit.limit.memory()
        };
        self.limit.as_deref().map_or(0, bytes)
    }
}

/// Bytes of a key's list of texts; the texts are those of the test.
fn key_bytes(key: &SelectKey) -> usize {
    match key {
        SelectKey::EqualsAny(_, texts) | SelectKey::BeginsWithAny(_, texts) => {
            ARC_HEADER + size_of_val::<[Arc<str>]>(texts)
        }
        SelectKey::Always | SelectKey::Never | SelectKey::Equals(..) | SelectKey::BeginsWith(..) => 0,
    }
}

/// What rules share, those in force and those of the next file alike.
#[derive(Default)]
pub(crate) struct Shared {
    pub(crate) interner: Interner,
    bodies: HashSet<Arc<Body>>,
}

impl Shared {
    /// Compiles a rule; `limit` is its limit, if it has one.
    pub(crate) fn rule(
        &mut self,
        checked: &CheckedRule,
        content: ContentHash,
        limit: Option<Box<RuleLimit>>,
    ) -> Rule {
        let when = checked.when.compile(&mut self.interner);
        let key = checked.when.select_key(&mut self.interner);
        let parts_cost: u64 = checked.parts.iter().map(|(_, part)| part.cost()).sum();
        let cost = checked.when.cost() + parts_cost;
        let body = self.body(checked);
        let name = checked.name.as_str().into();
        Rule { name, when, key, body, limit, cost, content, goes_on: checked.goes_on }
    }

    /// What a rule does; one that does the same is shared.
    fn body(&mut self, checked: &CheckedRule) -> Arc<Body> {
        let interner = &mut self.interner;
        let part = |(name, part): &(PartName, Expression)| Part {
            name: match name {
                PartName::Note(name) => PartName::Note(interner.text(name)),
                PartName::Term(name) => PartName::Term(interner.text(name)),
                name => name.clone(),
            },
            expression: part.compile(interner),
        };
        let body = Body { parts: checked.parts.iter().map(part).collect() };
        if let Some(known) = self.bodies.get(&body) {
            return known.clone();
        }
        let body = Arc::new(body);
        self.bodies.insert(body.clone());
        body
    }

    /// Forgets what no rule needs any more.
    pub(crate) fn sweep(&mut self) {
        self.bodies.retain(|body| Arc::strong_count(body) > 1);
        self.bodies.shrink_to_fit();
        self.interner.sweep();
    }
}
