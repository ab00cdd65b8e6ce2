//! Explains the evaluation of an expression on one input, part by part. It compiles each part
//! separately, so it must not be used on the serving path.

use crate::machine::{run, Scratch};
use crate::node::{Kind, Node};
use crate::program::Program;
use crate::schema::{Input, Type, Value};
use crate::Expression;

/// Maximum number of parts in an explanation.
const MAX_STEPS: usize = 200;

/// A part of an expression and the result of its evaluation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Nesting depth; 0 for the whole expression.
    pub depth: usize,
    /// Source text of the part.
    pub text: String,
    /// Value of the part, `absent`, an error, or `not reached`.
    pub value: String,
    /// Cost of the evaluation, in units.
    pub cost: u64,
}

impl Expression {
    /// Evaluates each part on an input. The whole expression comes first.
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
        bindings: &mut Vec<(u16, &'n Node)>,
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
            self.value(node, input, bindings)
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
                let stopping_value = matches!(node.kind, Kind::Or(_));
                let mut still_reached = reached;
                for part in parts {
                    let truth = self.step(part, input, depth, still_reached, bindings, steps);
                    still_reached = still_reached && truth == Some(!stopping_value);
                }
            }
            Kind::If(test, then, otherwise) => {
                let truth = self.step(test, input, depth, reached, bindings, steps);
                self.step(
                    then,
                    input,
                    depth,
                    reached && truth == Some(true),
                    bindings,
                    steps,
                );
                self.step(
                    otherwise,
                    input,
                    depth,
                    reached && truth == Some(false),
                    bindings,
                    steps,
                );
            }
            Kind::Let(slot, value, body) => {
                self.step(value, input, depth, reached, bindings, steps);
                bindings.push((*slot, value));
                self.step(body, input, depth, reached, bindings, steps);
                bindings.pop();
            }
            // The test has a value for each item of the list; only the result of the loop is
            // listed.
            Kind::Loop { list, .. } => {
                self.step(list, input, depth, reached, bindings, steps);
            }
            _ => {
                for part in node.children() {
                    if part.as_const().is_none() && part.span != node.span {
                        self.step(part, input, depth, reached, bindings, steps);
                    }
                }
            }
        }
        truth
    }

    /// Value, cost and truth of a part, evaluated within the `let` bindings around it.
    fn value(
        &self,
        node: &Node,
        input: &dyn Input,
        bindings: &[(u16, &Node)],
    ) -> (String, u64, Option<bool>) {
        if let Type::List(_) | Type::Map(_) = node.ty {
            return (node.ty.to_string(), 0, None);
        }
        let with_bindings = bindings
            .iter()
            .rev()
            .fold(node.clone(), |body, (slot, value)| Node {
                ty: body.ty.clone(),
                bound: body.bound,
                span: body.span.clone(),
                kind: Kind::Let(*slot, Box::new((*value).clone()), body.into()),
            });
        let (program, _) = Program::new(&with_bindings, self.slots, &self.schema);
        let mut scratch = Scratch::default();
        let (text, truth) = match run(program.code(), input, &mut scratch) {
            Ok(Some(Value::Bool(value))) => (value.to_string(), Some(value)),
            Ok(Some(value)) => (value.to_string(), None),
            Ok(None) => ("absent".into(), None),
            Err(fault) => (format!("fails: {fault}"), None),
        };
        (text, scratch.spent(), truth)
    }
}
