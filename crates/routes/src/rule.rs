//! Compiled rules: the test of each and its actions. Rules with equal actions share them in memory.

use crate::content_hash::ContentHash;
use crate::limit::{Allowance, Limit};
use driftgap_expr::{Compiled, Expression, Interner, SelectKey};
use std::collections::HashSet;
use std::fmt;
use std::hash::Hash;
use std::sync::Arc;

/// Average memory per expression of the tables by which expressions are shared, in bytes: an entry
/// of 24 bytes for the expression and one of 16 for a text, at a load between 7/16 and 7/8.
const TABLE_BYTES: usize = 68;
/// Size of the counters of an `Arc`, in bytes.
const ARC_HEADER: usize = 2 * size_of::<usize>();

/// What the value of an action's expression sets.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ActionKind {
    /// Rejects the request; the value is the Retry-After.
    Reject,
    /// The pool that serves the request.
    Pool,
    /// The note for the endpoint with this name.
    Note(Arc<str>),
    /// The class of the mapped request; the kinds that follow are its other values.
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

/// Writes the key as it is spelled in a file of rules, for messages to operators.
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

/// Checked expressions with their kinds, in the order of evaluation.
pub(crate) type Actions = Vec<(ActionKind, Expression)>;

/// A limit as configured in the file. A limit whose rule has an equal one after a reload keeps its
/// state.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LimitSpec {
    /// The text of its key expression.
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

/// One action of a rule: an expression, and what its value sets.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Action {
    pub(crate) kind: ActionKind,
    pub(crate) expression: Compiled,
}

/// The actions of a rule.
#[derive(PartialEq, Eq, Hash)]
pub(crate) struct Body {
    /// The actions in the order of evaluation.
    pub(crate) actions: Box<[Arc<Action>]>,
}

impl Body {
    /// Returns the memory in bytes, with this rule's share of actions that other rules also have.
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

/// Returns the share of a shared value's bytes that each owner counts. The table of shared values
/// does not count as an owner.
fn share<T>(shared: &Arc<T>, bytes: usize) -> usize {
    let owners = Arc::strong_count(shared).saturating_sub(1).max(1);
    bytes.div_ceil(owners)
}

/// A rule's limit with its state.
pub(crate) struct RuleLimit {
    pub(crate) spec: LimitSpec,
    pub(crate) limit: Arc<Limit>,
}

/// A compiled rule.
pub(crate) struct Rule {
    pub(crate) name: Box<str>,
    pub(crate) when: Compiled,
    pub(crate) key: SelectKey,
    pub(crate) body: Arc<Body>,
    pub(crate) limit: Option<Box<RuleLimit>>,
    /// The highest cost of the rule for one request, in units, including its test.
    pub(crate) cost: u64,
    /// The hash of the text that the rule was read from.
    pub(crate) content: ContentHash,
    pub(crate) continues: bool,
}

impl Rule {
    /// Returns the memory in bytes, with this rule's share of what it shares with others. The table
    /// of a limit counts in full, although it is allocated with the first request.
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

/// Returns the memory of a key's list of texts in bytes; the texts themselves belong to the test.
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

/// The tables by which rules share equal actions, across the rules in force and those of the next
/// file.
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

    /// Returns the actions of a rule, shared with rules that have equal ones.
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

    /// Drops the entries that no rule uses any more.
    pub(crate) fn sweep(&mut self) {
        self.bodies.retain(|body| Arc::strong_count(body) > 1);
        self.bodies.shrink_to_fit();
        self.actions.retain(|action| Arc::strong_count(action) > 1);
        self.actions.shrink_to_fit();
        self.interner.sweep();
    }
}

/// Returns the member of a set that is equal to the value, after adding the value if there is none.
fn intern<T: Eq + Hash>(set: &mut HashSet<Arc<T>>, value: T) -> Arc<T> {
    if let Some(known) = set.get(&value) {
        return known.clone();
    }
    let value = Arc::new(value);
    set.insert(value.clone());
    value
}
