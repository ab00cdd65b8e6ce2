//! The machine that runs programs. It must never allocate on the common path, run on beyond the stated cost, or
//! panic for any input.

use crate::ast::Binary;
use crate::check::Func;
use crate::constant::{Const, Operand};
use crate::price;
use crate::program::{Op, Shape};
use crate::schema::{FieldId, Input, Value};
use rapidhash::RapidHashMap;
use smallvec::SmallVec;
use std::fmt::Write;
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
            Const::List(list) => V::ListConst(&list.items),
            Const::Map(map) => V::MapConst(&map.entries),
            // Sets stand behind `in` only, which reads them from the program.
            Const::TextSet(_) | Const::IntSet(_) => V::Absent,
        }
    }
}

/// Longest text that is read as a number or an address.
const MOST_READ: usize = 64;

/// A program as the machine reads it, whoever holds its two parts.
#[derive(Clone, Copy)]
pub(crate) struct Code<'a> {
    pub(crate) shape: &'a Shape,
    pub(crate) operands: &'a [Operand],
}

/// Evaluates; none: the value is absent.
pub(crate) fn run<'b>(
    code: Code<'b>,
    input: &'b dyn Input,
    scratch: &'b mut Scratch,
) -> Result<Option<Value<'b>>, Fault> {
    scratch.text.clear();
    scratch.parts.clear();
    let mut machine = Machine { code, input, scratch, spent: 0 };
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

struct Machine<'a, 's> {
    code: Code<'a>,
    input: &'a dyn Input,
    scratch: &'s mut Scratch,
    spent: u64,
}

type Stack<'a> = SmallVec<[V<'a>; 12]>;

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
        self.code.operands.get(usize::from(number)).ok_or(Fault::Input)
    }

    fn constant(&self, number: u16) -> Result<&'a Const, Fault> {
        match self.operand(number)? {
            Operand::Value(value) => Ok(value),
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
        locals.resize(usize::from(self.code.shape.slots), V::Absent);
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
                    let Operand::Prefixes(prefixes) = self.operand(c)? else { return Err(Fault::Input) };
                    self.spend(price::prefixes(self.length(value), prefixes.longest() as u64))?;
                    let found = prefixes.find(self.text(value)?).next().is_some();
                    stack.push(V::Bool(found));
                }
                Op::Matches(c) => {
                    let value = pop!();
                    let Operand::Pattern(pattern) = self.operand(c)? else { return Err(Fault::Input) };
                    self.spend(price::matches(self.length(value), pattern.length()))?;
                    stack.push(V::Bool(pattern.is_match(self.text(value)?)));
                }
                Op::InCidrs(c) => {
                    let (value, networks) = (pop!(), self.operand(c)?);
                    let (V::Ip(ip), Operand::Networks(networks)) = (value, networks) else {
                        return Err(Fault::Input);
                    };
                    self.spend(price::networks(networks.len() as u64))?;
                    stack.push(V::Bool(networks.iter().any(|network| network.contains(&ip))));
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
