//! What an expression does on one input, part by part. It owns the order of parts and what counts as reached.
//! It must never be on the serving path: each part is compiled anew.

use crate::machine::{run, Scratch};
use crate::node::{Kind, Node};
use crate::program::Program;
use crate::schema::{Input, Type, Value};
use crate::Expression;

/// Most parts that are shown.
const MAX_STEPS: usize = 200;

/// A part of an expression and what became of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// How deep it is within the whole, which is 0.
    pub depth: usize,
    /// Its text.
    pub text: String,
    /// Its value, `absent`, a fault, or `not reached`.
    pub value: String,
    /// What evaluating it cost, in units.
    pub cost: u64,
}

impl Expression {
    /// Evaluates each part on an input, the whole first.
    pub fn explain(&self, input: &dyn Input) -> Vec<Step> {
        let mut steps = Vec::new();
        self.step(&self.node, input, 0, true, &mut Vec::new(), &mut steps);
        steps
    }

    fn step<'n>(
        &self,
        node: &'n Node,
        input: &dyn Input,
        depth: usize,
        reached: bool,
        lets: &mut Vec<(u16, &'n Node)>,
        steps: &mut Vec<Step>,
    ) -> Option<bool> {
        if steps.len() >= MAX_STEPS {
            return None;
        }
        let text = self
            .text
            .get(node.span.clone())
            .unwrap_or("")
            .trim()
            .to_string();
        let (value, cost, truth) = if reached {
            self.value(node, input, lets)
        } else {
            ("not reached".to_string(), 0, None)
        };
        steps.push(Step {
            depth,
            text,
            value,
            cost,
        });
        let depth = depth + 1;
        match &node.kind {
            Kind::And(parts) | Kind::Or(parts) => {
                let stops = matches!(node.kind, Kind::Or(_));
                let mut on = reached;
                for part in parts {
                    let truth = self.step(part, input, depth, on, lets, steps);
                    on = on && truth == Some(!stops);
                }
            }
            Kind::If(test, yes, no) => {
                let truth = self.step(test, input, depth, reached, lets, steps);
                self.step(
                    yes,
                    input,
                    depth,
                    reached && truth == Some(true),
                    lets,
                    steps,
                );
                self.step(
                    no,
                    input,
                    depth,
                    reached && truth == Some(false),
                    lets,
                    steps,
                );
            }
            Kind::Let(slot, value, body) => {
                self.step(value, input, depth, reached, lets, steps);
                lets.push((*slot, value));
                self.step(body, input, depth, reached, lets, steps);
                lets.pop();
            }
            // Its variable has a value for each item: the whole is all that can be told.
            Kind::Loop { list, .. } => {
                self.step(list, input, depth, reached, lets, steps);
            }
            _ => {
                for part in node.children() {
                    if part.as_const().is_none() && part.span != node.span {
                        self.step(part, input, depth, reached, lets, steps);
                    }
                }
            }
        }
        truth
    }

    /// A part's value by itself, within the names that are around it.
    fn value(
        &self,
        node: &Node,
        input: &dyn Input,
        lets: &[(u16, &Node)],
    ) -> (String, u64, Option<bool>) {
        if let Type::List(_) | Type::Map(_) = node.ty {
            return (node.ty.to_string(), 0, None);
        }
        let whole = lets
            .iter()
            .rev()
            .fold(node.clone(), |body, (slot, value)| Node {
                ty: body.ty.clone(),
                bound: body.bound,
                span: body.span.clone(),
                kind: Kind::Let(*slot, Box::new((*value).clone()), body.into()),
            });
        let (program, _) = Program::new(&whole, self.slots, &self.schema);
        let mut scratch = Scratch::default();
        let (told, truth) = match run(program.code(), input, &mut scratch) {
            Ok(Some(Value::Bool(value))) => (value.to_string(), Some(value)),
            Ok(Some(value)) => (value.to_string(), None),
            Ok(None) => ("absent".into(), None),
            Err(fault) => (format!("fails: {fault}"), None),
        };
        (told, scratch.spent(), truth)
    }
}
