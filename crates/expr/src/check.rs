//! Type checker: turns the syntax tree of a text into a typed tree. It resolves every name, checks
//! every type and refuses reads of optional values that are not known to be present.
//!
//! There is one module for each concern: `scope` (local variables), `fields`, `operators`,
//! `membership` (`in`), `literals`, `functions`, `methods`, `patterns` and `messages`. `truth`
//! derives facts from tests, `merge` joins neighbouring tests, and `leaves` finds the values that
//! an expression may have. The checker never evaluates an input, and its time is bounded by the
//! length of the text.

mod fields;
mod functions;
mod leaves;
mod literals;
mod membership;
mod merge;
mod messages;
mod methods;
mod operators;
mod patterns;
mod scope;
mod truth;

pub(crate) use leaves::Leaf;

use crate::ast::{Binary, Tree, TreeKind};
use crate::constant::Const;
use crate::error::Error;
use crate::facts::Facts;
use crate::fold::fold;
use crate::node::{Func, Kind, Node};
use crate::schema::{Bound, Schema, Type};
use messages::mismatch;
use scope::Local;
use std::ops::Range;

/// Names of the methods, for suggestions in error messages.
const METHODS: [&str; 16] = [
    "size",
    "startsWith",
    "endsWith",
    "contains",
    "matches",
    "lowerAscii",
    "split",
    "inCidr",
    "orValue",
    "exists",
    "all",
    "milliseconds",
    "min",
    "max",
    "hash",
    "string",
];
/// Names of the functions, for suggestions in error messages.
const FUNCTIONS: [&str; 11] = [
    "has", "size", "int", "double", "string", "duration", "ip", "hash", "min", "max", "let",
];

/// Checks one expression.
pub(crate) struct Checker<'a> {
    schema: &'a Schema,
    /// Local variables declared so far, including those whose scope has ended.
    locals: Vec<Local>,
    /// Number of slots for local variables allocated so far.
    slots: u16,
    /// Number of regular expressions so far.
    regexes: usize,
}

/// Result of checking a part of an expression.
type CheckResult<T> = Result<T, Error>;

impl<'a> Checker<'a> {
    /// Creates a checker for one expression over a schema.
    pub(crate) fn new(schema: &'a Schema) -> Checker<'a> {
        Checker {
            schema,
            locals: Vec::new(),
            slots: 0,
            regexes: 0,
        }
    }

    /// Number of slots that the expression needs for its local variables.
    pub(crate) fn slots(&self) -> u16 {
        self.slots
    }

    /// Checks a tree that is evaluated only where `facts` hold of the input, and folds constants.
    pub(crate) fn check(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let node = self.check_unfolded(tree, facts)?;
        fold(node)
    }

    fn check_unfolded(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let span = tree.span.clone();
        match &tree.kind {
            TreeKind::Bool(v) => Ok(Node::constant(Const::Bool(*v), span)),
            TreeKind::Int(v) => Ok(Node::constant(Const::Int(*v), span)),
            TreeKind::Double(v) => Ok(Node::constant(Const::Double(*v), span)),
            TreeKind::Text(v) => Ok(Node::constant(Const::Text(v.as_str().into()), span)),
            TreeKind::Name(_) | TreeKind::Member(..) => self.variable_or_field(tree, facts),
            TreeKind::Index(of, index) => self.index(of, index, span, facts),
            TreeKind::Call(name, args) => self.call(name, args, span, facts),
            TreeKind::Method(of, name, args) => self.method(of, name, args, span, facts),
            TreeKind::Not(a) => {
                let a = self.bool(a, facts)?;
                let not = Kind::Not(a.into());
                Ok(Node::new(not, Type::Bool, Bound::default(), span))
            }
            TreeKind::Minus(a) => self.negation(a, span, facts),
            TreeKind::And(parts) => self.chain(parts, true, span, facts),
            TreeKind::Or(parts) => self.chain(parts, false, span, facts),
            TreeKind::If(test, then, otherwise) => {
                self.conditional(test, then, otherwise, span, facts)
            }
            TreeKind::Binary(Binary::In, a, b) => self.in_operator(a, b, span, facts),
            TreeKind::Binary(operator, a, b) => {
                let a = self.check(a, facts)?;
                let b = self.check(b, facts)?;
                self.binary(*operator, a, b, span)
            }
            TreeKind::List(parts) => self.list(parts, span, facts),
            TreeKind::Map(pairs) => self.map(pairs, span, facts),
            TreeKind::Let(name, value, body) => self.binding(name, value, body, span, facts),
        }
    }

    /// Checks a tree whose value must be a bool.
    fn bool(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let node = self.check(tree, facts)?;
        if node.ty == Type::Bool {
            Ok(node)
        } else {
            Err(mismatch(&node.span, "bool", &node))
        }
    }

    /// `-a`.
    fn negation(&mut self, a: &Tree, span: Range<usize>, facts: &Facts) -> CheckResult<Node> {
        let a = self.check(a, facts)?;
        if !matches!(a.ty, Type::Int | Type::Double | Type::Duration) {
            return Err(mismatch(&a.span, "a number", &a));
        }
        let ty = a.ty.clone();
        let call = Kind::Call(Func::Minus, vec![a]);
        Ok(Node::new(call, ty, Bound::default(), span))
    }

    /// `test ? then : otherwise`.
    fn conditional(
        &mut self,
        test: &Tree,
        then: &Tree,
        otherwise: &Tree,
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let test = self.bool(test, facts)?;
        let [then_facts, otherwise_facts] = self.facts(&test);
        // A branch that is never taken has no facts of its own; those from before the test suffice
        // for its types.
        let within = |branch: Option<Facts>| {
            branch
                .and_then(|branch| facts.clone().meet(branch))
                .unwrap_or_else(|| facts.clone())
        };
        let then = self.check(then, &within(then_facts))?;
        let otherwise = self.check(otherwise, &within(otherwise_facts))?;
        if then.ty != otherwise.ty {
            let problem = format!(
                "the two sides of `? :` have different types: {} and {}",
                then.ty, otherwise.ty
            );
            let error = Error::new(otherwise.span, problem);
            return Err(error.help(format!("{} was expected", then.ty)));
        }
        let bound = max_bound(then.bound, otherwise.bound);
        let ty = then.ty.clone();
        let conditional = Kind::If(test.into(), then.into(), otherwise.into());
        Ok(Node::new(conditional, ty, bound, span))
    }

    /// `let name = value; body`.
    fn binding(
        &mut self,
        name: &str,
        value: &Tree,
        body: &Tree,
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let value = self.check(value, facts)?;
        let when = (value.ty == Type::Bool).then(|| self.facts(&value));
        let path = self.path(&value);
        let slot = self.declare(name, &value, path, when, span.clone(), 1)?;
        let body = self.check(body, facts)?;
        self.end_scope(slot);
        let (ty, bound) = (body.ty.clone(), body.bound);
        let binding = Kind::Let(slot, value.into(), body.into());
        Ok(Node::new(binding, ty, bound, span))
    }

    /// `a && b && ...` if `and` is set, otherwise `a || b || ...`.
    fn chain(
        &mut self,
        parts: &[Tree],
        and: bool,
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let mut known = facts.clone();
        let mut nodes: Vec<Node> = Vec::with_capacity(parts.len().min(64));
        for part in parts {
            let node = self.bool(part, &known)?;
            // The next part is evaluated only if this one was true (and) or false (or).
            if let Some(more) = self.facts(&node)[usize::from(!and)].take() {
                known = known.meet(more).unwrap_or_else(|| facts.clone());
            }
            match node.as_const() {
                // A neutral constant does not change the result.
                Some(Const::Bool(value)) if *value == and => continue,
                _ => nodes.push(node),
            }
        }
        if !and {
            nodes = self.merged(nodes);
        }
        Ok(match (nodes.len(), and) {
            (0, _) => Node::constant(Const::Bool(and), span),
            (1, _) => nodes.remove(0),
            (_, true) => Node::new(Kind::And(nodes), Type::Bool, Bound::default(), span),
            (_, false) => Node::new(Kind::Or(nodes), Type::Bool, Bound::default(), span),
        })
    }
}

/// A bound that holds for either of two values.
fn max_bound(a: Bound, b: Bound) -> Bound {
    Bound::new(a.bytes.max(b.bytes), a.items.max(b.items))
}
