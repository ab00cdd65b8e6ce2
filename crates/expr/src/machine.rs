//! The machine that runs programs. It must never allocate on the common path, run on beyond the stated cost, or
//! panic for any input.

mod operators;

use crate::code::{Code, Op};
use crate::constant::{Const, Operand};
use crate::node::Func;
use crate::price;
use crate::schema::{FieldId, Input, Value};
use rapidhash::RapidHashMap;
use smallvec::SmallVec;
use std::net::IpAddr;
use std::sync::Arc;

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
enum StackValue<'a> {
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

impl<'a> From<Value<'a>> for StackValue<'a> {
    fn from(value: Value<'a>) -> StackValue<'a> {
        match value {
            Value::Bool(v) => StackValue::Bool(v),
            Value::Int(v) => StackValue::Int(v),
            Value::Double(v) => StackValue::Double(v),
            Value::Text(v) => StackValue::Text(v),
            Value::Duration(v) => StackValue::Duration(v),
            Value::Ip(v) => StackValue::Ip(v),
        }
    }
}

impl<'a> From<&'a Const> for StackValue<'a> {
    fn from(value: &'a Const) -> StackValue<'a> {
        match value {
            Const::Bool(v) => StackValue::Bool(*v),
            Const::Int(v) => StackValue::Int(*v),
            Const::Double(v) => StackValue::Double(*v),
            Const::Text(v) => StackValue::Text(v),
            Const::Duration(v) => StackValue::Duration(*v),
            Const::Ip(v) => StackValue::Ip(*v),
            Const::List(list) => StackValue::ListConst(&list.items),
            Const::Map(map) => StackValue::MapConst(&map.entries),
            // Sets stand behind `in` only, which reads them from the program.
            Const::TextSet(_) | Const::IntSet(_) => StackValue::Absent,
        }
    }
}

/// Evaluates; none: the value is absent.
pub(crate) fn run<'b>(
    code: Code<'b>,
    input: &'b dyn Input,
    scratch: &'b mut Scratch,
) -> Result<Option<Value<'b>>, Fault> {
    scratch.text.clear();
    scratch.parts.clear();
    let mut machine = Machine {
        code,
        input,
        scratch,
        spent: 0,
    };
    let result = machine.run();
    let spent = machine.spent;
    scratch.spent = spent;
    Ok(Some(match result? {
        StackValue::Absent => return Ok(None),
        StackValue::Bool(v) => Value::Bool(v),
        StackValue::Int(v) => Value::Int(v),
        StackValue::Double(v) => Value::Double(v),
        StackValue::Text(v) => Value::Text(v),
        StackValue::Made(from, to) => {
            Value::Text(scratch.text.get(from as usize..to as usize).unwrap_or(""))
        }
        StackValue::Duration(v) => Value::Duration(v),
        StackValue::Ip(v) => Value::Ip(v),
        _ => return Err(Fault::Input),
    }))
}

struct Machine<'a, 's> {
    code: Code<'a>,
    input: &'a dyn Input,
    scratch: &'s mut Scratch,
    spent: u64,
}

type Stack<'a> = SmallVec<[StackValue<'a>; 12]>;

impl<'a> Machine<'a, '_> {
    fn spend(&mut self, cost: u64) -> Result<(), Fault> {
        self.spent += cost;
        // Guards the one thread: an input beyond its bounds must not take longer than was stated.
        if self.spent > self.code.shape.cost {
            return Err(Fault::Cost);
        }
        Ok(())
    }

    fn operand(&self, number: u16) -> Result<&'a Operand, Fault> {
        self.code
            .operands
            .get(usize::from(number))
            .ok_or(Fault::Input)
    }

    fn constant(&self, number: u16) -> Result<&'a Const, Fault> {
        match self.operand(number)? {
            Operand::Value(value) => Ok(value),
            _ => Err(Fault::Input),
        }
    }

    fn text<'t>(&'t self, value: StackValue<'t>) -> Result<&'t str, Fault> {
        match value {
            StackValue::Text(text) => Ok(text),
            StackValue::Made(from, to) => self
                .scratch
                .text
                .get(from as usize..to as usize)
                .ok_or(Fault::Input),
            _ => Err(Fault::Input),
        }
    }

    fn length(&self, value: StackValue<'a>) -> u64 {
        match value {
            StackValue::Text(text) => text.len() as u64,
            StackValue::Made(from, to) => u64::from(to - from),
            _ => 0,
        }
    }

    fn field_text(&self, id: FieldId) -> Result<&'a str, Fault> {
        match self.input.get(id) {
            Some(Value::Text(text)) => Ok(text),
            _ => Err(Fault::Input),
        }
    }

    fn items(&self, list: StackValue<'a>) -> Result<usize, Fault> {
        match list {
            StackValue::ListField(id) => self.input.size(id).ok_or(Fault::Input),
            StackValue::ListConst(items) => Ok(items.len()),
            StackValue::ListMade(from, to) => Ok((to - from) as usize),
            _ => Err(Fault::Input),
        }
    }

    fn item(&self, list: StackValue<'a>, index: i64) -> Result<StackValue<'a>, Fault> {
        let Ok(index) = usize::try_from(index) else {
            return Ok(StackValue::Absent);
        };
        Ok(match list {
            StackValue::ListField(id) => self
                .input
                .item(id, index)
                .map_or(StackValue::Absent, StackValue::from),
            StackValue::ListConst(items) => items
                .get(index)
                .map_or(StackValue::Absent, StackValue::from),
            StackValue::ListMade(from, to) if index < (to - from) as usize => {
                let part = self.scratch.parts.get(from as usize + index);
                part.map_or(StackValue::Absent, |(from, to)| {
                    StackValue::Made(*from, *to)
                })
            }
            StackValue::ListMade(..) => StackValue::Absent,
            _ => return Err(Fault::Input),
        })
    }

    /// Puts a text into the scratch.
    fn made(&mut self, write: impl FnOnce(&mut String)) -> StackValue<'a> {
        let from = self.scratch.text.len() as u32;
        write(&mut self.scratch.text);
        StackValue::Made(from, self.scratch.text.len() as u32)
    }

    fn copied(&mut self, value: StackValue<'a>) -> Result<(), Fault> {
        match value {
            StackValue::Text(text) => self.scratch.text.push_str(text),
            StackValue::Made(from, to) => {
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

    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn run(&mut self) -> Result<StackValue<'a>, Fault> {
        let mut stack: Stack<'a> = SmallVec::new();
        let mut locals: SmallVec<[StackValue<'a>; 4]> = SmallVec::new();
        locals.resize(usize::from(self.code.shape.slots), StackValue::Absent);
        let mut at = 0;
        macro_rules! pop {
            () => {
                stack.pop().ok_or(Fault::Input)?
            };
        }
        while let Some(op) = self.code.shape.ops.get(at) {
            at += 1;
            self.spend(1)?;
            match *op {
                Op::Push(c) => stack.push(self.constant(c)?.into()),
                Op::Field(id) => stack.push(
                    self.input
                        .get(id)
                        .map_or(StackValue::Absent, StackValue::from),
                ),
                Op::List(id) => stack.push(
                    self.input
                        .size(id)
                        .map_or(StackValue::Absent, |_| StackValue::ListField(id)),
                ),
                Op::Map(id) => stack.push(
                    self.input
                        .size(id)
                        .map_or(StackValue::Absent, |_| StackValue::MapField(id)),
                ),
                Op::Local(slot) => stack.push(*locals.get(usize::from(slot)).ok_or(Fault::Input)?),
                Op::Store(slot) => {
                    let value = pop!();
                    *locals.get_mut(usize::from(slot)).ok_or(Fault::Input)? = value;
                }
                Op::Jump(to) => at = to as usize,
                Op::AndJump(to) => match stack.last() {
                    Some(StackValue::Bool(false)) => at = to as usize,
                    _ => drop(stack.pop()),
                },
                Op::OrJump(to) => match stack.last() {
                    Some(StackValue::Bool(true)) => at = to as usize,
                    _ => drop(stack.pop()),
                },
                Op::Branch(to) => match pop!() {
                    StackValue::Bool(true) => {}
                    StackValue::Bool(false) => at = to as usize,
                    _ => return Err(Fault::Input),
                },
                Op::SomeJump(to) => match stack.last() {
                    Some(StackValue::Absent) | None => drop(stack.pop()),
                    Some(_) => at = to as usize,
                },
                Op::Sure => {
                    if let Some(StackValue::Absent) | None = stack.last() {
                        return Err(Fault::Input);
                    }
                }
                Op::Has => {
                    let there = !matches!(pop!(), StackValue::Absent);
                    stack.push(StackValue::Bool(there));
                }
                Op::Not => match pop!() {
                    StackValue::Bool(v) => stack.push(StackValue::Bool(!v)),
                    _ => return Err(Fault::Input),
                },
                Op::Binary(operator) => {
                    let (b, a) = (pop!(), pop!());
                    let value = self.binary(operator, a, b)?;
                    stack.push(value);
                }
                Op::Item => {
                    let (index, list) = (pop!(), pop!());
                    let StackValue::Int(index) = index else {
                        return Err(Fault::Input);
                    };
                    stack.push(self.item(list, index)?);
                }
                Op::Lookup => {
                    let (key, map) = (pop!(), pop!());
                    self.spend(price::lookup(self.length(key)))?;
                    let key = self.text(key)?;
                    let value = match map {
                        StackValue::MapField(id) => self
                            .input
                            .lookup(id, key)
                            .map_or(StackValue::Absent, StackValue::from),
                        StackValue::MapConst(map) => {
                            map.get(key).map_or(StackValue::Absent, StackValue::from)
                        }
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
                    stack.push(StackValue::Bool(found));
                }
                Op::Call(func) => {
                    let second = match func {
                        Func::StartsWith
                        | Func::EndsWith
                        | Func::Contains
                        | Func::Min
                        | Func::Max => pop!(),
                        _ => StackValue::Absent,
                    };
                    let first = pop!();
                    let value = self.call(func, first, second)?;
                    stack.push(value);
                }
                Op::Hash(max) => {
                    let value = pop!();
                    self.spend(price::hash(self.length(value)))?;
                    let hash = rapidhash::v3::rapidhash_v3(self.text(value)?.as_bytes());
                    stack.push(StackValue::Int(
                        ((u128::from(hash) * u128::from(max)) >> 64) as i64,
                    ));
                }
                Op::Split(by, max) => {
                    let value = pop!();
                    let value = self.split(value, by, usize::from(max))?;
                    stack.push(value);
                }
                Op::InSet(c) => {
                    let value = pop!();
                    self.spend(price::lookup(self.length(value)))?;
                    let found = match (self.constant(c)?, value) {
                        (Const::IntSet(set), StackValue::Int(v)) => set.contains(&v),
                        (Const::TextSet(set), value) => set.contains(self.text(value)?),
                        _ => return Err(Fault::Input),
                    };
                    stack.push(StackValue::Bool(found));
                }
                Op::BeginsWithAny(c) => {
                    let value = pop!();
                    let Operand::Prefixes(prefixes) = self.operand(c)? else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::prefixes(
                        self.length(value),
                        prefixes.longest() as u64,
                    ))?;
                    let found = prefixes.find(self.text(value)?).next().is_some();
                    stack.push(StackValue::Bool(found));
                }
                Op::Matches(c) => {
                    let value = pop!();
                    let Operand::Pattern(pattern) = self.operand(c)? else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::matches(self.length(value), pattern.length()))?;
                    stack.push(StackValue::Bool(pattern.is_match(self.text(value)?)));
                }
                Op::InCidrs(c) => {
                    let (value, networks) = (pop!(), self.operand(c)?);
                    let (StackValue::Ip(ip), Operand::Networks(networks)) = (value, networks)
                    else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::networks(networks.len() as u64))?;
                    stack.push(StackValue::Bool(
                        networks.iter().any(|network| network.contains(&ip)),
                    ));
                }
                Op::Next(slot, exit) => {
                    let slot = usize::from(slot);
                    let Some([item, index, list]) = locals.get_mut(slot..slot + 3) else {
                        return Err(Fault::Input);
                    };
                    let StackValue::Int(i) = *index else {
                        return Err(Fault::Input);
                    };
                    if i as usize >= self.items(*list)? {
                        at = exit as usize;
                    } else {
                        *item = self.item(*list, i)?;
                        *index = StackValue::Int(i + 1);
                    }
                }
                Op::FieldIs(id, c) => {
                    let (text, value) = (self.field_text(id)?, self.constant(c)?);
                    let Const::Text(want) = value else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::compare(text.len() as u64, want.len() as u64))?;
                    stack.push(StackValue::Bool(*text == **want));
                }
                Op::FieldInSet(id, c) => {
                    let text = self.field_text(id)?;
                    self.spend(price::lookup(text.len() as u64))?;
                    let Const::TextSet(set) = self.constant(c)? else {
                        return Err(Fault::Input);
                    };
                    stack.push(StackValue::Bool(set.contains(text)));
                }
                Op::FieldBegins(id, c) => {
                    let (text, value) = (self.field_text(id)?, self.constant(c)?);
                    let Const::Text(want) = value else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::compare(text.len() as u64, want.len() as u64))?;
                    stack.push(StackValue::Bool(text.starts_with(&**want)));
                }
            }
        }
        stack.pop().ok_or(Fault::Input)
    }
}
