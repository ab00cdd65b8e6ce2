//! From a typed tree to a flat program and its worst-case cost. A program has two parts: its shape, which many
//! programs may share, and its operands, the constants that its steps refer to by number.

use crate::ast::Binary;
use crate::constant::{Const, Operand, Pattern};
use crate::machine::Code;
use crate::node::{Func, Kind, Node};
use crate::price;
use crate::schema::{FieldId, Schema, Type};
use crate::text_index::PrefixIndex;
use std::sync::Arc;

/// A step of the machine. Operands, fields and locals are given by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Op {
    Push(u16),
    Field(FieldId),
    List(FieldId),
    Map(FieldId),
    Local(u16),
    Store(u16),
    Jump(u32),
    /// Jumps where the top is false and keeps it, else drops it.
    AndJump(u32),
    /// Jumps where the top is true and keeps it, else drops it.
    OrJump(u32),
    /// Drops the top and jumps where it is false.
    Branch(u32),
    /// Jumps where the top is there and keeps it, else drops it.
    SomeJump(u32),
    Sure,
    Has,
    Not,
    Binary(Binary),
    Item,
    Lookup,
    InList,
    Call(Func),
    Hash(u32),
    Split(u16, u16),
    InSet(u16),
    BeginsWithAny(u16),
    Matches(u16),
    InCidrs(u16),
    /// The next item of the list in `slot + 2` into `slot`, or a jump where there is none.
    Next(u16, u32),
    FieldIs(FieldId, u16),
    FieldInSet(FieldId, u16),
    FieldBegins(FieldId, u16),
}

/// What programs share that differ in nothing but their constants. The cost is part of it: where longer
/// constants make a program cost more, its shape is another one.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    pub(crate) ops: Box<[Op]>,
    /// Locals that the steps use.
    pub(crate) slots: u16,
    /// The most that an evaluation costs.
    pub(crate) cost: u64,
}

/// An expression, ready to run.
pub(crate) struct Program {
    pub(crate) shape: Arc<Shape>,
    pub(crate) operands: Box<[Operand]>,
}

/// Cost of a part of an expression, over all the times that it runs.
pub(crate) struct Part {
    pub(crate) span: std::ops::Range<usize>,
    pub(crate) cost: u64,
    /// Its parent's number in the list; the whole is its own.
    pub(crate) parent: usize,
}

struct Coder<'p> {
    ops: Vec<Op>,
    operands: Vec<Operand>,
    parts: Vec<Part>,
    parent: usize,
    /// How often the part that is being written runs at most.
    times: u64,
    schema: &'p Schema,
}

/// Most operands: their numbers have 16 bits.
const MAX_OPERANDS: usize = 1 << 16;

impl Coder<'_> {
    fn emit(&mut self, op: Op) -> usize {
        self.ops.push(op);
        self.ops.len() - 1
    }

    fn operand(&mut self, value: Operand) -> u16 {
        // The bound on tokens keeps it far below.
        debug_assert!(self.operands.len() < MAX_OPERANDS);
        self.operands.push(value);
        (self.operands.len() - 1) as u16
    }

    /// Lets a jump lead to what comes next.
    fn land(&mut self, at: usize) {
        let to = self.ops.len() as u32;
        if let Some(
            Op::Jump(t)
            | Op::AndJump(t)
            | Op::OrJump(t)
            | Op::Branch(t)
            | Op::SomeJump(t)
            | Op::Next(_, t),
        ) = self.ops.get_mut(at)
        {
            *t = to;
        }
    }

    /// Writes a node; what it costs at worst.
    fn node(&mut self, node: &Node) -> u64 {
        let number = self.parts.len();
        self.parts.push(Part {
            span: node.span.clone(),
            cost: 0,
            parent: self.parent,
        });
        let parent = std::mem::replace(&mut self.parent, number);
        let cost = self.write(node);
        self.parent = parent;
        self.parts[number].cost = cost.saturating_mul(self.times);
        cost
    }

    /// The field that a node reads, known to be there, where that is a text.
    fn text_field(&self, node: &Node) -> Option<FieldId> {
        match &node.kind {
            Kind::Field(id) if node.ty == Type::Text => Some(*id),
            Kind::Sure(of) => match &of.kind {
                Kind::Field(id) if node.ty == Type::Text => Some(*id),
                _ => None,
            },
            _ => None,
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn write(&mut self, node: &Node) -> u64 {
        let bytes = |node: &Node| u64::from(node.bound.bytes);
        match &node.kind {
            Kind::Const(value) => {
                let at = self.operand(Operand::Value(value.clone()));
                self.emit(Op::Push(at));
                1
            }
            Kind::Field(id) => {
                let ty = self.schema.get(*id).map(|f| &f.ty);
                self.emit(match ty {
                    Some(Type::List(_)) => Op::List(*id),
                    Some(Type::Map(_)) => Op::Map(*id),
                    _ => Op::Field(*id),
                });
                1
            }
            Kind::Local(slot) => {
                self.emit(Op::Local(*slot));
                1
            }
            Kind::Sure(a) => self.unary(a, Op::Sure),
            Kind::Has(a) => self.unary(a, Op::Has),
            Kind::Not(a) => self.unary(a, Op::Not),
            Kind::Item(a, b) => self.node(a) + self.unary(b, Op::Item),
            Kind::Lookup(a, b) => {
                self.node(a) + self.unary(b, Op::Lookup) + price::lookup(bytes(b))
            }
            Kind::InList(a, list) => {
                let items = u64::from(list.bound.items);
                let each = 1 + price::compare(bytes(a), bytes(list));
                self.node(a) + self.unary(list, Op::InList) + items * each
            }
            Kind::OrValue(a, default) => {
                let cost = self.unary(a, Op::SomeJump(0));
                let jump = self.ops.len() - 1;
                let cost = cost + self.node(default);
                self.land(jump);
                cost
            }
            Kind::Let(slot, value, body) => self.unary(value, Op::Store(*slot)) + self.node(body),
            Kind::And(parts) => self.chain(parts, Op::AndJump(0)),
            Kind::Or(parts) => self.chain(parts, Op::OrJump(0)),
            Kind::If(test, yes, no) => {
                let cost = self.unary(test, Op::Branch(0));
                let branch = self.ops.len() - 1;
                let yes = self.unary(yes, Op::Jump(0));
                let jump = self.ops.len() - 1;
                self.land(branch);
                let no = self.node(no);
                self.land(jump);
                cost + yes.max(no)
            }
            Kind::Binary(Binary::Equal, a, b)
                if self.text_field(a).is_some() && b.as_const().is_some() =>
            {
                self.field_test(a, b, Op::FieldIs) + price::compare(bytes(a), bytes(b))
            }
            Kind::Binary(operator, a, b) => {
                let extra = match (operator, &a.ty) {
                    (Binary::Add, Type::Text) => price::copy(bytes(a) + bytes(b)),
                    (_, Type::Text) => price::compare(bytes(a), bytes(b)),
                    _ => 0,
                };
                self.node(a) + self.unary(b, Op::Binary(*operator)) + extra
            }
            Kind::Call(func, args) => self.call(*func, args),
            Kind::InSet(a, set) => {
                let at = self.operand(Operand::Value(set.clone()));
                let extra = price::lookup(bytes(a));
                match self.text_field(a) {
                    Some(id) => {
                        self.emit(Op::FieldInSet(id, at));
                        1 + extra
                    }
                    None => self.unary(a, Op::InSet(at)) + extra,
                }
            }
            Kind::BeginsWithAny(a, all) => {
                let prefixes = PrefixIndex::new(all.iter().map(|text| (text.clone(), 0)).collect());
                let extra = price::prefixes(bytes(a), prefixes.longest() as u64);
                let at = self.operand(Operand::Prefixes(prefixes.into()));
                self.unary(a, Op::BeginsWithAny(at)) + extra
            }
            Kind::Matches(a, pattern) => match Pattern::new(pattern) {
                Ok(pattern) => {
                    let extra = price::matches(bytes(a), pattern.length());
                    let at = self.operand(Operand::Pattern(pattern.into()));
                    self.unary(a, Op::Matches(at)) + extra
                }
                // The checker has compiled it before; a pattern that fails now matches nothing.
                Err(_) => self.unary(a, Op::InSet(u16::MAX)),
            },
            Kind::InCidrs(a, networks) => {
                let extra = price::networks(networks.len() as u64);
                let at = self.operand(Operand::Networks(networks.as_slice().into()));
                self.unary(a, Op::InCidrs(at)) + extra
            }
            Kind::Loop {
                all,
                slot,
                list,
                test,
            } => {
                let before = self.unary(list, Op::Store(slot + 2));
                let zero = self.operand(Operand::Value(Const::Int(0)));
                self.emit(Op::Push(zero));
                self.emit(Op::Store(slot + 1));
                let next = self.emit(Op::Next(*slot, 0));
                let times = self.times;
                self.times = times.saturating_mul(u64::from(list.bound.items));
                let each = self.unary(test, if *all { Op::AndJump(0) } else { Op::OrJump(0) });
                let out = self.ops.len() - 1;
                self.times = times;
                self.emit(Op::Jump(next as u32));
                self.land(next);
                let end = self.operand(Operand::Value(Const::Bool(*all)));
                self.emit(Op::Push(end));
                self.land(out);
                before + 2 + u64::from(list.bound.items) * (each + 2) + 2
            }
        }
    }

    fn unary(&mut self, of: &Node, op: Op) -> u64 {
        let cost = self.node(of);
        self.emit(op);
        cost + 1
    }

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
        jumps.into_iter().for_each(|jump| self.land(jump));
        cost
    }

    /// A test of a field against a constant as one step.
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
                let (Some(by), Some(Const::Int(max))) = (args[1].as_const(), args[2].as_const())
                else {
                    return 0;
                };
                let max = *max as u16;
                let by = self.operand(Operand::Value(by.clone()));
                self.unary(first, Op::Split(by, max)) + price::split(bytes(0), u64::from(max))
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
                self.unary(first, Op::Call(func)) + price::READ
            }
            Func::ToText => self.unary(first, Op::Call(func)) + price::WRITE,
            Func::Size | Func::Milliseconds | Func::Minus => self.unary(first, Op::Call(func)),
        }
    }
}

impl Program {
    /// Compiles a typed tree; with it, the cost of each part.
    pub(crate) fn new(node: &Node, slots: u16, schema: &Schema) -> (Program, Vec<Part>) {
        let (ops, operands, parts) = (Vec::new(), Vec::new(), Vec::new());
        let mut coder = Coder {
            ops,
            operands,
            parts,
            parent: 0,
            times: 1,
            schema,
        };
        let cost = coder.node(node);
        let shape = Shape {
            ops: coder.ops.into(),
            slots,
            cost,
        };
        (
            Program {
                shape: shape.into(),
                operands: coder.operands.into(),
            },
            coder.parts,
        )
    }

    /// The most that an evaluation costs.
    pub(crate) fn cost(&self) -> u64 {
        self.shape.cost
    }

    /// As the machine reads it.
    pub(crate) fn code(&self) -> Code<'_> {
        Code {
            shape: &self.shape,
            operands: &self.operands,
        }
    }
}
