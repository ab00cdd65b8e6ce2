//! Methods of values, such as `x.startsWith(y)` and `list.exists(y, test)`.

use super::functions::size;
use super::messages::{article, mismatch, OPTIONAL_HELP};
use super::{max_bound, CheckResult, Checker, METHODS};
use crate::ast::{Tree, TreeKind};
use crate::constant::Const;
use crate::error::{nearest, Error};
use crate::facts::Facts;
use crate::lex::abbreviated;
use crate::limits::MAX_PARTS;
use crate::node::{Func, Kind, Node};
use crate::schema::{Bound, Type};
use std::ops::Range;

/// Maximum number of parts of `split` if the expression does not give one.
const DEFAULT_PARTS: i64 = 16;
/// Number of slots of a loop: its variable, the index and the list.
const LOOP_SLOTS: u16 = 3;

impl Checker<'_> {
    /// Checks a call of a method.
    pub(super) fn method(
        &mut self,
        of: &Tree,
        name: &str,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        if name == "exists" || name == "all" {
            return self.quantifier(of, name == "all", args, span, facts);
        }
        let of = self.check(of, facts)?;
        if name == "orValue" {
            return self.or_value(of, args, span, facts);
        }
        if let Type::Optional(_) = &of.ty {
            let error = Error::new(of.span.clone(), format!("this is {}", article(&of.ty)));
            return Err(error.help(OPTIONAL_HELP));
        }
        let arguments: &[usize] = match (name, &of.ty) {
            ("size", Type::Text | Type::List(_) | Type::Map(_)) => &[0],
            ("lowerAscii", Type::Text) | ("milliseconds", Type::Duration) => &[0],
            ("startsWith" | "endsWith" | "contains" | "matches", Type::Text) => &[1],
            ("inCidr", Type::Ip) => &[1],
            ("split", Type::Text) => &[1, 2],
            _ => return Err(no_method(name, &of.ty, span)),
        };
        self.check_arity(name, args, arguments, &span)?;
        match name {
            "size" => size(of, span),
            "lowerAscii" => {
                let bound = of.bound;
                let call = Kind::Call(Func::LowerAscii, vec![of]);
                Ok(Node::new(call, Type::Text, bound, span))
            }
            "milliseconds" => {
                let call = Kind::Call(Func::Milliseconds, vec![of]);
                Ok(Node::new(call, Type::Int, Bound::default(), span))
            }
            "split" => self.split(of, args, span, facts),
            "inCidr" => {
                let ranges = self.check(&args[0], facts)?;
                self.in_cidrs(of, ranges, span)
            }
            "matches" => {
                let pattern = self.text(&args[0], facts)?;
                self.matches(of, pattern, span)
            }
            _ => {
                let func = match name {
                    "startsWith" => Func::StartsWith,
                    "endsWith" => Func::EndsWith,
                    _ => Func::Contains,
                };
                let with = self.text(&args[0], facts)?;
                let call = Kind::Call(func, vec![of, with]);
                Ok(Node::new(call, Type::Bool, Bound::default(), span))
            }
        }
    }

    /// Checks an argument that must be a text.
    fn text(&mut self, tree: &Tree, facts: &Facts) -> CheckResult<Node> {
        let node = self.check(tree, facts)?;
        if node.ty == Type::Text {
            Ok(node)
        } else {
            Err(mismatch(&node.span, "string", &node))
        }
    }

    /// `x.orValue(default)`.
    fn or_value(
        &mut self,
        of: Node,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        self.check_arity("orValue", args, &[1], &span)?;
        let default = self.check(&args[0], facts)?;
        // Facts prove that the value is present: the default is never used.
        if let Kind::Unwrap(_) = &of.kind {
            return Ok(of);
        }
        let Type::Optional(ty) = &of.ty else {
            let error = Error::new(of.span, "this is always present");
            return Err(error.help(".orValue() applies to a value that may be absent"));
        };
        if default.ty != **ty {
            return Err(mismatch(&default.span, &ty.to_string(), &default));
        }
        let ty = (**ty).clone();
        let bound = max_bound(of.bound, default.bound);
        let or_value = Kind::OrValue(of.into(), default.into());
        Ok(Node::new(or_value, ty, bound, span))
    }

    /// `x.split(separator)` and `x.split(separator, parts)`.
    fn split(
        &mut self,
        of: Node,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let separator = self.text(&args[0], facts)?;
        if separator
            .as_text()
            .is_none_or(|separator| separator.is_empty())
        {
            let problem = "split() takes a constant string that is not empty";
            return Err(Error::new(separator.span, problem));
        }
        let max = match args.get(1) {
            None => Node::constant(Const::Int(DEFAULT_PARTS), span.clone()),
            Some(max) => self.check(max, facts)?,
        };
        let parts = match max.as_const() {
            Some(Const::Int(parts)) if (1..=MAX_PARTS).contains(parts) => *parts as u32,
            _ => {
                let problem =
                    format!("the maximum number of parts must be a constant from 1 to {MAX_PARTS}");
                return Err(Error::new(max.span, problem));
            }
        };
        let bound = Bound::new(of.bound.bytes, parts);
        let ty = Type::List(Type::Text.into());
        let call = Kind::Call(Func::Split, vec![of, separator, max]);
        Ok(Node::new(call, ty, bound, span))
    }

    /// `list.exists(x, test)` and `list.all(x, test)`.
    fn quantifier(
        &mut self,
        of: &Tree,
        all: bool,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> CheckResult<Node> {
        let name = if all { "all" } else { "exists" };
        self.check_arity(name, args, &[2], &span)?;
        let list = self.check(of, facts)?;
        let Type::List(item) = &list.ty else {
            return Err(mismatch(&list.span, "a list", &list));
        };
        let TreeKind::Name(variable) = &args[0].kind else {
            return Err(Error::new(args[0].span.clone(), "this is not a name")
                .help(format!("write `x.{name}(y, ...)`")));
        };
        let item = Node::new(
            Kind::Local(0),
            (**item).clone(),
            Bound::new(list.bound.bytes, 0),
            span.clone(),
        );
        let slot = self.declare(
            variable,
            &item,
            None,
            None,
            args[0].span.clone(),
            LOOP_SLOTS,
        )?;
        let test = self.bool(&args[1], facts)?;
        self.end_scope(slot);
        let kind = Kind::Loop {
            all,
            slot,
            list: list.into(),
            test: test.into(),
        };
        Ok(Node::new(kind, Type::Bool, Bound::default(), span))
    }
}

/// Builds the error for an unknown method of a type.
fn no_method(name: &str, ty: &Type, span: Range<usize>) -> Error {
    let problem = format!("there is no `.{}()` for {}", abbreviated(name), article(ty));
    let error = Error::new(span, problem);
    match nearest(name, METHODS.into_iter().filter(|m| *m != name)) {
        Some(near) => error.help(format!("did you mean `{near}`?")),
        None => error,
    }
}
