//! A rule as it is kept in memory: its compiled test, and what it does. Rules that do the same share that.

use crate::content_hash::ContentHash;
use crate::limit::{Allowance, Limit};
use driftgap_expr::{Compiled, Expression, Interner, SelectKey};
use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;
use std::sync::Arc;

/// Bytes that the tables by which expressions are shared take for one of its own, on average: an entry for it and
/// one for a text of its, of 24 and 16 bytes, at a load between 7/16 and 7/8.
const TABLE_BYTES: usize = 68;
/// Bytes that an `Arc` takes besides its value.
const ARC_HEADER: usize = 2 * size_of::<usize>();

/// What an expression of a rule is for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ActionKind {
    /// Rejects the request; the value is the Retry-After.
    Reject,
    /// The pool that serves it.
    Pool,
    /// A note for the endpoint, by name.
    Note(Arc<str>),
    /// The class of the mapped request; the next ones are its other values.
    Class,
    Plan,
    /// The tenant.
    Partner,
    Id,
    Units,
    Deadline,
    Spread,
    First,
    Term(Arc<str>),
    /// The key of the rule's limit.
    LimitKey,
}

/// As the rules' language spells it, for operators.
impl fmt::Display for ActionKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ActionKind::Reject => "nack",
            ActionKind::Pool => "pool",
            ActionKind::Note(name) | ActionKind::Term(name) => name,
            ActionKind::Class => "class",
            ActionKind::Plan => "plan",
            ActionKind::Partner => "partner",
            ActionKind::Id => "id",
            ActionKind::Units => "units",
            ActionKind::Deadline => "deadline",
            ActionKind::Spread => "spread",
            ActionKind::First => "first",
            ActionKind::LimitKey => "limit.key",
        })
    }
}

/// Checked expressions with what they are for, in the order of their evaluation.
pub(crate) type Actions = Vec<(ActionKind, Expression)>;

/// A limit as the file states it. If it is equal under the same rule after a reload, the limit keeps its state.
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
    pub(crate) actions: Actions,
    pub(crate) limit: Option<LimitSpec>,
    pub(crate) continues: bool,
}

/// An expression of a rule.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Action {
    pub(crate) kind: ActionKind,
    pub(crate) expression: Compiled,
}

/// What a rule does.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Body {
    /// In the order of their evaluation.
    pub(crate) actions: Box<[Arc<Action>]>,
}

impl Body {
    /// Bytes on the heap, with its share of the parts that others have as well.
    fn heap_bytes(&self) -> usize {
        let actions = self
            .actions
            .iter()
            .map(|action| size_of::<Arc<Action>>() + share(action, action.heap_bytes()));
        ARC_HEADER + size_of::<Body>() + actions.sum::<usize>()
    }
}

impl Action {
    fn heap_bytes(&self) -> usize {
        ARC_HEADER + size_of::<Action>() + self.expression.heap_bytes() + TABLE_BYTES
    }
}

/// The part of a shared value's bytes that each owner counts. The table by which they share it is no owner.
fn share<T>(shared: &Arc<T>, bytes: usize) -> usize {
    let owners = Arc::strong_count(shared).saturating_sub(1).max(1);
    bytes.div_ceil(owners)
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
    pub(crate) continues: bool,
}

impl Rule {
    /// Bytes on the heap, with its part of what it shares with others. A limit's table counts in full, though it is
    /// allocated with the first request.
    pub(crate) fn heap_bytes(&self) -> usize {
        let own = ARC_HEADER + size_of::<Rule>() + self.name.len();
        let expressions = self.when.heap_bytes() + key_bytes(&self.key) + TABLE_BYTES;
        own + expressions + share(&self.body, self.body.heap_bytes()) + self.limit_bytes()
    }

    fn limit_bytes(&self) -> usize {
        let bytes = |limit: &RuleLimit| {
            size_of::<RuleLimit>()
                + limit.spec.key.len()
                + ARC_HEADER
                + size_of::<Limit>()
                + limit.limit.heap_bytes()
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
        SelectKey::Always
        | SelectKey::Never
        | SelectKey::Equals(..)
        | SelectKey::BeginsWith(..) => 0,
    }
}

/// The tables by which rules share equal parts, those in force and those of the next file alike.
#[derive(Default)]
pub(crate) struct SharedTables {
    pub(crate) interner: Interner,
    actions: HashSet<Arc<Action>>,
    bodies: HashSet<Arc<Body>>,
}

impl SharedTables {
    /// Compiles a rule; `limit` is its limit, if it has one.
    pub(crate) fn rule(
        &mut self,
        checked: &CheckedRule,
        content: ContentHash,
        limit: Option<Box<RuleLimit>>,
    ) -> Rule {
        let when = checked.when.compile(&mut self.interner);
        let key = checked.when.select_key(&mut self.interner);
        let actions_cost: u64 = checked
            .actions
            .iter()
            .map(|(_, action)| action.cost())
            .sum();
        let cost = checked.when.cost() + actions_cost;
        let body = self.body(checked);
        let name = checked.name.as_str().into();
        Rule {
            name,
            when,
            key,
            body,
            limit,
            cost,
            content,
            continues: checked.continues,
        }
    }

    /// What a rule does, shared with the rules that do the same.
    fn body(&mut self, checked: &CheckedRule) -> Arc<Body> {
        let actions = checked
            .actions
            .iter()
            .map(|(kind, action)| self.action(kind, action))
            .collect();
        intern(&mut self.bodies, Body { actions })
    }

    fn action(&mut self, kind: &ActionKind, checked: &Expression) -> Arc<Action> {
        let kind = match kind {
            ActionKind::Note(name) => ActionKind::Note(self.interner.text(name)),
            ActionKind::Term(name) => ActionKind::Term(self.interner.text(name)),
            kind => kind.clone(),
        };
        let expression = checked.compile(&mut self.interner);
        intern(&mut self.actions, Action { kind, expression })
    }

    /// Drops what no rule uses any more.
    pub(crate) fn sweep(&mut self) {
        self.bodies.retain(|body| Arc::strong_count(body) > 1);
        self.bodies.shrink_to_fit();
        self.actions.retain(|action| Arc::strong_count(action) > 1);
        self.actions.shrink_to_fit();
        self.interner.sweep();
    }
}

/// The member of a set that is equal to the value; the value itself becomes one where there is none.
fn intern<T: Eq + Hash>(set: &mut HashSet<Arc<T>>, value: T) -> Arc<T> {
    if let Some(known) = set.get(&value) {
        return known.clone();
    }
    let value = Arc::new(value);
    set.insert(value.clone());
    value
}
