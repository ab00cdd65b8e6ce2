//! From the tree of a text to a typed tree: every name is known, every type fits, every read of what may be absent is
//! guarded.
//!
//! One module a concern: `scope` (local variables), `fields`, `operators`, `membership` (`in`), `literals`, `functions`,
//! `methods`, `patterns`, `messages`; `truth` derives facts from tests, `merge` joins neighbouring tests, `leaves` finds
//! the values that an expression may have. The checker must never evaluate anything of an input, or take longer than the
//! text's length warrants.

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

use crate::ast::{Binary, Tree, What};
use crate::constant::Const;
use crate::error::Error;
use crate::facts::Facts;
use crate::fold::fold;
use crate::node::{Func, Kind, Node};
use crate::schema::{Bound, Schema, Type};
use messages::mismatch;
use scope::Local;
use std::ops::Range;

/// Names of the methods, for messages.
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
/// Names of the functions, for messages.
const FUNCTIONS: [&str; 11] = [
    "has", "size", "int", "double", "string", "duration", "ip", "hash", "min", "max", "let",
];

/// Types one expression.
pub(crate) struct Checker<'a> {
    schema: &'a Schema,
    /// Local variables, those whose scope has ended among them.
    names: Vec<Local>,
    /// Slots that the local variables take so far.
    slots: u16,
    /// Regular expressions so far.
    regexes: usize,
}

/// What checking a part of an expression gives.
type CheckResult<T> = Result<T, Error>;

impl<'a> Checker<'a> {
    /// A checker for an expression over this schema.
    pub(crate) fn new(schema: &'a Schema) -> Checker<'a> {
        Checker {
            schema,
            names: Vec::new(),
            slots: 0,
            regexes: 0,
        }
    }

    /// Slots that the expression needs for its local variables.
    pub(crate) fn slots(&self) -> u16 {
        self.slots
    }

    /// Types a tree that is evaluated where `facts` hold of the input, and folds its constants.
    pub(crate) fn check(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let node = self.typed(tree, facts)?;
        fold(node)
    }

    fn typed(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let span = tree.span.clone();
        match &tree.what {
            What::Bool(v) => Ok(Node::constant(Const::Bool(*v), span)),
            What::Int(v) => Ok(Node::constant(Const::Int(*v), span)),
            What::Double(v) => Ok(Node::constant(Const::Double(*v), span)),
            What::Text(v) => Ok(Node::constant(Const::Text(v.as_str().into()), span)),
            What::Name(_) | What::Member(..) => self.place(tree, facts),
            What::Index(of, index) => self.index(of, index, span, facts),
            What::Call(name, args) => self.call(name, args, span, facts),
            What::Method(of, name, args) => self.method(of, name, args, span, facts),
            What::Not(a) => {
                let a = self.bool(a, facts)?;
                let not = Kind::Not(a.into());
                Ok(Node::new(not, Type::Bool, Bound::default(), span))
            }
            What::Minus(a) => self.minus(a, span, facts),
            What::And(parts) => self.chain(parts, true, span, facts),
            What::Or(parts) => self.chain(parts, false, span, facts),
            What::If(test, yes, no) => self.conditional(test, yes, no, span, facts),
            What::Binary(Binary::In, a, b) => self.is_in(a, b, span, facts),
            What::Binary(operator, a, b) => {
                let a = self.check(a, facts)?;
                let b = self.check(b, facts)?;
                self.binary(*operator, a, b, span)
            }
            What::List(parts) => self.list(parts, span, facts),
            What::Map(pairs) => self.map(pairs, span, facts),
            What::Let(name, value, body) => self.binding(name, value, body, span, facts),
        }
    }

    /// A value that must be a bool.
    fn bool(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let node = self.check(tree, facts)?;
        if node.ty == Type::Bool {
            Ok(node)
        } else {
            Err(mismatch(&node.span, "bool", &node))
        }
    }

    /// `-a`.
    fn minus(&mut self, a: &Tree, span: Range<usize>, facts: &Facts) -> CheckResult<Node> {
        let a = self.check(a, facts)?;
        if !matches!(a.ty, Type::Int | Type::Double | Type::Duration) {
            return Err(mismatch(&a.span, "a number", &a));
        }
        let ty = a.ty.clone();
        let call = Kind::Call(Func::Minus, vec![a]);
        Ok(Node::new(call, ty, Bound::default(), span))
    }

    /// `test ? yes : no`.
    fn conditional(
        &mut self,
        test: &Tree,
        yes: &Tree,
        no: &Tree,
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let test = self.bool(test, facts)?;
        let [yes_facts, no_facts] = self.facts(&test);
        // On a branch that is never taken anything holds. What was known before is enough for its types.
        let within = |branch: Option<Facts>| {
            branch
                .and_then(|branch| facts.clone().meet(branch))
                .unwrap_or_else(|| facts.clone())
        };
        let yes = self.check(yes, &within(yes_facts))?;
        let no = self.check(no, &within(no_facts))?;
        if yes.ty != no.ty {
            let problem = format!("the two sides of `? :` differ: {} and {}", yes.ty, no.ty);
            let error = Error::new(no.span, problem);
            return Err(error.help(format!("{} was expected", yes.ty)));
        }
        let bound = larger(yes.bound, no.bound);
        let ty = yes.ty.clone();
        let conditional = Kind::If(test.into(), yes.into(), no.into());
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
        self.close(slot);
        let (ty, bound) = (body.ty.clone(), body.bound);
        let binding = Kind::Let(slot, value.into(), body.into());
        Ok(Node::new(binding, ty, bound, span))
    }

    /// `a && b && ...` where `and`, else `a || b || ...`.
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
            // The next part is evaluated only where this one was true (and) or false (or).
            if let Some(more) = self.facts(&node)[usize::from(!and)].take() {
                known = known.meet(more).unwrap_or_else(|| facts.clone());
            }
            match node.as_const() {
                // It does not change the result.
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

/// A bound for either of two values.
fn larger(a: Bound, b: Bound) -> Bound {
    Bound::new(a.bytes.max(b.bytes), a.items.max(b.items))
}
