//! Stack machine that runs programs. It does not allocate on the common path, stops at the maximum
//! cost computed at compile time and does not panic for any input.

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

/// Why an evaluation failed. If the input matches its schema, only arithmetic can fail. The texts
/// are sent to clients, so they must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A number exceeded the range of its type.
    #[error("a number is too large for its type")]
    Overflow,
    /// A division by zero.
    #[error("a division by zero")]
    DivisionByZero,
    /// The maximum cost was reached, because the input exceeds the bounds of its schema.
    #[error("the input is larger than was stated")]
    Cost,
    /// A value of the input does not have the type in its schema.
    #[error("the input is not of the stated types")]
    Input,
}

/// Buffers of an evaluation, kept for the next one to avoid allocations.
#[derive(Debug, Default)]
pub struct Scratch {
    text: String,
    parts: Vec<(u32, u32)>,
    /// Cost of the last evaluation, in units.
    spent: u64,
}

impl Scratch {
    /// Cost of the last evaluation, in units.
    pub fn spent(&self) -> u64 {
        self.spent
    }
}

/// A value on the stack or in a local variable.
#[derive(Clone, Copy, Debug)]
enum StackValue<'a> {
    Absent,
    Bool(bool),
    Int(i64),
    Double(f64),
    Text(&'a str),
    /// A byte range of the scratch text.
    ScratchText(u32, u32),
    Duration(i64),
    Ip(IpAddr),
    ListField(FieldId),
    ListConst(&'a [Const]),
    /// A range of the scratch parts.
    ScratchList(u32, u32),
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
            // Sets occur only as operands of `in`, which reads them from the program.
            Const::TextSet(_) | Const::IntSet(_) => StackValue::Absent,
        }
    }
}

/// Evaluates a program; `None` if the value is absent.
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
        StackValue::ScratchText(from, to) => {
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
        // An input beyond its bounds must not occupy the serving thread for longer than the maximum
        // cost allows.
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
            StackValue::ScratchText(from, to) => self
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
            StackValue::ScratchText(from, to) => u64::from(to - from),
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
            StackValue::ScratchList(from, to) => Ok((to - from) as usize),
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
            StackValue::ScratchList(from, to) if index < (to - from) as usize => {
                let part = self.scratch.parts.get(from as usize + index);
                part.map_or(StackValue::Absent, |(from, to)| {
                    StackValue::ScratchText(*from, *to)
                })
            }
            StackValue::ScratchList(..) => StackValue::Absent,
            _ => return Err(Fault::Input),
        })
    }

    /// Appends a text to the scratch text.
    fn write_text(&mut self, write: impl FnOnce(&mut String)) -> StackValue<'a> {
        let from = self.scratch.text.len() as u32;
        write(&mut self.scratch.text);
        StackValue::ScratchText(from, self.scratch.text.len() as u32)
    }

    fn copy_to_scratch(&mut self, value: StackValue<'a>) -> Result<(), Fault> {
        match value {
            StackValue::Text(text) => self.scratch.text.push_str(text),
            StackValue::ScratchText(from, to) => {
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
        let mut program_counter = 0;
        macro_rules! pop {
            () => {
                stack.pop().ok_or(Fault::Input)?
            };
        }
        while let Some(op) = self.code.shape.ops.get(program_counter) {
            program_counter += 1;
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
                Op::Jump(to) => program_counter = to as usize,
                Op::JumpIfFalseOrPop(to) => match stack.last() {
                    Some(StackValue::Bool(false)) => program_counter = to as usize,
                    _ => drop(stack.pop()),
                },
                Op::JumpIfTrueOrPop(to) => match stack.last() {
                    Some(StackValue::Bool(true)) => program_counter = to as usize,
                    _ => drop(stack.pop()),
                },
                Op::PopJumpIfFalse(to) => match pop!() {
                    StackValue::Bool(true) => {}
                    StackValue::Bool(false) => program_counter = to as usize,
                    _ => return Err(Fault::Input),
                },
                Op::JumpIfPresentOrPop(to) => match stack.last() {
                    Some(StackValue::Absent) | None => drop(stack.pop()),
                    Some(_) => program_counter = to as usize,
                },
                Op::Unwrap => {
                    if let Some(StackValue::Absent) | None = stack.last() {
                        return Err(Fault::Input);
                    }
                }
                Op::Has => {
                    let present = !matches!(pop!(), StackValue::Absent);
                    stack.push(StackValue::Bool(present));
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
                        program_counter = exit as usize;
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
