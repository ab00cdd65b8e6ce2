//! Compact form of a checked expression: a program whose shape and constants are shared with other
//! expressions.

use crate::code::{Code, Shape};
use crate::constant::{Operand, ARC_HEADER};
use crate::machine::{run, Fault, Scratch};
use crate::schema::{Input, Value};
use std::mem::size_of;
use std::sync::Arc;

/// A checked expression that is ready to run, without the data that only checks and explanations
/// need. Clones share all of it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Compiled {
    pub(crate) shape: Arc<Shape>,
    pub(crate) operands: Arc<[Operand]>,
}

impl std::fmt::Debug for Compiled {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Compiled")
            .field("cost", &self.cost())
            .finish_non_exhaustive()
    }
}

impl Compiled {
    /// Maximum cost of an evaluation, in units; equal to that of the
    /// [`Expression`](crate::Expression).
    pub fn cost(&self) -> u64 {
        self.shape.cost
    }

    /// Evaluates the expression; `None` if the value is absent, which is possible for optional
    /// types only.
    ///
    /// # Errors
    /// A number overflowed or was divided by zero, or the input does not match its schema.
    pub fn eval<'b>(
        &'b self,
        input: &'b dyn Input,
        scratch: &'b mut Scratch,
    ) -> Result<Option<Value<'b>>, Fault> {
        run(self.code(), input, scratch)
    }

    /// Evaluates a boolean expression.
    ///
    /// # Errors
    /// As [`Compiled::eval`]; also if the expression is not boolean.
    pub fn test(&self, input: &dyn Input, scratch: &mut Scratch) -> Result<bool, Fault> {
        match self.eval(input, scratch)? {
            Some(Value::Bool(value)) => Ok(value),
            _ => Err(Fault::Input),
        }
    }

    /// Whether both share one program: clones, or equal expressions of one
    /// [`Interner`](crate::Interner).
    pub fn same(&self, other: &Compiled) -> bool {
        Arc::ptr_eq(&self.shape, &other.shape) && Arc::ptr_eq(&self.operands, &other.operands)
    }

    /// Whether both share one shape, so that they differ in their constants at most.
    pub fn same_shape(&self, other: &Compiled) -> bool {
        Arc::ptr_eq(&self.shape, &other.shape)
    }

    /// Estimated heap bytes of the constants, counted in full even if others share them. The shape,
    /// which many expressions share, is not counted.
    pub fn heap_bytes(&self) -> usize {
        let referred: usize = self.operands.iter().map(Operand::heap_bytes).sum();
        ARC_HEADER + size_of::<Operand>() * self.operands.len() + referred
    }

    fn code(&self) -> Code<'_> {
        Code {
            shape: &self.shape,
            operands: &self.operands,
        }
    }
}
