//! Folding of constants: a part of an expression that reads nothing of the input is evaluated when the
//! expression is checked.

use crate::constant::Const;
use crate::error::Error;
use crate::machine::{run, Scratch};
use crate::node::{Kind, Node};
use crate::program::Program;
use crate::schema::{FieldId, Input, Schema, Type, Value};

/// An input without any value.
struct Nothing;

impl Input for Nothing {
    fn get(&self, _: FieldId) -> Option<Value<'_>> {
        None
    }
}

/// A node whose parts are all constant, as a constant.
///
/// # Errors
/// It fails whatever the input.
pub(crate) fn fold(node: Node) -> Result<Node, Error> {
    if let Kind::If(test, yes, no) = node.kind {
        return Ok(match test.as_const() {
            Some(Const::Bool(true)) => *yes,
            Some(Const::Bool(false)) => *no,
            _ => Node {
                kind: Kind::If(test, yes, no),
                ..node
            },
        });
    }
    let inner = match &node.kind {
        Kind::Const(_) | Kind::Field(_) | Kind::Local(_) | Kind::Let(..) | Kind::Loop { .. } => {
            false
        }
        _ => node.children().iter().all(|part| part.as_const().is_some()),
    };
    if !inner || matches!(node.ty, Type::Optional(_) | Type::List(_) | Type::Map(_)) {
        return Ok(node);
    }
    let (program, _) = Program::new(&node, 0, &Schema::new());
    let mut scratch = Scratch::default();
    let value = match run(program.code(), &Nothing, &mut scratch) {
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
                format!("this fails whatever the input: {fault}"),
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
