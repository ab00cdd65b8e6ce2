//! A typed expression language with a CEL-like syntax. Expressions match inputs and compute keys,
//! and their worst-case cost is known before use.
//!
//! A [`Schema`] lists the fields that an expression may read, with their types and maximum sizes.
//! [`Expression::new`] parses a text against it: names, types and the reads of values that may be
//! absent are checked, and the maximum cost of an evaluation is computed. The result is a flat
//! program. [`Expression::eval`] runs it on an [`Input`] without allocating on the common path, and
//! never spends more than the computed cost.
//!
//! ```
//! use driftgap_expr::{Expression, FieldId, Input, Schema, Scratch, Type, Value};
//!
//! struct Request(&'static str);
//!
//! impl Input for Request {
//!     fn get(&self, field: FieldId) -> Option<Value<'_>> {
//!         (field == FieldId(0)).then_some(Value::Text(self.0))
//!     }
//! }
//!
//! let schema = Schema::new().field("request.path", Type::Text, 256, 0);
//! let expression = Expression::new("request.path.startsWith('/episodes/')", &schema)?;
//! assert_eq!(expression.ty(), &Type::Bool);
//! let mut scratch = Scratch::default();
//! let value = expression.eval(&Request("/episodes/7"), &mut scratch)?;
//! assert_eq!(value, Some(Value::Bool(true)));
//! assert!(scratch.spent() <= expression.cost());
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! [`Expression::compile`] gives the compact form for programs that keep many expressions.
//! [`Selector`] finds those of many tests that can be true for an input.
//!
//! A test is an expression of type bool. A fact is something known about the input where a test is
//! true or false, such as that a field is present.
//!
//! The crate does no I/O, reads no clock and knows no wire format.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod ast;
mod check;
mod code;
mod compiled;
mod constant;
mod error;
mod explain;
mod facts;
mod fold;
mod interner;
mod lex;
mod limits;
mod machine;
mod node;
mod price;
mod program;
mod schema;
mod select;
mod select_key;
mod text_index;

pub use ast::MAX_DEPTH;
pub use compiled::Compiled;
pub use error::{Error, Origin};
pub use explain::Step;
pub use facts::{Fact, Facts, Path, Texts};
pub use interner::Interner;
pub use lex::{MAX_LITERAL, MAX_TEXT, MAX_TOKENS};
pub use limits::{MAX_CONCATENATED, MAX_LOCALS, MAX_PARTS, MAX_PATTERN, MAX_REGEX, MAX_REGEXES};
pub use machine::{Fault, Scratch};
pub use schema::{Bound, Field, FieldId, Input, Schema, Type, Value};
pub use select::{Chosen, Selector};
pub use select_key::SelectKey;

use check::{Checker, Leaf};
use node::Node;
use program::Program;
use std::ops::Range;

/// A value that an expression may have, as far as it is known before an evaluation.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// A constant text.
    Text(String),
    /// A constant number.
    Number(f64),
    /// The value at this path of the input.
    Place(Path),
    /// Any other value.
    Other,
}

/// One alternative value of an expression, such as that of one branch of a conditional.
#[derive(Clone, Debug)]
pub struct Way {
    /// The value.
    pub outcome: Outcome,
    /// Facts that hold for every input for which the expression has this value.
    pub facts: Facts,
    /// Byte range of the expression's text that gives the value.
    pub span: Range<usize>,
}

/// A checked and compiled expression.
pub struct Expression {
    text: String,
    node: Node,
    program: Program,
    schema: Schema,
    slots: u16,
    test_facts: [Option<Facts>; 2],
    ways: Option<Vec<Way>>,
    costliest: (Range<usize>, u64),
}

impl std::fmt::Debug for Expression {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Expression")
            .field("text", &self.text)
            .field("cost", &self.cost())
            .finish_non_exhaustive()
    }
}

impl Expression {
    /// Parses and checks an expression.
    ///
    /// # Errors
    /// The first error, with its position in the text.
    pub fn new(text: &str, schema: &Schema) -> Result<Expression, Error> {
        Expression::with_facts(text, schema, &Facts::default())
    }

    /// Parses and checks an expression that is evaluated only for inputs for which `facts` hold.
    ///
    /// # Errors
    /// The first error, with its position in the text.
    pub fn with_facts(text: &str, schema: &Schema, facts: &Facts) -> Result<Expression, Error> {
        let read = || {
            let tree = ast::parse(text)?;
            let mut checker = Checker::new(schema);
            let node = checker.check(&tree, facts)?;
            let test_facts = if node.ty == Type::Bool {
                checker.facts(&node)
            } else {
                [None, None]
            };
            let ways = checker
                .leaves(&node, facts)
                .map(|leaves| leaves.into_iter().map(way).collect());
            let slots = checker.slots();
            let (program, parts) = Program::new(&node, slots, schema);
            // Descends to the smallest part that costs more than half of the whole expression.
            let mut costliest = 0;
            for (i, part) in parts.iter().enumerate().skip(1) {
                if part.parent == costliest && 2 * part.cost > program.cost() {
                    costliest = i;
                }
            }
            let costliest = (parts[costliest].span.clone(), parts[costliest].cost);
            let (text, schema) = (text.to_string(), schema.clone());
            Ok(Expression {
                text,
                node,
                program,
                schema,
                slots,
                test_facts,
                ways,
                costliest,
            })
        };
        read().map_err(|error: Error| error.located(text))
    }

    /// As [`Expression::with_facts`], but refuses an expression that may cost more than `max` or
    /// whose type is not `want`.
    ///
    /// # Errors
    /// The first error; if the cost is too high, the error points at the most expensive part.
    pub fn within(
        text: &str,
        schema: &Schema,
        facts: &Facts,
        want: &Type,
        max: u64,
    ) -> Result<Expression, Error> {
        let expression = Expression::with_facts(text, schema, facts)?;
        if expression.ty() != want {
            let problem = format!("this is of type {}", expression.ty());
            let error = Error::new(expression.node.span.clone(), problem);
            let help = match expression.ty() {
                Type::Optional(of) if **of == *want => {
                    format!(
                        "{want} was expected: test it with has() first, or give a default with .orValue()"
                    )
                }
                _ => format!("{want} was expected"),
            };
            return Err(error.help(help).located(text));
        }
        if expression.cost() > max {
            let (span, cost) = expression.costliest();
            let problem = format!(
                "the expression may cost {} units, the limit is {max}; this part of it costs {cost}",
                expression.cost()
            );
            return Err(Error::new(span, problem).located(text));
        }
        Ok(expression)
    }

    /// The source text of the expression.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The type of the expression's value.
    pub fn ty(&self) -> &Type {
        &self.node.ty
    }

    /// Maximum cost of an evaluation, in units: about one for each instruction and one for each few
    /// bytes that the machine examines.
    pub fn cost(&self) -> u64 {
        self.program.cost()
    }

    /// Byte range and cost of the smallest part that accounts for more than half of the total cost.
    pub fn costliest(&self) -> (Range<usize>, u64) {
        self.costliest.clone()
    }

    /// Upper bound on the size of the value.
    pub fn bound(&self) -> Bound {
        self.node.bound
    }

    /// Facts that hold for every input for which a test is true; `None` if the test is never true.
    pub fn when_true(&self) -> Option<&Facts> {
        self.test_facts[0].as_ref()
    }

    /// Facts that hold for every input for which a test is false; `None` if the test is never
    /// false.
    pub fn when_false(&self) -> Option<&Facts> {
        self.test_facts[1].as_ref()
    }

    /// All alternative values of the expression; `None` if there are too many to list.
    pub fn ways(&self) -> Option<&[Way]> {
        self.ways.as_deref()
    }

    /// An error at a part of this expression, for checks that the caller makes itself.
    pub fn fault(
        &self,
        span: Range<usize>,
        problem: impl Into<String>,
        help: impl Into<String>,
    ) -> Error {
        Error::new(span, problem).help(help).located(&self.text)
    }

    /// Compiles to the compact form, which evaluates to the same values and omits what only checks
    /// and explanations need.
    pub fn compile(&self, interner: &mut Interner) -> Compiled {
        interner.compiled(&self.program)
    }

    /// The key by which an index finds this expression as a test.
    pub fn select_key(&self, interner: &mut Interner) -> SelectKey {
        SelectKey::new(self.when_true(), interner)
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
        machine::run(self.program.code(), input, scratch)
    }

    /// Evaluates a boolean expression.
    ///
    /// # Errors
    /// As [`Expression::eval`]; also if the expression is not boolean.
    pub fn test(&self, input: &dyn Input, scratch: &mut Scratch) -> Result<bool, Fault> {
        match machine::run(self.program.code(), input, scratch)? {
            Some(Value::Bool(value)) => Ok(value),
            _ => Err(Fault::Input),
        }
    }
}

fn way((leaf, facts, span): (Leaf, Facts, Range<usize>)) -> Way {
    let outcome = match leaf {
        Leaf::Place(path) => Outcome::Place(path),
        Leaf::Const(value) => match value.value() {
            Some(Value::Text(text)) => Outcome::Text(text.to_string()),
            Some(Value::Int(number)) => Outcome::Number(number as f64),
            Some(Value::Double(number)) => Outcome::Number(number),
            _ => Outcome::Other,
        },
        Leaf::Unknown => Outcome::Other,
    };
    Way {
        outcome,
        facts,
        span,
    }
}
