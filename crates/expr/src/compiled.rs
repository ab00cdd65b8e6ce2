//! The small form of a checked expression: a program whose shape and constants are shared with other expressions.

use crate::code::{Code, Shape};
use crate::constant::{Operand, ARC_HEADER};
use crate::machine::{run, Fault, Scratch};
use crate::schema::{Input, Value};
use std::mem::size_of;
use std::sync::Arc;

/// A checked expression, ready to run, without what only checks and explanations need. Clones share all of it.
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
    /// The most that an evaluation costs, in units, as that of the [`Expression`](crate::Expression).
    pub fn cost(&self) -> u64 {
        self.shape.cost
    }

    /// Its value for an input; none: the value is absent, which only one of an optional type is.
    ///
    /// # Errors
    /// A number overflowed or was divided by zero; or the input is not as its schema says.
    pub fn eval<'b>(
        &'b self,
        input: &'b dyn Input,
        scratch: &'b mut Scratch,
    ) -> Result<Option<Value<'b>>, Fault> {
        run(self.code(), input, scratch)
    }

    /// The value of a test.
    ///
    /// # Errors
    /// As [`Compiled::eval`]; or it is no test.
    pub fn test(&self, input: &dyn Input, scratch: &mut Scratch) -> Result<bool, Fault> {
        match self.eval(input, scratch)? {
            Some(Value::Bool(value)) => Ok(value),
            _ => Err(Fault::Input),
        }
    }

    /// Whether both are one: clones, or equal expressions of one [`Interner`](crate::Interner).
    pub fn same(&self, other: &Compiled) -> bool {
        Arc::ptr_eq(&self.shape, &other.shape) && Arc::ptr_eq(&self.operands, &other.operands)
    }

    /// Whether both have one program and differ in constants at most.
    pub fn same_shape(&self, other: &Compiled) -> bool {
        Arc::ptr_eq(&self.shape, &other.shape)
    }

    /// An estimate of the bytes on the heap that its constants take, counted in full also where others share
    /// them. The shape, which many expressions share, is left out.
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
