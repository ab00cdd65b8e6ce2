//! Constant folding: evaluates parts of an expression that read nothing of the input when the
//! expression is checked.

use crate::constant::Const;
use crate::error::Error;
use crate::machine::{run, Scratch};
use crate::node::{Kind, Node};
use crate::program::Program;
use crate::schema::{FieldId, Input, Schema, Type, Value};

/// An input in which every value is absent.
struct EmptyInput;

impl Input for EmptyInput {
    fn get(&self, _: FieldId) -> Option<Value<'_>> {
        None
    }
}

/// Replaces a node by a constant if all its children are constant.
///
/// # Errors
/// The evaluation fails for every input.
pub(crate) fn fold(node: Node) -> Result<Node, Error> {
    if let Kind::If(test, then, otherwise) = node.kind {
        return Ok(match test.as_const() {
            Some(Const::Bool(true)) => *then,
            Some(Const::Bool(false)) => *otherwise,
            _ => Node {
                kind: Kind::If(test, then, otherwise),
                ..node
            },
        });
    }
    let is_foldable = match &node.kind {
        Kind::Const(_) | Kind::Field(_) | Kind::Local(_) | Kind::Let(..) | Kind::Loop { .. } => {
            false
        }
        _ => node.children().iter().all(|part| part.as_const().is_some()),
    };
    if !is_foldable || matches!(node.ty, Type::Optional(_) | Type::List(_) | Type::Map(_)) {
        return Ok(node);
    }
    let (program, _) = Program::new(&node, 0, &Schema::new());
    let mut scratch = Scratch::default();
    let value = match run(program.code(), &EmptyInput, &mut scratch) {
        Ok(Some(Value::Bool(v))) => Const::Bool(v),
        Ok(Some(Value::Int(v))) => Const::Int(v),
        Ok(Some(Value::Double(v))) => Const::Double(v),
        Ok(Some(Value::Text(v))) => Const::Text(v.into()),
        Ok(Some(Value::Duration(v))) => Const::Duration(v),
        Ok(Some(Value::Ip(v))) => Const::Ip(v),
        Ok(None) => return Ok(node),
        Err(fault) => {
            return Err(Error::new(
                node.span,
                format!("this fails for every input: {fault}"),
            ))
        }
    };
    let (ty, bound) = (value.ty(), value.bound());
    Ok(Node {
        kind: Kind::Const(value),
        ty,
        bound,
        span: node.span,
    })
}
