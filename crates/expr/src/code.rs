//! The code that the compiler writes and the machine runs. It has two parts: its shape, which many programs may share,
//! and its operands, the constants that its instructions refer to by index.

use crate::ast::Binary;
use crate::constant::Operand;
use crate::node::Func;
use crate::schema::FieldId;

/// An instruction of the stack machine. Operands and local variables are given by their indices, jumps by the index of
/// the instruction that they lead to. The top of the stack is where the last value was pushed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Op {
    /// Pushes a constant.
    Push(u16),
    /// Pushes a field's value.
    Field(FieldId),
    /// Pushes a list of the input, which is read item by item.
    List(FieldId),
    /// Pushes a map of the input, which is read by look-ups.
    Map(FieldId),
    /// Pushes a local variable.
    Local(u16),
    /// Pops into a local variable.
    Store(u16),
    /// Jumps.
    Jump(u32),
    /// Jumps where the top is false and keeps it, else drops it.
    AndJump(u32),
    /// Jumps where the top is true and keeps it, else drops it.
    OrJump(u32),
    /// Drops the top and jumps where it is false.
    Branch(u32),
    /// Jumps where the top is present and keeps it, else drops it.
    SomeJump(u32),
    /// Fails where the top is absent, which facts have ruled out.
    Sure,
    /// Whether the top is present.
    Has,
    /// The opposite of the top.
    Not,
    /// An operator on the two topmost values.
    Binary(Binary),
    /// An item of a list, or absent.
    Item,
    /// An entry of a map, or absent.
    Lookup,
    /// Whether a list has a value.
    InList,
    /// A function of the topmost value or the two topmost ones.
    Call(Func),
    /// A hash of the top, below this number.
    Hash(u32),
    /// The top split at a constant, into at most so many parts.
    Split(u16, u16),
    /// Whether a set has the top.
    InSet(u16),
    /// Whether the top begins with one of these prefixes.
    BeginsWithAny(u16),
    /// Whether a regular expression matches the top.
    Matches(u16),
    /// Whether the top is in one of these networks.
    InCidrs(u16),
    /// The next item of the list in `slot + 2` into `slot`, or a jump where there is none.
    Next(u16, u32),
    /// Whether a field equals a constant, without the stack.
    FieldIs(FieldId, u16),
    /// Whether a set has a field.
    FieldInSet(FieldId, u16),
    /// Whether a field begins with a constant.
    FieldBegins(FieldId, u16),
}

/// What programs share that differ in nothing but their constants. The cost is part of it: where longer
/// constants make a program cost more, its shape is another one.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    /// The instructions.
    pub(crate) ops: Box<[Op]>,
    /// Slots that the local variables take.
    pub(crate) slots: u16,
    /// The most that an evaluation costs, in units.
    pub(crate) cost: u64,
}

/// A program as the machine reads it, whoever owns its two parts.
#[derive(Clone, Copy)]
pub(crate) struct Code<'a> {
    pub(crate) shape: &'a Shape,
    pub(crate) operands: &'a [Operand],
}
