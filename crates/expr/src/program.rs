//! From a typed tree to a flat program, and the machine that runs it. It owns the cost of every step: the same
//! figures are summed up beforehand from the bounds of the input and spent while it runs, so that what is spent
//! never passes what was stated. It must never allocate on the common path, run on beyond the stated cost, or
//! panic for any input.

use crate::ast::Binary;
use crate::check::{bounded, Func, Kind, Node};
use crate::error::Error;
use crate::schema::{Bound, FieldId, Input, Type, Value};
use aho_corasick::automaton::{Automaton, OverlappingState};
use aho_corasick::nfa::contiguous;
use aho_corasick::{Anchored, MatchKind};
use ipnet::IpNet;
use rapidhash::{RapidHashMap, RapidHashSet};
use regex::{Regex, RegexBuilder};
use smallvec::SmallVec;
use std::fmt::Write;
use std::net::IpAddr;
use std::sync::Arc;

/// A constant of an expression.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Const {
    Bool(bool),
    Int(i64),
    Double(f64),
    Text(Arc<str>),
    Duration(i64),
    Ip(IpAddr),
    /// The type of its items, and they.
    List(Type, Arc<[Const]>),
    Map(Type, Arc<RapidHashMap<Arc<str>, Const>>),
    TextSet(Arc<RapidHashSet<Arc<str>>>),
    IntSet(Arc<RapidHashSet<i64>>),
}

impl Const {
    pub(crate) fn ty(&self) -> Type {
        match self {
            Const::Bool(_) => Type::Bool,
            Const::Int(_) => Type::Int,
            Const::Double(_) => Type::Double,
            Const::Text(_) => Type::Text,
            Const::Duration(_) => Type::Duration,
            Const::Ip(_) => Type::Ip,
            Const::List(of, _) => Type::List(of.clone().into()),
            Const::Map(of, _) => Type::Map(of.clone().into()),
            Const::TextSet(_) => Type::List(Type::Text.into()),
            Const::IntSet(_) => Type::List(Type::Int.into()),
        }
    }

    pub(crate) fn bound(&self) -> Bound {
        let longest =
            |items: &mut dyn Iterator<Item = &Const>| items.map(|c| c.bound().bytes).max().unwrap_or(0);
        match self {
            Const::Text(text) => bounded(text.len() as u32, 0),
            Const::List(_, items) => bounded(longest(&mut items.iter()), items.len() as u32),
            Const::Map(_, map) => bounded(longest(&mut map.values()), map.len() as u32),
            _ => Bound::default(),
        }
    }

    /// As a value, where it is neither a list nor a map.
    pub(crate) fn value(&self) -> Option<Value<'_>> {
        Some(match self {
            Const::Bool(v) => Value::Bool(*v),
            Const::Int(v) => Value::Int(*v),
            Const::Double(v) => Value::Double(*v),
            Const::Text(v) => Value::Text(v),
            Const::Duration(v) => Value::Duration(*v),
            Const::Ip(v) => Value::Ip(*v),
            _ => return None,
        })
    }
}

/// Why an evaluation has no value. Nothing but arithmetic can do it where the input is as its schema says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A number passed what its type holds.
    #[error("a number is too large for its type")]
    Overflow,
    /// A division by zero.
    #[error("a division by zero")]
    Zero,
    /// The input is larger than its schema says: the stated cost was reached.
    #[error("the input is larger than was stated")]
    Cost,
    /// The input is not of the types that its schema says.
    #[error("the input is not of the stated types")]
    Input,
}

/// What one evaluation makes on its way, kept for the next so that nothing is allocated again.
#[derive(Debug, Default)]
pub struct Scratch {
    text: String,
    parts: Vec<(u32, u32)>,
    /// What the last evaluation spent.
    spent: u64,
}

impl Scratch {
    /// What the last evaluation spent, in units of cost.
    pub fn spent(&self) -> u64 {
        self.spent
    }
}

/// A value inside the machine.
#[derive(Clone, Copy, Debug)]
enum V<'a> {
    Absent,
    Bool(bool),
    Int(i64),
    Double(f64),
    Text(&'a str),
    /// A part of the scratch's text.
    Made(u32, u32),
    Duration(i64),
    Ip(IpAddr),
    ListField(FieldId),
    ListConst(&'a [Const]),
    /// Some of the scratch's parts.
    ListMade(u32, u32),
    MapField(FieldId),
    MapConst(&'a RapidHashMap<Arc<str>, Const>),
}

impl<'a> From<Value<'a>> for V<'a> {
    fn from(value: Value<'a>) -> V<'a> {
        match value {
            Value::Bool(v) => V::Bool(v),
            Value::Int(v) => V::Int(v),
            Value::Double(v) => V::Double(v),
            Value::Text(v) => V::Text(v),
            Value::Duration(v) => V::Duration(v),
            Value::Ip(v) => V::Ip(v),
        }
    }
}

impl<'a> From<&'a Const> for V<'a> {
    fn from(value: &'a Const) -> V<'a> {
        match value {
            Const::Bool(v) => V::Bool(*v),
            Const::Int(v) => V::Int(*v),
            Const::Double(v) => V::Double(*v),
            Const::Text(v) => V::Text(v),
            Const::Duration(v) => V::Duration(*v),
            Const::Ip(v) => V::Ip(*v),
            Const::List(_, v) => V::ListConst(v),
            Const::Map(_, v) => V::MapConst(v),
            // Sets stand behind `in` only, which reads them from the program.
            Const::TextSet(_) | Const::IntSet(_) => V::Absent,
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Op {
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

enum Pool {
    Value(Const),
    Regex(Regex, u64),
    Cidrs(Vec<IpNet>),
    Begins(Box<Begins>),
}

/// Beginnings of texts as one automaton.
pub(crate) struct Begins {
    automaton: contiguous::NFA,
    longest: usize,
}

impl Begins {
    pub(crate) fn new(all: &[Arc<str>]) -> Option<Begins> {
        let longest = all.iter().map(|text| text.len()).max().unwrap_or(0);
        let mut builder = contiguous::Builder::new();
        builder.match_kind(MatchKind::Standard);
        let automaton = builder.build(all.iter().map(|text| text.as_bytes())).ok()?;
        Some(Begins { automaton, longest })
    }

    /// Tells each beginning that a text has, by its number; `found` says whether to go on.
    pub(crate) fn each(&self, text: &str, mut found: impl FnMut(usize) -> bool) {
        let text = &text.as_bytes()[..text.len().min(self.longest)];
        let input = aho_corasick::Input::new(text).anchored(Anchored::Yes);
        let mut state = OverlappingState::start();
        // The automaton was built for anchored searches with overlaps: no search fails.
        while self.automaton.try_find_overlapping(&input, &mut state).is_ok() {
            let Some(one) = state.get_match() else { return };
            // What ends here and began later is no beginning.
            if one.start() == 0 && !found(one.pattern().as_usize()) {
                return;
            }
        }
    }

    fn any(&self, text: &str) -> bool {
        let mut any = false;
        self.each(text, |_| {
            any = true;
            false
        });
        any
    }
}

/// Costs beyond the one that every step has, from lengths in bytes or in items.
mod price {
    pub fn compare(a: u64, b: u64) -> u64 {
        a.min(b) / 16
    }
    pub fn lookup(key: u64) -> u64 {
        4 + key / 8
    }
    pub fn contains(text: u64, part: u64) -> u64 {
        2 + text / 4 + part / 4
    }
    pub fn copy(bytes: u64) -> u64 {
        2 + bytes / 4
    }
    pub fn split(bytes: u64, parts: u64) -> u64 {
        2 + bytes / 4 + 2 * parts
    }
    pub fn hash(bytes: u64) -> u64 {
        4 + bytes / 8
    }
    pub fn begins(text: u64, longest: u64) -> u64 {
        4 + text.min(longest)
    }
    pub fn matches(text: u64, pattern: u64) -> u64 {
        16 + text.saturating_mul(1 + pattern / 8)
    }
    pub fn ranges(count: u64) -> u64 {
        2 * count
    }
    pub const READ: u64 = 8;
    pub const WRITE: u64 = 16;
}

pub(crate) fn regex(pattern: &str) -> Result<Regex, regex::Error> {
    RegexBuilder::new(pattern)
        .size_limit(crate::check::MOST_REGEX)
        .dfa_size_limit(crate::check::MOST_REGEX)
        .nest_limit(24)
        .build()
}

/// An expression, ready to run.
pub(crate) struct Program {
    ops: Vec<Op>,
    pool: Vec<Pool>,
    slots: u16,
    cost: u64,
}

/// Cost of a part of an expression, over all the times that it runs.
pub(crate) struct Part {
    pub(crate) span: std::ops::Range<usize>,
    pub(crate) cost: u64,
    /// Its parent's number in the list; the whole is its own.
    pub(crate) parent: usize,
}

struct Coder<'p> {
    program: Program,
    parts: Vec<Part>,
    parent: usize,
    /// How often the part that is being written runs at most.
    times: u64,
    schema: &'p crate::schema::Schema,
}

/// Most constants: their numbers have 16 bits.
const MOST_POOL: usize = 1 << 16;

impl Coder<'_> {
    fn emit(&mut self, op: Op) -> usize {
        self.program.ops.push(op);
        self.program.ops.len() - 1
    }

    fn pool(&mut self, value: Pool) -> u16 {
        // The bound on tokens keeps it far below.
        debug_assert!(self.program.pool.len() < MOST_POOL);
        self.program.pool.push(value);
        (self.program.pool.len() - 1) as u16
    }

    /// Lets a jump lead to what comes next.
    fn land(&mut self, at: usize) {
        let to = self.program.ops.len() as u32;
        if let Some(
            Op::Jump(t) | Op::AndJump(t) | Op::OrJump(t) | Op::Branch(t) | Op::SomeJump(t) | Op::Next(_, t),
        ) = self.program.ops.get_mut(at)
        {
            *t = to;
        }
    }

    /// Writes a node; what it costs at worst.
    fn node(&mut self, node: &Node) -> u64 {
        let number = self.parts.len();
        self.parts.push(Part { span: node.span.clone(), cost: 0, parent: self.parent });
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

    fn write(&mut self, node: &Node) -> u64 {
        let bytes = |node: &Node| u64::from(node.bound.bytes);
        match &node.kind {
            Kind::Const(value) => {
                let at = self.pool(Pool::Value(value.clone()));
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
            Kind::Lookup(a, b) => self.node(a) + self.unary(b, Op::Lookup) + price::lookup(bytes(b)),
            Kind::InList(a, list) => {
                let items = u64::from(list.bound.items);
                let each = 1 + price::compare(bytes(a), bytes(list));
                self.node(a) + self.unary(list, Op::InList) + items * each
            }
            Kind::OrValue(a, default) => {
                let cost = self.unary(a, Op::SomeJump(0));
                let jump = self.program.ops.len() - 1;
                let cost = cost + self.node(default);
                self.land(jump);
                cost
            }
            Kind::Let(slot, value, body) => self.unary(value, Op::Store(*slot)) + self.node(body),
            Kind::And(parts) => self.chain(parts, Op::AndJump(0)),
            Kind::Or(parts) => self.chain(parts, Op::OrJump(0)),
            Kind::If(test, yes, no) => {
                let cost = self.unary(test, Op::Branch(0));
                let branch = self.program.ops.len() - 1;
                let yes = self.unary(yes, Op::Jump(0));
                let jump = self.program.ops.len() - 1;
                self.land(branch);
                let no = self.node(no);
                self.land(jump);
                cost + yes.max(no)
            }
            Kind::Binary(Binary::Equal, a, b) if self.text_field(a).is_some() && b.as_const().is_some() => {
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
                let at = self.pool(Pool::Value(set.clone()));
                let extra = price::lookup(bytes(a));
                match self.text_field(a) {
                    Some(id) => {
                        self.emit(Op::FieldInSet(id, at));
                        1 + extra
                    }
                    None => self.unary(a, Op::InSet(at)) + extra,
                }
            }
            Kind::BeginsWithAny(a, all) => match Begins::new(all) {
                Some(begins) => {
                    let extra = price::begins(bytes(a), begins.longest as u64);
                    let at = self.pool(Pool::Begins(begins.into()));
                    self.unary(a, Op::BeginsWithAny(at)) + extra
                }
                // Too many for one automaton: one by one.
                None => {
                    let tests: Vec<Node> = all
                        .iter()
                        .map(|text| {
                            let (span, bound) = (node.span.clone(), Bound::default());
                            let text = Const::Text(text.clone());
                            let with = Node {
                                ty: Type::Text,
                                bound: text.bound(),
                                kind: Kind::Const(text),
                                span: span.clone(),
                            };
                            let kind = Kind::Call(Func::StartsWith, vec![(**a).clone(), with]);
                            Node { kind, ty: Type::Bool, bound, span }
                        })
                        .collect();
                    self.chain(&tests, Op::OrJump(0))
                }
            },
            Kind::Matches(a, pattern) => match regex(pattern) {
                Ok(compiled) => {
                    let length = pattern.len() as u64;
                    let at = self.pool(Pool::Regex(compiled, length));
                    self.unary(a, Op::Matches(at)) + price::matches(bytes(a), length)
                }
                // The checker has compiled it before; a pattern that fails now matches nothing.
                Err(_) => self.unary(a, Op::InSet(u16::MAX)),
            },
            Kind::InCidrs(a, ranges) => {
                let extra = price::ranges(ranges.len() as u64);
                let at = self.pool(Pool::Cidrs(ranges.clone()));
                self.unary(a, Op::InCidrs(at)) + extra
            }
            Kind::Loop { all, slot, list, test } => {
                let before = self.unary(list, Op::Store(slot + 2));
                let zero = self.pool(Pool::Value(Const::Int(0)));
                self.emit(Op::Push(zero));
                self.emit(Op::Store(slot + 1));
                let next = self.emit(Op::Next(*slot, 0));
                let times = self.times;
                self.times = times.saturating_mul(u64::from(list.bound.items));
                let each = self.unary(test, if *all { Op::AndJump(0) } else { Op::OrJump(0) });
                let out = self.program.ops.len() - 1;
                self.times = times;
                self.emit(Op::Jump(next as u32));
                self.land(next);
                let end = self.pool(Pool::Value(Const::Bool(*all)));
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
            let at = self.pool(Pool::Value(value.clone()));
            self.emit(op(id, at));
        }
        1
    }

    fn call(&mut self, func: Func, args: &[Node]) -> u64 {
        let bytes = |i: usize| args.get(i).map_or(0, |node: &Node| u64::from(node.bound.bytes));
        let first = &args[0];
        match func {
            Func::Hash => {
                let most = match args[1].as_const() {
                    Some(Const::Int(most)) => *most as u32,
                    _ => 1,
                };
                self.unary(first, Op::Hash(most)) + price::hash(bytes(0))
            }
            Func::Split => {
                let (Some(by), Some(Const::Int(most))) = (args[1].as_const(), args[2].as_const()) else {
                    return 0;
                };
                let most = *most as u16;
                let by = self.pool(Pool::Value(by.clone()));
                self.unary(first, Op::Split(by, most)) + price::split(bytes(0), u64::from(most))
            }
            Func::StartsWith if self.text_field(first).is_some() && args[1].as_const().is_some() => {
                self.field_test(first, &args[1], Op::FieldBegins) + price::compare(bytes(0), bytes(1))
            }
            Func::StartsWith | Func::EndsWith => {
                self.node(first) + self.unary(&args[1], Op::Call(func)) + price::compare(bytes(0), bytes(1))
            }
            Func::Contains => {
                self.node(first) + self.unary(&args[1], Op::Call(func)) + price::contains(bytes(0), bytes(1))
            }
            Func::Min | Func::Max => self.node(first) + self.unary(&args[1], Op::Call(func)),
            Func::LowerAscii => self.unary(first, Op::Call(func)) + price::copy(bytes(0)),
            Func::ToInt | Func::ToDouble | Func::ToIp => self.unary(first, Op::Call(func)) + price::READ,
            Func::ToText => self.unary(first, Op::Call(func)) + price::WRITE,
            Func::Size | Func::Milliseconds | Func::Minus => self.unary(first, Op::Call(func)),
        }
    }
}

/// Longest text that is read as a number or an address.
const MOST_READ: usize = 64;

impl Program {
    /// Compiles a typed tree; with it, the cost of each part.
    pub(crate) fn new(node: &Node, slots: u16, schema: &crate::schema::Schema) -> (Program, Vec<Part>) {
        let program = Program { ops: Vec::new(), pool: Vec::new(), slots, cost: 0 };
        let mut coder = Coder { program, parts: Vec::new(), parent: 0, times: 1, schema };
        let cost = coder.node(node);
        coder.program.cost = cost;
        (coder.program, coder.parts)
    }

    /// The most that an evaluation costs.
    pub(crate) fn cost(&self) -> u64 {
        self.cost
    }

    /// Evaluates; none: the value is absent.
    pub(crate) fn run<'b>(
        &'b self,
        input: &'b dyn Input,
        scratch: &'b mut Scratch,
    ) -> Result<Option<Value<'b>>, Fault> {
        scratch.text.clear();
        scratch.parts.clear();
        let mut machine = Machine { program: self, input, scratch, spent: 0 };
        let result = machine.run();
        let spent = machine.spent;
        scratch.spent = spent;
        Ok(Some(match result? {
            V::Absent => return Ok(None),
            V::Bool(v) => Value::Bool(v),
            V::Int(v) => Value::Int(v),
            V::Double(v) => Value::Double(v),
            V::Text(v) => Value::Text(v),
            V::Made(from, to) => Value::Text(scratch.text.get(from as usize..to as usize).unwrap_or("")),
            V::Duration(v) => Value::Duration(v),
            V::Ip(v) => Value::Ip(v),
            _ => return Err(Fault::Input),
        }))
    }
}

struct Machine<'a, 's> {
    program: &'a Program,
    input: &'a dyn Input,
    scratch: &'s mut Scratch,
    spent: u64,
}

type Stack<'a> = SmallVec<[V<'a>; 12]>;

impl<'a> Machine<'a, '_> {
    fn spend(&mut self, cost: u64) -> Result<(), Fault> {
        self.spent += cost;
        // Guards the one thread: an input beyond its bounds must not take longer than was stated.
        if self.spent > self.program.cost {
            return Err(Fault::Cost);
        }
        Ok(())
    }

    fn constant(&self, at: u16) -> Result<&'a Const, Fault> {
        match self.program.pool.get(usize::from(at)) {
            Some(Pool::Value(value)) => Ok(value),
            _ => Err(Fault::Input),
        }
    }

    fn text<'t>(&'t self, value: V<'t>) -> Result<&'t str, Fault> {
        match value {
            V::Text(text) => Ok(text),
            V::Made(from, to) => self.scratch.text.get(from as usize..to as usize).ok_or(Fault::Input),
            _ => Err(Fault::Input),
        }
    }

    fn length(&self, value: V<'a>) -> u64 {
        match value {
            V::Text(text) => text.len() as u64,
            V::Made(from, to) => u64::from(to - from),
            _ => 0,
        }
    }

    fn field_text(&self, id: FieldId) -> Result<&'a str, Fault> {
        match self.input.get(id) {
            Some(Value::Text(text)) => Ok(text),
            _ => Err(Fault::Input),
        }
    }

    fn items(&self, list: V<'a>) -> Result<usize, Fault> {
        match list {
            V::ListField(id) => self.input.size(id).ok_or(Fault::Input),
            V::ListConst(items) => Ok(items.len()),
            V::ListMade(from, to) => Ok((to - from) as usize),
            _ => Err(Fault::Input),
        }
    }

    fn item(&self, list: V<'a>, index: i64) -> Result<V<'a>, Fault> {
        let Ok(index) = usize::try_from(index) else { return Ok(V::Absent) };
        Ok(match list {
            V::ListField(id) => self.input.item(id, index).map_or(V::Absent, V::from),
            V::ListConst(items) => items.get(index).map_or(V::Absent, V::from),
            V::ListMade(from, to) if index < (to - from) as usize => {
                let part = self.scratch.parts.get(from as usize + index);
                part.map_or(V::Absent, |(from, to)| V::Made(*from, *to))
            }
            V::ListMade(..) => V::Absent,
            _ => return Err(Fault::Input),
        })
    }

    /// Puts a text into the scratch.
    fn made(&mut self, write: impl FnOnce(&mut String)) -> V<'a> {
        let from = self.scratch.text.len() as u32;
        write(&mut self.scratch.text);
        V::Made(from, self.scratch.text.len() as u32)
    }

    fn copied(&mut self, value: V<'a>) -> Result<(), Fault> {
        match value {
            V::Text(text) => self.scratch.text.push_str(text),
            V::Made(from, to) => {
                let (from, to) = (from as usize, to as usize);
                if to > self.scratch.text.len() {
                    return Err(Fault::Input);
                }
                self.scratch.text.extend_from_within(from..to);
            }
            _ => return Err(Fault::Input),
        }
        Ok(())
    }

    fn run(&mut self) -> Result<V<'a>, Fault> {
        let mut stack: Stack<'a> = SmallVec::new();
        let mut locals: SmallVec<[V<'a>; 4]> = SmallVec::new();
        locals.resize(usize::from(self.program.slots), V::Absent);
        let mut at = 0;
        macro_rules! pop {
            () => {
                stack.pop().ok_or(Fault::Input)?
            };
        }
        while let Some(op) = self.program.ops.get(at) {
            at += 1;
            self.spend(1)?;
            match *op {
                Op::Push(c) => stack.push(self.constant(c)?.into()),
                Op::Field(id) => stack.push(self.input.get(id).map_or(V::Absent, V::from)),
                Op::List(id) => stack.push(self.input.size(id).map_or(V::Absent, |_| V::ListField(id))),
                Op::Map(id) => stack.push(self.input.size(id).map_or(V::Absent, |_| V::MapField(id))),
                Op::Local(slot) => stack.push(*locals.get(usize::from(slot)).ok_or(Fault::Input)?),
                Op::Store(slot) => {
                    let value = pop!();
                    *locals.get_mut(usize::from(slot)).ok_or(Fault::Input)? = value;
                }
                Op::Jump(to) => at = to as usize,
                Op::AndJump(to) => match stack.last() {
                    Some(V::Bool(false)) => at = to as usize,
                    _ => drop(stack.pop()),
                },
                Op::OrJump(to) => match stack.last() {
                    Some(V::Bool(true)) => at = to as usize,
                    _ => drop(stack.pop()),
                },
                Op::Branch(to) => match pop!() {
                    V::Bool(true) => {}
                    V::Bool(false) => at = to as usize,
                    _ => return Err(Fault::Input),
                },
                Op::SomeJump(to) => match stack.last() {
                    Some(V::Absent) | None => drop(stack.pop()),
                    Some(_) => at = to as usize,
                },
                Op::Sure => {
                    if let Some(V::Absent) | None = stack.last() {
                        return Err(Fault::Input);
                    }
                }
                Op::Has => {
                    let there = !matches!(pop!(), V::Absent);
                    stack.push(V::Bool(there));
                }
                Op::Not => match pop!() {
                    V::Bool(v) => stack.push(V::Bool(!v)),
                    _ => return Err(Fault::Input),
                },
                Op::Binary(operator) => {
                    let (b, a) = (pop!(), pop!());
                    let value = self.binary(operator, a, b)?;
                    stack.push(value);
                }
                Op::Item => {
                    let (index, list) = (pop!(), pop!());
                    let V::Int(index) = index else { return Err(Fault::Input) };
                    stack.push(self.item(list, index)?);
                }
                Op::Lookup => {
                    let (key, map) = (pop!(), pop!());
                    self.spend(price::lookup(self.length(key)))?;
                    let key = self.text(key)?;
                    let value = match map {
                        V::MapField(id) => self.input.lookup(id, key).map_or(V::Absent, V::from),
                        V::MapConst(map) => map.get(key).map_or(V::Absent, V::from),
                        _ => return Err(Fault::Input),
                    };
                    stack.push(value);
                }
                Op::InList => {
                    let (list, value) = (pop!(), pop!());
                    let mut found = false;
                    for index in 0..self.items(list)? {
                        let item = self.item(list, index as i64)?;
                        self.spend(1 + price::compare(self.length(value), self.length(item)))?;
                        if self.equal(value, item)? {
                            found = true;
                            break;
                        }
                    }
                    stack.push(V::Bool(found));
                }
                Op::Call(func) => {
                    let second = match func {
                        Func::StartsWith | Func::EndsWith | Func::Contains | Func::Min | Func::Max => pop!(),
                        _ => V::Absent,
                    };
                    let first = pop!();
                    let value = self.call(func, first, second)?;
                    stack.push(value);
                }
                Op::Hash(most) => {
                    let value = pop!();
                    self.spend(price::hash(self.length(value)))?;
                    let hash = rapidhash::v3::rapidhash_v3(self.text(value)?.as_bytes());
                    stack.push(V::Int(((u128::from(hash) * u128::from(most)) >> 64) as i64));
                }
                Op::Split(by, most) => {
                    let value = pop!();
                    let value = self.split(value, by, usize::from(most))?;
                    stack.push(value);
                }
                Op::InSet(c) => {
                    let value = pop!();
                    self.spend(price::lookup(self.length(value)))?;
                    let found = match (self.constant(c)?, value) {
                        (Const::IntSet(set), V::Int(v)) => set.contains(&v),
                        (Const::TextSet(set), value) => set.contains(self.text(value)?),
                        _ => return Err(Fault::Input),
                    };
                    stack.push(V::Bool(found));
                }
                Op::BeginsWithAny(c) => {
                    let value = pop!();
                    let Some(Pool::Begins(begins)) = self.program.pool.get(usize::from(c)) else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::begins(self.length(value), begins.longest as u64))?;
                    stack.push(V::Bool(begins.any(self.text(value)?)));
                }
                Op::Matches(c) => {
                    let value = pop!();
                    let Some(Pool::Regex(regex, pattern)) = self.program.pool.get(usize::from(c)) else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::matches(self.length(value), *pattern))?;
                    stack.push(V::Bool(regex.is_match(self.text(value)?)));
                }
                Op::InCidrs(c) => {
                    let (value, ranges) = (pop!(), self.program.pool.get(usize::from(c)));
                    let (V::Ip(ip), Some(Pool::Cidrs(ranges))) = (value, ranges) else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::ranges(ranges.len() as u64))?;
                    stack.push(V::Bool(ranges.iter().any(|range| range.contains(&ip))));
                }
                Op::Next(slot, exit) => {
                    let slot = usize::from(slot);
                    let Some([item, index, list]) = locals.get_mut(slot..slot + 3) else {
                        return Err(Fault::Input);
                    };
                    let V::Int(i) = *index else { return Err(Fault::Input) };
                    if i as usize >= self.items(*list)? {
                        at = exit as usize;
                    } else {
                        *item = self.item(*list, i)?;
                        *index = V::Int(i + 1);
                    }
                }
                Op::FieldIs(id, c) => {
                    let (text, value) = (self.field_text(id)?, self.constant(c)?);
                    let Const::Text(want) = value else { return Err(Fault::Input) };
                    self.spend(price::compare(text.len() as u64, want.len() as u64))?;
                    stack.push(V::Bool(*text == **want));
                }
                Op::FieldInSet(id, c) => {
                    let text = self.field_text(id)?;
                    self.spend(price::lookup(text.len() as u64))?;
                    let Const::TextSet(set) = self.constant(c)? else { return Err(Fault::Input) };
                    stack.push(V::Bool(set.contains(text)));
                }
                Op::FieldBegins(id, c) => {
                    let (text, value) = (self.field_text(id)?, self.constant(c)?);
                    let Const::Text(want) = value else { return Err(Fault::Input) };
                    self.spend(price::compare(text.len() as u64, want.len() as u64))?;
                    stack.push(V::Bool(text.starts_with(&**want)));
                }
            }
        }
        stack.pop().ok_or(Fault::Input)
    }

    fn equal(&self, a: V<'a>, b: V<'a>) -> Result<bool, Fault> {
        Ok(match (a, b) {
            (V::Bool(a), V::Bool(b)) => a == b,
            (V::Int(a), V::Int(b)) | (V::Duration(a), V::Duration(b)) => a == b,
            (V::Double(a), V::Double(b)) => a == b,
            (V::Ip(a), V::Ip(b)) => a == b,
            (a, b) => self.text(a)? == self.text(b)?,
        })
    }

    fn binary(&mut self, operator: Binary, a: V<'a>, b: V<'a>) -> Result<V<'a>, Fault> {
        use std::cmp::Ordering;
        let whole = |value: Option<i64>| value.ok_or(Fault::Overflow);
        let finite = |value: f64| if value.is_finite() { Ok(V::Double(value)) } else { Err(Fault::Overflow) };
        match operator {
            Binary::Equal | Binary::Unequal => {
                self.spend(price::compare(self.length(a), self.length(b)))?;
                Ok(V::Bool(self.equal(a, b)? == (operator == Binary::Equal)))
            }
            Binary::Less | Binary::LessEqual | Binary::Greater | Binary::GreaterEqual => {
                self.spend(price::compare(self.length(a), self.length(b)))?;
                let order = match (a, b) {
                    (V::Int(a), V::Int(b)) | (V::Duration(a), V::Duration(b)) => a.cmp(&b),
                    (V::Double(a), V::Double(b)) => a.partial_cmp(&b).unwrap_or(Ordering::Equal),
                    (a, b) => self.text(a)?.cmp(self.text(b)?),
                };
                Ok(V::Bool(match operator {
                    Binary::Less => order.is_lt(),
                    Binary::LessEqual => order.is_le(),
                    Binary::Greater => order.is_gt(),
                    _ => order.is_ge(),
                }))
            }
            Binary::Add => match (a, b) {
                (V::Int(a), V::Int(b)) => whole(a.checked_add(b)).map(V::Int),
                (V::Duration(a), V::Duration(b)) => whole(a.checked_add(b)).map(V::Duration),
                (V::Double(a), V::Double(b)) => finite(a + b),
                (a, b) => {
                    self.spend(price::copy(self.length(a) + self.length(b)))?;
                    let from = self.scratch.text.len() as u32;
                    self.copied(a)?;
                    self.copied(b)?;
                    Ok(V::Made(from, self.scratch.text.len() as u32))
                }
            },
            Binary::Subtract => match (a, b) {
                (V::Int(a), V::Int(b)) => whole(a.checked_sub(b)).map(V::Int),
                (V::Duration(a), V::Duration(b)) => whole(a.checked_sub(b)).map(V::Duration),
                (V::Double(a), V::Double(b)) => finite(a - b),
                _ => Err(Fault::Input),
            },
            Binary::Multiply => match (a, b) {
                (V::Int(a), V::Int(b)) => whole(a.checked_mul(b)).map(V::Int),
                (V::Duration(a), V::Int(b)) | (V::Int(a), V::Duration(b)) => {
                    whole(a.checked_mul(b)).map(V::Duration)
                }
                (V::Double(a), V::Double(b)) => finite(a * b),
                _ => Err(Fault::Input),
            },
            Binary::Divide => match (a, b) {
                (V::Int(_) | V::Duration(_), V::Int(0)) => Err(Fault::Zero),
                (V::Double(_), V::Double(0.0)) => Err(Fault::Zero),
                (V::Int(a), V::Int(b)) => whole(a.checked_div(b)).map(V::Int),
                (V::Duration(a), V::Int(b)) => whole(a.checked_div(b)).map(V::Duration),
                (V::Double(a), V::Double(b)) => finite(a / b),
                _ => Err(Fault::Input),
            },
            Binary::Remainder => match (a, b) {
                (V::Int(_), V::Int(0)) => Err(Fault::Zero),
                (V::Int(a), V::Int(b)) => whole(a.checked_rem(b)).map(V::Int),
                _ => Err(Fault::Input),
            },
            Binary::In => Err(Fault::Input),
        }
    }

    fn call(&mut self, func: Func, a: V<'a>, b: V<'a>) -> Result<V<'a>, Fault> {
        let (la, lb) = (self.length(a), self.length(b));
        match func {
            Func::Size => Ok(V::Int(match a {
                V::MapField(id) => self.input.size(id).ok_or(Fault::Input)? as i64,
                V::MapConst(map) => map.len() as i64,
                // As in CEL, a text's size is counted in characters' code points; here they are bytes: the
                // bounds of the wire are bytes, and counting characters would cost a look at each.
                V::Text(_) | V::Made(..) => la as i64,
                list => self.items(list)? as i64,
            })),
            Func::StartsWith => {
                self.spend(price::compare(la, lb))?;
                Ok(V::Bool(self.text(a)?.starts_with(self.text(b)?)))
            }
            Func::EndsWith => {
                self.spend(price::compare(la, lb))?;
                Ok(V::Bool(self.text(a)?.ends_with(self.text(b)?)))
            }
            Func::Contains => {
                self.spend(price::contains(la, lb))?;
                Ok(V::Bool(self.text(a)?.contains(self.text(b)?)))
            }
            Func::LowerAscii => {
                self.spend(price::copy(la))?;
                if !self.text(a)?.bytes().any(|b| b.is_ascii_uppercase()) {
                    return Ok(a);
                }
                let from = self.scratch.text.len();
                self.copied(a)?;
                if let Some(made) = self.scratch.text.get_mut(from..) {
                    made.make_ascii_lowercase();
                }
                Ok(V::Made(from as u32, self.scratch.text.len() as u32))
            }
            Func::ToInt => {
                self.spend(price::READ)?;
                Ok(match a {
                    // Numbers beyond 2^53 have no whole numbers of their own: they are not read as such.
                    V::Double(v) if v.abs() <= 9_007_199_254_740_992.0 => V::Int(v.trunc() as i64),
                    V::Double(_) => V::Absent,
                    a => {
                        let text = self.text(a)?;
                        let text = Some(text).filter(|t| t.len() <= MOST_READ);
                        text.and_then(|t| t.parse().ok()).map_or(V::Absent, V::Int)
                    }
                })
            }
            Func::ToDouble => {
                self.spend(price::READ)?;
                Ok(match a {
                    V::Int(v) => V::Double(v as f64),
                    a => {
                        let text = self.text(a)?;
                        let text = Some(text).filter(|t| t.len() <= MOST_READ);
                        let value = text.and_then(|t| t.parse::<f64>().ok()).filter(|v| v.is_finite());
                        value.map_or(V::Absent, V::Double)
                    }
                })
            }
            Func::ToIp => {
                self.spend(price::READ)?;
                let text = Some(self.text(a)?).filter(|t| t.len() <= MOST_READ);
                Ok(text.and_then(|t| t.parse().ok()).map_or(V::Absent, V::Ip))
            }
            Func::ToText => {
                self.spend(price::WRITE)?;
                // Writing to memory does not fail.
                Ok(self.made(|text| {
                    let _ = match a {
                        V::Bool(v) => write!(text, "{v}"),
                        V::Int(v) => write!(text, "{v}"),
                        V::Double(v) => write!(text, "{v}"),
                        V::Duration(v) => write!(text, "{v}ms"),
                        V::Ip(v) => write!(text, "{v}"),
                        _ => Ok(()),
                    };
                }))
            }
            Func::Milliseconds => match a {
                V::Duration(ms) => Ok(V::Int(ms)),
                _ => Err(Fault::Input),
            },
            Func::Min | Func::Max => {
                let least = func == Func::Min;
                match (a, b) {
                    (V::Int(a), V::Int(b)) => Ok(V::Int(if least { a.min(b) } else { a.max(b) })),
                    (V::Duration(a), V::Duration(b)) => {
                        Ok(V::Duration(if least { a.min(b) } else { a.max(b) }))
                    }
                    (V::Double(a), V::Double(b)) => Ok(V::Double(if least { a.min(b) } else { a.max(b) })),
                    _ => Err(Fault::Input),
                }
            }
            Func::Minus => match a {
                V::Int(v) => v.checked_neg().map(V::Int).ok_or(Fault::Overflow),
                V::Duration(v) => v.checked_neg().map(V::Duration).ok_or(Fault::Overflow),
                V::Double(v) => Ok(V::Double(-v)),
                _ => Err(Fault::Input),
            },
            // These have steps of their own.
            Func::Hash | Func::Split => Err(Fault::Input),
        }
    }

    /// Parts of a text, the last with the rest. They are put into the scratch, so that they outlive the text.
    fn split(&mut self, value: V<'a>, by: u16, most: usize) -> Result<V<'a>, Fault> {
        let Const::Text(by) = self.constant(by)? else { return Err(Fault::Input) };
        self.spend(price::split(self.length(value), 0))?;
        let start = self.scratch.text.len();
        self.copied(value)?;
        let first = self.scratch.parts.len() as u32;
        let mut from = start;
        for count in 1..=most {
            let rest = self.scratch.text.get(from..).ok_or(Fault::Input)?;
            let found = if count < most { rest.find(&**by) } else { None };
            let to = found.map_or(self.scratch.text.len(), |at| from + at);
            self.spend(2)?;
            self.scratch.parts.push((from as u32, to as u32));
            if found.is_none() {
                break;
            }
            from = to + by.len();
        }
        Ok(V::ListMade(first, self.scratch.parts.len() as u32))
    }
}

struct Nothing;

impl Input for Nothing {
    fn get(&self, _: FieldId) -> Option<Value<'_>> {
        None
    }
}

/// A node whose parts are all constant, as a constant.
///
/// # Errors
/// It fails whatever the input.
pub(crate) fn fold(node: Node) -> Result<Node, Error> {
    if let Kind::If(test, yes, no) = node.kind {
        return Ok(match test.as_const() {
            Some(Const::Bool(true)) => *yes,
            Some(Const::Bool(false)) => *no,
            _ => Node { kind: Kind::If(test, yes, no), ..node },
        });
    }
    let inner = match &node.kind {
        Kind::Const(_) | Kind::Field(_) | Kind::Local(_) | Kind::Let(..) | Kind::Loop { .. } => false,
        _ => node.children().iter().all(|part| part.as_const().is_some()),
    };
    if !inner || matches!(node.ty, Type::Optional(_) | Type::List(_) | Type::Map(_)) {
        return Ok(node);
    }
    let (program, _) = Program::new(&node, 0, &crate::schema::Schema::new());
    let mut scratch = Scratch::default();
    let value = match program.run(&Nothing, &mut scratch) {
        Ok(Some(Value::Bool(v))) => Const::Bool(v),
        Ok(Some(Value::Int(v))) => Const::Int(v),
        Ok(Some(Value::Double(v))) => Const::Double(v),
        Ok(Some(Value::Text(v))) => Const::Text(v.into()),
        Ok(Some(Value::Duration(v))) => Const::Duration(v),
        Ok(Some(Value::Ip(v))) => Const::Ip(v),
        Ok(None) => return Ok(node),
        Err(fault) => return Err(Error::new(node.span, format!("this fails whatever the input: {fault}"))),
    };
    let (ty, bound) = (value.ty(), value.bound());
    Ok(Node { kind: Kind::Const(value), ty, bound, span: node.span })
}
