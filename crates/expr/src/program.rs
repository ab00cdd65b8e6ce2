//! Compiles a typed tree to bytecode and computes its worst-case cost. Each method returns the cost
//! of the code that it emits, in units, by the formulas that the machine spends by
//! ([`crate::price`]), so that an evaluation cannot exceed the computed cost.

use crate::ast::Binary;
use crate::code::{Code, Op, Shape};
use crate::constant::{Const, Operand, Pattern};
use crate::node::{Func, Kind, Node};
use crate::price;
use crate::schema::{FieldId, Schema, Type};
use crate::text_index::PrefixIndex;
use std::sync::Arc;

/// A compiled expression.
pub(crate) struct Program {
    /// The instructions.
    pub(crate) shape: Arc<Shape>,
    /// The constants.
    pub(crate) operands: Box<[Operand]>,
}

/// Cost of a part of an expression, summed over all its evaluations.
pub(crate) struct Part {
    /// Byte range of the part in the expression's text.
    pub(crate) span: std::ops::Range<usize>,
    /// Maximum cost of the part, in units: one for each instruction, and more for long inputs
    /// ([`crate::price`]).
    pub(crate) cost: u64,
    /// Index of the parent in the list of parts; the whole expression is its own parent.
    pub(crate) parent: usize,
}

/// Emits the code of one expression.
struct Compiler<'p> {
    ops: Vec<Op>,
    operands: Vec<Operand>,
    parts: Vec<Part>,
    /// Index of the part that is being compiled.
    parent: usize,
    /// Maximum number of evaluations of the part that is being compiled.
    max_runs: u64,
    schema: &'p Schema,
}

/// Maximum number of operands: their indices have 16 bits.
const MAX_OPERANDS: usize = 1 << 16;

impl Compiler<'_> {
    /// Appends an instruction and returns its index.
    fn emit(&mut self, op: Op) -> usize {
        self.ops.push(op);
        self.ops.len() - 1
    }

    /// Appends an operand and returns its index.
    fn operand(&mut self, value: Operand) -> u16 {
        // `MAX_TOKENS` keeps the number of operands far below this maximum.
        debug_assert!(self.operands.len() < MAX_OPERANDS);
        self.operands.push(value);
        (self.operands.len() - 1) as u16
    }

    /// Sets the target of the jump at this index to the next instruction.
    fn patch_jump(&mut self, jump: usize) {
        let to = self.ops.len() as u32;
        if let Some(
            Op::Jump(t)
            | Op::JumpIfFalseOrPop(t)
            | Op::JumpIfTrueOrPop(t)
            | Op::PopJumpIfFalse(t)
            | Op::JumpIfPresentOrPop(t)
            | Op::Next(_, t),
        ) = self.ops.get_mut(jump)
        {
            *t = to;
        }
    }

    /// Compiles a node, records it as a part and returns its worst-case cost, in units.
    fn node(&mut self, node: &Node) -> u64 {
        let index = self.parts.len();
        self.parts.push(Part {
            span: node.span.clone(),
            cost: 0,
            parent: self.parent,
        });
        let parent = std::mem::replace(&mut self.parent, index);
        let cost = self.emit_node(node);
        self.parent = parent;
        self.parts[index].cost = cost.saturating_mul(self.max_runs);
        cost
    }

    /// Returns the text field that a node reads, if the field is known to be present.
    fn text_field(&self, node: &Node) -> Option<FieldId> {
        match &node.kind {
            Kind::Field(id) if node.ty == Type::Text => Some(*id),
            Kind::Unwrap(of) => match &of.kind {
                Kind::Field(id) if node.ty == Type::Text => Some(*id),
                _ => None,
            },
            _ => None,
        }
    }

    /// Emits the code of a node and returns its worst-case cost, in units.
    fn emit_node(&mut self, node: &Node) -> u64 {
        match &node.kind {
            Kind::Const(value) => self.push(value.clone()),
            Kind::Field(id) => {
                let ty = self.schema.get(*id).map(|field| &field.ty);
                let op = match ty {
                    Some(Type::List(_)) => Op::List(*id),
                    Some(Type::Map(_)) => Op::Map(*id),
                    _ => Op::Field(*id),
                };
                self.single(op)
            }
            Kind::Local(slot) => self.single(Op::Local(*slot)),
            Kind::Unwrap(a) => self.unary(a, Op::Unwrap),
            Kind::Has(a) => self.unary(a, Op::Has),
            Kind::Not(a) => self.unary(a, Op::Not),
            Kind::Item(a, b) => self.node(a) + self.unary(b, Op::Item),
            Kind::Lookup(a, b) => {
                self.node(a) + self.unary(b, Op::Lookup) + price::lookup(bytes(b))
            }
            Kind::InList(a, list) => self.in_list(a, list),
            Kind::OrValue(a, default) => self.or_value(a, default),
            Kind::Let(slot, value, body) => self.unary(value, Op::Store(*slot)) + self.node(body),
            Kind::And(parts) => self.chain(parts, Op::JumpIfFalseOrPop(0)),
            Kind::Or(parts) => self.chain(parts, Op::JumpIfTrueOrPop(0)),
            Kind::If(test, then, otherwise) => self.conditional(test, then, otherwise),
            Kind::Binary(operator, a, b) => self.binary(*operator, a, b),
            Kind::Call(func, args) => self.call(*func, args),
            Kind::InSet(a, set) => self.in_set(a, set),
            Kind::BeginsWithAny(a, all) => self.begins_with_any(a, all),
            Kind::Matches(a, pattern) => self.matches(a, pattern),
            Kind::InCidrs(a, networks) => {
                let extra = price::networks(networks.len() as u64);
                let index = self.operand(Operand::Networks(networks.as_slice().into()));
                self.unary(a, Op::InCidrs(index)) + extra
            }
            Kind::Loop {
                all,
                slot,
                list,
                test,
            } => self.loop_over(*all, *slot, list, test),
        }
    }

    /// Emits an instruction that takes nothing from the stack.
    fn single(&mut self, op: Op) -> u64 {
        self.emit(op);
        1
    }

    /// Emits a push of a constant.
    fn push(&mut self, value: Const) -> u64 {
        let index = self.operand(Operand::Value(value));
        self.single(Op::Push(index))
    }

    /// Compiles `a in list`, for a list that is not constant.
    fn in_list(&mut self, a: &Node, list: &Node) -> u64 {
        let items = u64::from(list.bound.items);
        let each = 1 + price::compare(bytes(a), bytes(list));
        self.node(a) + self.unary(list, Op::InList) + items * each
    }

    /// Compiles `a.orValue(default)`.
    fn or_value(&mut self, a: &Node, default: &Node) -> u64 {
        let cost = self.unary(a, Op::JumpIfPresentOrPop(0));
        let jump = self.ops.len() - 1;
        let cost = cost + self.node(default);
        self.patch_jump(jump);
        cost
    }

    /// Compiles `test ? then : otherwise`; the cost is that of the more expensive branch.
    fn conditional(&mut self, test: &Node, then: &Node, otherwise: &Node) -> u64 {
        let cost = self.unary(test, Op::PopJumpIfFalse(0));
        let branch = self.ops.len() - 1;
        let then = self.unary(then, Op::Jump(0));
        let jump = self.ops.len() - 1;
        self.patch_jump(branch);
        let otherwise = self.node(otherwise);
        self.patch_jump(jump);
        cost + then.max(otherwise)
    }

    fn binary(&mut self, operator: Binary, a: &Node, b: &Node) -> u64 {
        let is_field_test = self.text_field(a).is_some() && b.as_const().is_some();
        if operator == Binary::Equal && is_field_test {
            return self.field_test(a, b, Op::FieldIs) + price::compare(bytes(a), bytes(b));
        }
        let extra = match (operator, &a.ty) {
            (Binary::Add, Type::Text) => price::copy(bytes(a) + bytes(b)),
            (_, Type::Text) => price::compare(bytes(a), bytes(b)),
            _ => 0,
        };
        self.node(a) + self.unary(b, Op::Binary(operator)) + extra
    }

    fn in_set(&mut self, a: &Node, set: &Const) -> u64 {
        let index = self.operand(Operand::Value(set.clone()));
        let extra = price::lookup(bytes(a));
        match self.text_field(a) {
            Some(id) => self.single(Op::FieldInSet(id, index)) + extra,
            None => self.unary(a, Op::InSet(index)) + extra,
        }
    }

    fn begins_with_any(&mut self, a: &Node, all: &[Arc<str>]) -> u64 {
        let prefixes = PrefixIndex::new(all.iter().map(|text| (text.clone(), 0)).collect());
        let extra = price::prefixes(bytes(a), prefixes.longest() as u64);
        let index = self.operand(Operand::Prefixes(prefixes.into()));
        self.unary(a, Op::BeginsWithAny(index)) + extra
    }

    fn matches(&mut self, a: &Node, pattern: &Arc<str>) -> u64 {
        let Ok(pattern) = Pattern::new(pattern) else {
            // The checker has compiled this pattern already. If it fails now, the evaluation fails
            // as well, since no operand has this index.
            return self.unary(a, Op::InSet(u16::MAX));
        };
        let extra = price::matches(bytes(a), pattern.length());
        let index = self.operand(Operand::Pattern(pattern.into()));
        self.unary(a, Op::Matches(index)) + extra
    }

    /// Compiles `list.exists(x, test)` or `list.all(x, test)`. `slot` holds the variable, the next
    /// two slots hold the index and the list.
    fn loop_over(&mut self, all: bool, slot: u16, list: &Node, test: &Node) -> u64 {
        let before = self.unary(list, Op::Store(slot + 2)) + self.push(Const::Int(0));
        let before = before + self.single(Op::Store(slot + 1));
        let next = self.emit(Op::Next(slot, 0));
        let max_runs = self.max_runs;
        let items = u64::from(list.bound.items);
        self.max_runs = max_runs.saturating_mul(items);
        let stop = if all {
            Op::JumpIfFalseOrPop(0)
        } else {
            Op::JumpIfTrueOrPop(0)
        };
        let each = self.unary(test, stop);
        let exit = self.ops.len() - 1;
        self.max_runs = max_runs;
        self.emit(Op::Jump(next as u32));
        self.patch_jump(next);
        let after = self.push(Const::Bool(all));
        self.patch_jump(exit);
        // Each iteration runs `Next` and `Jump`; the last `Next` ends the loop.
        before + items * (each + 2) + 1 + after
    }

    /// Compiles a node and emits an instruction on its value.
    fn unary(&mut self, of: &Node, op: Op) -> u64 {
        let cost = self.node(of);
        self.emit(op);
        cost + 1
    }

    /// Compiles operands of `&&` or `||`, of which each is evaluated only if the ones before do not
    /// decide the result.
    fn chain(&mut self, parts: &[Node], op: Op) -> u64 {
        let mut jumps = Vec::new();
        let mut cost = 0u64;
        for (i, part) in parts.iter().enumerate() {
            cost += self.node(part);
            if i + 1 < parts.len() {
                cost += 1;
                jumps.push(self.emit(op));
            }
        }
        jumps.into_iter().for_each(|jump| self.patch_jump(jump));
        cost
    }

    /// Emits a test of a field against a constant as one instruction.
    fn field_test(&mut self, field: &Node, with: &Node, op: fn(FieldId, u16) -> Op) -> u64 {
        if let (Some(id), Some(value)) = (self.text_field(field), with.as_const()) {
            let at = self.operand(Operand::Value(value.clone()));
            self.emit(op(id, at));
        }
        1
    }

    fn call(&mut self, func: Func, args: &[Node]) -> u64 {
        let bytes = |i: usize| {
            args.get(i)
                .map_or(0, |node: &Node| u64::from(node.bound.bytes))
        };
        let first = &args[0];
        match func {
            Func::Hash => {
                let max = match args[1].as_const() {
                    Some(Const::Int(max)) => *max as u32,
                    _ => 1,
                };
                self.unary(first, Op::Hash(max)) + price::hash(bytes(0))
            }
            Func::Split => {
                let (Some(separator), Some(Const::Int(max))) =
                    (args[1].as_const(), args[2].as_const())
                else {
                    return 0;
                };
                let max = *max as u16;
                let separator = self.operand(Operand::Value(separator.clone()));
                self.unary(first, Op::Split(separator, max))
                    + price::split(bytes(0), u64::from(max))
            }
            Func::StartsWith
                if self.text_field(first).is_some() && args[1].as_const().is_some() =>
            {
                self.field_test(first, &args[1], Op::FieldBegins)
                    + price::compare(bytes(0), bytes(1))
            }
            Func::StartsWith | Func::EndsWith => {
                self.node(first)
                    + self.unary(&args[1], Op::Call(func))
                    + price::compare(bytes(0), bytes(1))
            }
            Func::Contains => {
                self.node(first)
                    + self.unary(&args[1], Op::Call(func))
                    + price::contains(bytes(0), bytes(1))
            }
            Func::Min | Func::Max => self.node(first) + self.unary(&args[1], Op::Call(func)),
            Func::LowerAscii => self.unary(first, Op::Call(func)) + price::copy(bytes(0)),
            Func::ToInt | Func::ToDouble | Func::ToIp => {
                self.unary(first, Op::Call(func)) + price::PARSE
            }
            Func::ToText => self.unary(first, Op::Call(func)) + price::FORMAT,
            Func::Size | Func::Milliseconds | Func::Minus => self.unary(first, Op::Call(func)),
        }
    }
}

/// Returns the maximum length of a node's text, in bytes.
fn bytes(node: &Node) -> u64 {
    u64::from(node.bound.bytes)
}

impl Program {
    /// Compiles a typed tree; also returns the cost of each part, in units.
    pub(crate) fn new(node: &Node, slots: u16, schema: &Schema) -> (Program, Vec<Part>) {
        let (ops, operands, parts) = (Vec::new(), Vec::new(), Vec::new());
        let mut compiler = Compiler {
            ops,
            operands,
            parts,
            parent: 0,
            max_runs: 1,
            schema,
        };
        let cost = compiler.node(node);
        let shape = Shape {
            ops: compiler.ops.into(),
            slots,
            cost,
        };
        (
            Program {
                shape: shape.into(),
                operands: compiler.operands.into(),
            },
            compiler.parts,
        )
    }

    /// Returns the maximum cost of an evaluation, in units.
    pub(crate) fn cost(&self) -> u64 {
        self.shape.cost
    }

    /// Returns the program as the machine runs it.
    pub(crate) fn code(&self) -> Code<'_> {
        Code {
            shape: &self.shape,
            operands: &self.operands,
        }
    }
}
