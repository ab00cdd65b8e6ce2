//! Bytecode that the compiler emits and the machine runs. A program consists of its shape, which
//! many programs may share, and its operands, the constants that instructions refer to by index.

use crate::ast::Binary;
use crate::constant::Operand;
use crate::node::Func;
use crate::schema::FieldId;

/// An instruction of the stack machine. Operands and local variables are given by index, jumps by
/// the index of their target instruction. "The top" is the value at the top of the stack.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Op {
    /// Pushes a constant.
    Push(u16),
    /// Pushes a field's value.
    Field(FieldId),
    /// Pushes a reference to a list of the input, whose items are read one by one.
    List(FieldId),
    /// Pushes a reference to a map of the input, whose entries are read by look-ups.
    Map(FieldId),
    /// Pushes a local variable.
    Local(u16),
    /// Pops into a local variable.
    Store(u16),
    /// Jumps unconditionally.
    Jump(u32),
    /// Jumps and keeps the top if it is false, otherwise pops it.
    JumpIfFalseOrPop(u32),
    /// Jumps and keeps the top if it is true, otherwise pops it.
    JumpIfTrueOrPop(u32),
    /// Pops the top and jumps if it was false.
    PopJumpIfFalse(u32),
    /// Jumps and keeps the top if it is present, otherwise pops it.
    JumpIfPresentOrPop(u32),
    /// Fails if the top is absent. The checker has proved that it is present.
    Unwrap,
    /// Replaces the top by whether it is present.
    Has,
    /// Negates the top.
    Not,
    /// Applies an operator to the two topmost values.
    Binary(Binary),
    /// Pops an index and a list and pushes the item, or absent.
    Item,
    /// Pops a key and a map and pushes the entry, or absent.
    Lookup,
    /// Pops a list and a value and pushes whether the list contains the value.
    InList,
    /// Calls a function on the topmost value or the two topmost ones.
    Call(Func),
    /// Replaces the top by its hash, which is less than this number.
    Hash(u32),
    /// Splits the top at a constant (first operand) into at most this many parts (second operand).
    Split(u16, u16),
    /// Replaces the top by whether a set contains it.
    InSet(u16),
    /// Replaces the top by whether it begins with one of these prefixes.
    BeginsWithAny(u16),
    /// Replaces the top by whether a regular expression matches it.
    Matches(u16),
    /// Replaces the top by whether it is in one of these networks.
    InCidrs(u16),
    /// Stores the next item of the list in local `slot + 2` into local `slot`; jumps if no item is
    /// left.
    Next(u16, u32),
    /// Pushes whether a field equals a constant.
    FieldIs(FieldId, u16),
    /// Pushes whether a set contains a field.
    FieldInSet(FieldId, u16),
    /// Pushes whether a field begins with a constant.
    FieldBegins(FieldId, u16),
}

/// The part of a program that programs differing only in their constants share. It includes the
/// cost: where a longer constant makes a program more expensive, its shape is a different one.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(crate) struct Shape {
    /// The instructions.
    pub(crate) ops: Box<[Op]>,
    /// Number of slots for local variables.
    pub(crate) slots: u16,
    /// Maximum cost of an evaluation, in units.
    pub(crate) cost: u64,
}

/// A borrowed program, as the machine runs it.
#[derive(Clone, Copy)]
pub(crate) struct Code<'a> {
    pub(crate) shape: &'a Shape,
    pub(crate) operands: &'a [Operand],
}
