//! A typed expression language for matching inputs and computing keys, in the surface of CEL, whose worst-case
//! cost is known before use.
//!
//! A [`Schema`] says which fields there are, of which types, and how large they get. [`Expression::new`] reads a
//! text against it: names, types and the reads of what may be absent are checked, and the most that an
//! evaluation can cost is computed. What passes is a flat program; [`Expression::eval`] runs it on an [`Input`]
//! without allocating on the common path, and never spends more than was stated.
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
//! [`Expression::compile`] gives the small form that a program keeps of many expressions, and [`Selector`] tells
//! which of many tests can be true for an input at all.
//!
//! It does no I/O, reads no clock and knows no wire.

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
pub use limits::{MAX_LOCALS, MAX_MADE, MAX_PARTS, MAX_PATTERN, MAX_REGEX, MAX_REGEXES};
pub use machine::{Fault, Scratch};
pub use schema::{Bound, Field, FieldId, Input, Schema, Type, Value};
pub use select::{Chosen, Selector};
pub use select_key::SelectKey;

use check::{Checker, Leaf};
use node::Node;
use program::Program;
use std::ops::Range;

/// A value that an expression may have.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This text.
    Text(String),
    /// This number.
    Number(f64),
    /// Whatever this place of the input holds.
    Place(Path),
    /// Some other value.
    Other,
}

/// One way that an expression may come to its value.
#[derive(Clone, Debug)]
pub struct Way {
    /// The value.
    pub outcome: Outcome,
    /// What is known of the input on this way.
    pub facts: Facts,
    /// The part of the text that gives the value.
    pub span: Range<usize>,
}

/// A checked and compiled expression.
pub struct Expression {
    text: String,
    node: Node,
    program: Program,
    schema: Schema,
    slots: u16,
    holds: [Option<Facts>; 2],
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
    /// Reads an expression.
    ///
    /// # Errors
    /// The first fault, with its place in the text.
    pub fn new(text: &str, schema: &Schema) -> Result<Expression, Error> {
        Expression::knowing(text, schema, &Facts::default())
    }

    /// Reads an expression that is evaluated only where `facts` hold of the input.
    ///
    /// # Errors
    /// The first fault, with its place in the text.
    pub fn knowing(text: &str, schema: &Schema, facts: &Facts) -> Result<Expression, Error> {
        let read = || {
            let tree = ast::parse(text)?;
            let mut checker = Checker::new(schema);
            let node = checker.check(&tree, facts)?;
            let holds = if node.ty == Type::Bool {
                checker.facts(&node)
            } else {
                [None, None]
            };
            let ways = checker
                .leaves(&node, facts)
                .map(|leaves| leaves.into_iter().map(way).collect());
            let slots = checker.slots();
            let (program, parts) = Program::new(&node, slots, schema);
            // Down to the smallest part that still costs more than half of the whole.
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
                holds,
                ways,
                costliest,
            })
        };
        read().map_err(|error: Error| error.located(text))
    }

    /// As [`Expression::knowing`], and refused where it may cost more than `most` or is not of type `want`.
    ///
    /// # Errors
    /// The first fault; where it costs too much, the part that costs most.
    pub fn within(
        text: &str,
        schema: &Schema,
        facts: &Facts,
        want: &Type,
        max: u64,
    ) -> Result<Expression, Error> {
        let expression = Expression::knowing(text, schema, facts)?;
        if expression.ty() != want {
            let problem = format!("this is of type {}", expression.ty());
            let error = Error::new(expression.node.span.clone(), problem);
            let help = match expression.ty() {
                Type::Optional(of) if **of == *want => {
                    format!(
                        "{want} was expected: ask has() first, or give a default with .orValue()"
                    )
                }
                _ => format!("{want} was expected"),
            };
            return Err(error.help(help).located(text));
        }
        if expression.cost() > max {
            let (span, cost) = expression.costliest();
            let problem = format!(
                "the expression may cost {} units, {max} are the most; this part of it costs {cost}",
                expression.cost()
            );
            return Err(Error::new(span, problem).located(text));
        }
        Ok(expression)
    }

    /// The text that it was read from.
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The type of its value.
    pub fn ty(&self) -> &Type {
        &self.node.ty
    }

    /// The most that an evaluation costs, in units: about one for a step of the machine and one for each few
    /// bytes that it looks at.
    pub fn cost(&self) -> u64 {
        self.program.cost()
    }

    /// The smallest part that accounts for more than half of the cost, and its cost.
    pub fn costliest(&self) -> (Range<usize>, u64) {
        self.costliest.clone()
    }

    /// Longest text that it gives, in bytes; most items of a list.
    pub fn bound(&self) -> Bound {
        self.node.bound
    }

    /// What is known of the input wherever a test is true; none: it never is.
    pub fn when_true(&self) -> Option<&Facts> {
        self.holds[0].as_ref()
    }

    /// What is known of the input wherever a test is false; none: it never is.
    pub fn when_false(&self) -> Option<&Facts> {
        self.holds[1].as_ref()
    }

    /// Every way to a value; none: there are too many to tell apart.
    pub fn ways(&self) -> Option<&[Way]> {
        self.ways.as_deref()
    }

    /// A fault about a part of it that whoever uses it has found.
    pub fn fault(
        &self,
        span: Range<usize>,
        problem: impl Into<String>,
        help: impl Into<String>,
    ) -> Error {
        Error::new(span, problem).help(help).located(&self.text)
    }

    /// Its small form, which evaluates alike and keeps nothing that only checks and explanations need.
    pub fn compile(&self, interner: &mut Interner) -> Compiled {
        interner.compiled(&self.program)
    }

    /// What an index finds it by, as a test.
    pub fn select_key(&self, interner: &mut Interner) -> SelectKey {
        SelectKey::new(self.when_true(), interner)
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
        machine::run(self.program.code(), input, scratch)
    }

    /// The value of a test.
    ///
    /// # Errors
    /// As [`Expression::eval`]; or it is no test.
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
