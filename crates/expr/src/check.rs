//! From the tree of a text to a typed tree: every name known, every type fitting, every read of what may be
//! absent guarded. It owns the types of operators and functions, the narrowing by what was asked before, the
//! folding of constants and the wording of type faults. It must never evaluate anything of an input, or take
//! longer than the text's length warrants.

mod leaves;
mod merge;
mod truth;

pub(crate) use leaves::Leaf;

use crate::ast::{Binary, Tree, What};
use crate::constant::{Const, ConstList, ConstMap, Pattern};
use crate::error::{nearest, Error};
use crate::facts::{Facts, Path};
use crate::fold::fold;
use crate::lex::short;
use crate::node::{bounded, Func, Kind, Node};
use crate::schema::{Bound, Schema, Type};
use ipnet::IpNet;
use rapidhash::RapidHashMap;
use std::ops::Range;
use std::sync::Arc;

/// Longest pattern of a regular expression, and most memory that its compiled form may take, bytes.
pub const MAX_PATTERN: usize = 512;
/// See [`MAX_PATTERN`].
pub const MAX_REGEX: usize = 64 * 1024;
/// Most regular expressions in one expression.
pub const MAX_REGEXES: usize = 16;
/// Most parts that `split` gives.
pub const MAX_PARTS: i64 = 64;
/// Most names of the expression's own (`let`, `exists`, `all`), hidden ones of loops included.
pub const MAX_LOCALS: usize = 32;
/// Longest text that an expression may make, bytes.
pub const MAX_MADE: u32 = 64 * 1024;
/// Longest duration, ms: 100 years.
const MAX_DURATION: f64 = 3.2e12;

/// A name of the expression's own.
#[derive(Clone, Debug)]
struct Name {
    name: String,
    slot: u16,
    ty: Type,
    bound: Bound,
    /// The place of the input that it is another name for.
    path: Option<Path>,
    /// What its being true or false says, if it is a test.
    when: Option<[Option<Facts>; 2]>,
    /// It may be read here. Names stay known after that: facts are asked for later.
    open: bool,
}

pub(crate) struct Checker<'a> {
    schema: &'a Schema,
    names: Vec<Name>,
    slots: u16,
    regexes: usize,
}

type Res<T> = Result<T, Error>;

/// The function's names, for messages.
const METHODS: [&str; 16] = [
    "size",
    "startsWith",
    "endsWith",
    "contains",
    "matches",
    "lowerAscii",
    "split",
    "inCidr",
    "orValue",
    "exists",
    "all",
    "milliseconds",
    "min",
    "max",
    "hash",
    "string",
];
const FUNCTIONS: [&str; 11] = [
    "has", "size", "int", "double", "string", "duration", "ip", "hash", "min", "max", "let",
];

fn mismatch(span: &Range<usize>, want: &str, got: &Node) -> Error {
    let error = Error::new(span.clone(), format!("this is {}", article(&got.ty)));
    match &got.ty {
        Type::Optional(of) if of.to_string() == want => error.help(format!(
            "{want} was expected: ask has() first, or give a default with .orValue()"
        )),
        _ => error.help(format!("{want} was expected")),
    }
}

fn article(ty: &Type) -> String {
    match ty {
        Type::Int | Type::Ip | Type::Optional(_) => format!("an {ty}"),
        _ => format!("a {ty}"),
    }
}

impl<'a> Checker<'a> {
    pub(crate) fn new(schema: &'a Schema) -> Checker<'a> {
        Checker {
            schema,
            names: Vec::new(),
            slots: 0,
            regexes: 0,
        }
    }

    /// Locals that the expression needs.
    pub(crate) fn slots(&self) -> u16 {
        self.slots
    }

    /// Types a tree, knowing `facts` of the input.
    pub(crate) fn check(&mut self, tree: &Tree, facts: &Facts) -> Res<Node> {
        let node = self.typed(tree, facts)?;
        fold(node)
    }

    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn typed(&mut self, tree: &Tree, facts: &Facts) -> Res<Node> {
        let span = tree.span.clone();
        match &tree.what {
            What::Bool(v) => Ok(Node::constant(Const::Bool(*v), span)),
            What::Int(v) => Ok(Node::constant(Const::Int(*v), span)),
            What::Double(v) => Ok(Node::constant(Const::Double(*v), span)),
            What::Text(v) => Ok(Node::constant(Const::Text(v.as_str().into()), span)),
            What::Name(_) | What::Member(..) => self.place(tree, facts),
            What::Index(of, index) => self.index(of, index, span, facts),
            What::Call(name, args) => self.call(name, args, span, facts),
            What::Method(of, name, args) => self.method(of, name, args, span, facts),
            What::Not(a) => {
                let a = self.bool(a, facts)?;
                Ok(Node::new(
                    Kind::Not(a.into()),
                    Type::Bool,
                    Bound::default(),
                    span,
                ))
            }
            What::Minus(a) => {
                let a = self.check(a, facts)?;
                if !matches!(a.ty, Type::Int | Type::Double | Type::Duration) {
                    return Err(mismatch(&a.span, "a number", &a));
                }
                let ty = a.ty.clone();
                Ok(Node::new(
                    Kind::Call(Func::Minus, vec![a]),
                    ty,
                    Bound::default(),
                    span,
                ))
            }
            What::And(parts) => self.chain(parts, true, span, facts),
            What::Or(parts) => self.chain(parts, false, span, facts),
            What::If(test, yes, no) => {
                let test = self.bool(test, facts)?;
                // On a way that is never taken anything is known; what was known before does for its types.
                let [yes_facts, no_facts] = self.facts(&test);
                let way = |known: Option<Facts>| {
                    known
                        .and_then(|known| facts.clone().meet(known))
                        .unwrap_or_else(|| facts.clone())
                };
                let (known_yes, known_no) = (way(yes_facts), way(no_facts));
                let (yes, no) = (self.check(yes, &known_yes)?, self.check(no, &known_no)?);
                if yes.ty != no.ty {
                    let problem =
                        format!("the two sides of `? :` differ: {} and {}", yes.ty, no.ty);
                    return Err(
                        Error::new(no.span, problem).help(format!("{} was expected", yes.ty))
                    );
                }
                let bound = larger(yes.bound, no.bound);
                let ty = yes.ty.clone();
                Ok(Node::new(
                    Kind::If(test.into(), yes.into(), no.into()),
                    ty,
                    bound,
                    span,
                ))
            }
            What::Binary(Binary::In, a, b) => self.is_in(a, b, span, facts),
            What::Binary(operator, a, b) => {
                let (a, b) = (self.check(a, facts)?, self.check(b, facts)?);
                self.binary(*operator, a, b, span)
            }
            What::List(parts) => self.list(parts, span, facts),
            What::Map(pairs) => self.map(pairs, span, facts),
            What::Let(name, value, body) => {
                let value = self.check(value, facts)?;
                let when = (value.ty == Type::Bool).then(|| self.facts(&value));
                let path = self.path(&value);
                let slot = self.declare(name, &value, path, when, span.clone(), 1)?;
                let body = self.check(body, facts)?;
                self.close(slot);
                let (ty, bound) = (body.ty.clone(), body.bound);
                Ok(Node::new(
                    Kind::Let(slot, value.into(), body.into()),
                    ty,
                    bound,
                    span,
                ))
            }
        }
    }

    fn declare(
        &mut self,
        name: &str,
        value: &Node,
        path: Option<Path>,
        when: Option<[Option<Facts>; 2]>,
        span: Range<usize>,
        slots: u16,
    ) -> Res<u16> {
        let taken = self.names.iter().any(|n| n.open && n.name == name);
        if taken || self.schema.id(name).is_some() || self.schema.is_space(name) {
            return Err(Error::new(
                span,
                format!("`{}` has a meaning already", short(name)),
            ));
        }
        let slot = self.slots;
        if usize::from(slot + slots) > MAX_LOCALS {
            return Err(Error::new(
                span,
                format!("more than {MAX_LOCALS} names of the expression's own"),
            ));
        }
        self.slots += slots;
        let path = path.or(Some(Path::Local(slot)));
        let (ty, bound) = (value.ty.clone(), value.bound);
        self.names.push(Name {
            name: name.to_string(),
            slot,
            ty,
            bound,
            path,
            when,
            open: true,
        });
        Ok(slot)
    }

    fn close(&mut self, slot: u16) {
        self.names
            .iter_mut()
            .filter(|n| n.slot == slot)
            .for_each(|n| n.open = false);
    }

    fn bool(&mut self, tree: &Tree, facts: &Facts) -> Res<Node> {
        let node = self.check(tree, facts)?;
        if node.ty == Type::Bool {
            Ok(node)
        } else {
            Err(mismatch(&node.span, "bool", &node))
        }
    }

    /// A name or a dotted name.
    fn place(&mut self, tree: &Tree, facts: &Facts) -> Res<Node> {
        let span = tree.span.clone();
        if let What::Name(name) = &tree.what {
            if let Some(local) = self
                .names
                .iter()
                .find(|n| n.open && n.name == *name)
                .cloned()
            {
                let node = Node::new(Kind::Local(local.slot), local.ty, local.bound, span);
                return Ok(self.narrowed(node, facts));
            }
        }
        let Some(dotted) = dotted(tree) else {
            return match &tree.what {
                What::Member(of, member) => {
                    let of = self.check(of, facts)?;
                    let problem = format!("{} has no member `{}`", article(&of.ty), short(member));
                    let error = Error::new(span, problem);
                    Err(match nearest(member, METHODS.into_iter()) {
                        Some(near) => error.help(format!("`.{near}(...)` is a function")),
                        None => error,
                    })
                }
                _ => Err(Error::new(span, "no value")),
            };
        };
        let Some(id) = self.schema.id(&dotted) else {
            let error = if self.schema.is_space(&dotted) {
                Error::new(
                    span,
                    format!("`{}` is a group of fields, not a value", short(&dotted)),
                )
            } else {
                Error::new(span, format!("there is no `{}`", short(&dotted)))
            };
            let fields = self.schema.fields().iter().map(|f| f.name.as_str());
            let known = fields.chain(
                self.names
                    .iter()
                    .filter(|n| n.open)
                    .map(|n| n.name.as_str()),
            );
            return Err(match nearest(&dotted, known) {
                Some(near) => error.help(format!("did you mean `{near}`?")),
                None => {
                    let within = |f: &&str| {
                        f.starts_with(&format!("{}.", dotted.split('.').next().unwrap_or("")))
                    };
                    let fields = self.schema.fields().iter().map(|f| f.name.as_str());
                    let some: Vec<&str> = fields.filter(within).take(12).collect();
                    match some.is_empty() {
                        true => error,
                        false => error.help(format!("known are {}", some.join(", "))),
                    }
                }
            });
        };
        let Some(field) = self.schema.get(id) else {
            return Err(Error::new(span, "no such field"));
        };
        let ty = if field.optional {
            Type::Optional(field.ty.clone().into())
        } else {
            field.ty.clone()
        };
        Ok(self.narrowed(Node::new(Kind::Field(id), ty, field.bound, span), facts))
    }

    /// What is optional, without that where it is known to be there.
    fn narrowed(&self, node: Node, facts: &Facts) -> Node {
        let Type::Optional(of) = &node.ty else {
            return node;
        };
        match self.path(&node) {
            Some(path) if facts.present(&path) => {
                let (ty, bound, span) = ((**of).clone(), node.bound, node.span.clone());
                Node::new(Kind::Sure(node.into()), ty, bound, span)
            }
            _ => node,
        }
    }

    /// The place of the input that a node reads.
    pub(crate) fn path(&self, node: &Node) -> Option<Path> {
        match &node.kind {
            Kind::Field(id) => Some(Path::Field(*id)),
            Kind::Sure(of) => self.path(of),
            Kind::Local(slot) => self.names.iter().find(|n| n.slot == *slot)?.path.clone(),
            Kind::Lookup(of, key) => match (self.path(of)?, key.as_const()?) {
                (Path::Field(id), Const::Text(key)) => Some(Path::Key(id, key.to_string())),
                _ => None,
            },
            Kind::Item(of, index) => match (self.path(of)?, index.as_const()?) {
                (Path::Field(id), Const::Int(index)) => Some(Path::Item(id, *index)),
                _ => None,
            },
            _ => None,
        }
    }

    fn index(&mut self, of: &Tree, index: &Tree, span: Range<usize>, facts: &Facts) -> Res<Node> {
        let (of, index) = (self.check(of, facts)?, self.check(index, facts)?);
        let (kind, item, bound, want) = match &of.ty {
            Type::List(item) => (
                Kind::Item as fn(_, _) -> _,
                item.clone(),
                bounded(of.bound.bytes, 0),
                Type::Int,
            ),
            Type::Map(item) => (
                Kind::Lookup as fn(_, _) -> _,
                item.clone(),
                bounded(of.bound.bytes, 0),
                Type::Text,
            ),
            _ => return Err(mismatch(&of.span, "a list or a map", &of)),
        };
        if index.ty != want {
            return Err(mismatch(&index.span, &want.to_string(), &index));
        }
        let kind = kind(Box::new(of), Box::new(index));
        Ok(self.narrowed(Node::new(kind, Type::Optional(item), bound, span), facts))
    }

    fn chain(&mut self, parts: &[Tree], and: bool, span: Range<usize>, facts: &Facts) -> Res<Node> {
        let mut known = facts.clone();
        let mut nodes: Vec<Node> = Vec::with_capacity(parts.len().min(64));
        for part in parts {
            let node = self.bool(part, &known)?;
            // The next part is read only where this one was true (and) or false (or).
            if let Some(more) = self.facts(&node)[usize::from(!and)].take() {
                known = known.meet(more).unwrap_or_else(|| facts.clone());
            }
            match node.as_const() {
                // Says nothing.
                Some(Const::Bool(value)) if *value == and => continue,
                _ => nodes.push(node),
            }
        }
        if !and {
            nodes = self.merged(nodes);
        }
        Ok(match (nodes.len(), and) {
            (0, _) => Node::constant(Const::Bool(and), span),
            (1, _) => nodes.remove(0),
            (_, true) => Node::new(Kind::And(nodes), Type::Bool, Bound::default(), span),
            (_, false) => Node::new(Kind::Or(nodes), Type::Bool, Bound::default(), span),
        })
    }

    fn is_in(&mut self, a: &Tree, b: &Tree, span: Range<usize>, facts: &Facts) -> Res<Node> {
        let node = self.check(a, facts)?;
        // A list that is written out may hold what is no constant: it is tested item by item.
        let list = match &b.what {
            What::List(parts) => {
                let items = parts
                    .iter()
                    .map(|part| self.check(part, facts))
                    .collect::<Res<Vec<Node>>>()?;
                if items.iter().any(|item| item.as_const().is_none()) {
                    return self.is_one_of(node, items, span);
                }
                constant_list(items, b.span.clone())?
            }
            _ => self.check(b, facts)?,
        };
        if matches!(list.as_const(), Some(Const::List(list)) if list.items.is_empty()) {
            return Ok(Node::constant(Const::Bool(false), span));
        }
        match (&list.ty, list.as_const()) {
            (Type::Map(_), _) => {
                if node.ty != Type::Text {
                    return Err(mismatch(&node.span, "string", &node));
                }
                let Type::Map(of) = list.ty.clone() else {
                    return Err(Error::new(span, "no map"));
                };
                let bound = bounded(list.bound.bytes, 0);
                let at = span.clone();
                let found = Node::new(
                    Kind::Lookup(list.into(), node.into()),
                    Type::Optional(of),
                    bound,
                    at,
                );
                Ok(Node::new(
                    Kind::Has(found.into()),
                    Type::Bool,
                    Bound::default(),
                    span,
                ))
            }
            (Type::List(of), value) => {
                if node.ty != **of {
                    return Err(mismatch(&node.span, &of.to_string(), &node));
                }
                let texts = value.and_then(Const::listed_texts).map(Const::texts);
                let ints = || value.and_then(Const::listed_ints);
                let set =
                    texts.or_else(|| Some(Const::IntSet(Arc::new(ints()?.into_iter().collect()))));
                let kind = match set {
                    Some(set) => Kind::InSet(node.into(), set),
                    None => Kind::InList(node.into(), list.into()),
                };
                Ok(Node::new(kind, Type::Bool, Bound::default(), span))
            }
            _ => Err(mismatch(&list.span, "a list or a map", &list)),
        }
    }

    /// Equal to one of these, of which some are no constants.
    fn is_one_of(&mut self, node: Node, items: Vec<Node>, span: Range<usize>) -> Res<Node> {
        // Held once, under a name that no text can hold.
        let name = format!("in {}", self.slots);
        let path = self.path(&node);
        let slot = self.declare(&name, &node, path, None, span.clone(), 1)?;
        let held = Node::new(
            Kind::Local(slot),
            node.ty.clone(),
            node.bound,
            node.span.clone(),
        );
        let tests = items.into_iter().map(|item| {
            let span = item.span.clone();
            self.binary(Binary::Equal, held.clone(), item, span)
        });
        let tests = tests.collect::<Res<Vec<Node>>>()?;
        self.close(slot);
        let any = Node::new(Kind::Or(tests), Type::Bool, Bound::default(), span.clone());
        Ok(Node::new(
            Kind::Let(slot, node.into(), any.into()),
            Type::Bool,
            Bound::default(),
            span,
        ))
    }

    fn binary(&mut self, operator: Binary, a: Node, b: Node, span: Range<usize>) -> Res<Node> {
        use Type::{Double, Duration, Int, Ip, Text};
        let sign = operator.sign();
        let fit = |ty: Type, bound: Bound, a: Node, b: Node| {
            Ok(Node::new(
                Kind::Binary(operator, a.into(), b.into()),
                ty,
                bound,
                span.clone(),
            ))
        };
        let none = Bound::default();
        let (ta, tb) = (a.ty.clone(), b.ty.clone());
        match operator {
            Binary::Equal | Binary::Unequal => {
                if ta == tb && matches!(ta, Type::Bool | Int | Double | Text | Duration | Ip) {
                    return fit(Type::Bool, none, a, b);
                }
            }
            Binary::Less | Binary::LessEqual | Binary::Greater | Binary::GreaterEqual => {
                if ta == tb && matches!(ta, Int | Double | Text | Duration) {
                    return fit(Type::Bool, none, a, b);
                }
            }
            Binary::Add if ta == Text && tb == Text => {
                let bytes = a.bound.bytes.saturating_add(b.bound.bytes);
                if bytes > MAX_MADE {
                    let problem =
                        format!("this may make a text of {bytes} bytes, {MAX_MADE} are the most");
                    return Err(Error::new(span, problem));
                }
                return fit(Text, bounded(bytes, 0), a, b);
            }
            Binary::Add | Binary::Subtract => {
                if ta == tb && matches!(ta, Int | Double | Duration) {
                    return fit(ta, none, a, b);
                }
            }
            Binary::Multiply => match (&ta, &tb) {
                (Int, Int) | (Double, Double) => return fit(ta, none, a, b),
                (Duration, Int) | (Int, Duration) => return fit(Duration, none, a, b),
                _ => {}
            },
            Binary::Divide => match (&ta, &tb) {
                (Int, Int) | (Double, Double) => return fit(ta, none, a, b),
                (Duration, Int) => return fit(Duration, none, a, b),
                _ => {}
            },
            Binary::Remainder => {
                if ta == Int && tb == Int {
                    return fit(Int, none, a, b);
                }
            }
            Binary::In => {}
        }
        let error = Error::new(
            span,
            format!(
                "`{sign}` does not go between {} and {}",
                article(&ta),
                article(&tb)
            ),
        );
        Err(match (&ta, &tb) {
            (Type::Optional(_), _) | (_, Type::Optional(_)) => {
                error.help("ask has() first, or give a default with .orValue()")
            }
            (Int, Double) | (Double, Int) => {
                error.help("double(x) makes a whole number one with a fraction")
            }
            (Text, Int) | (Int, Text) => {
                error.help("int(x).orValue(0) reads a number, string(x) writes one")
            }
            (Text, Ip) | (Ip, Text) => error.help("ip(x) reads an address"),
            (Text, Duration) | (Duration, Text) => error.help("duration(\"250ms\") is a duration"),
            _ => error.help("both sides must be of one type"),
        })
    }

    fn list(&mut self, parts: &[Tree], span: Range<usize>, facts: &Facts) -> Res<Node> {
        let items = parts
            .iter()
            .map(|part| self.check(part, facts))
            .collect::<Res<Vec<Node>>>()?;
        constant_list(items, span)
    }

    fn map(&mut self, pairs: &[(Tree, Tree)], span: Range<usize>, facts: &Facts) -> Res<Node> {
        let mut map = RapidHashMap::default();
        let mut ty: Option<Type> = None;
        for (key, value) in pairs {
            let (key, value) = (self.check(key, facts)?, self.check(value, facts)?);
            let Some(text) = key.as_text().cloned() else {
                return Err(Error::new(
                    key.span,
                    "a map's key is a text that is written out",
                ));
            };
            let Some(constant) = value.as_const().cloned() else {
                return Err(Error::new(value.span, "a map holds constants only"));
            };
            match &ty {
                Some(ty) if *ty != value.ty => {
                    return Err(mismatch(&value.span, &ty.to_string(), &value))
                }
                Some(_) => {}
                None if !matches!(value.ty, Type::List(_) | Type::Map(_)) => {
                    ty = Some(value.ty.clone())
                }
                None => return Err(Error::new(value.span, "a map does not hold lists or maps")),
            }
            if map.insert(text.clone(), constant).is_some() {
                return Err(Error::new(
                    key.span,
                    format!("{:?} stands twice", short(&text)),
                ));
            }
        }
        let map = ConstMap {
            of: ty.unwrap_or(Type::Text),
            entries: map,
        };
        Ok(Node::constant(Const::Map(map.into()), span))
    }

    fn arity(&self, name: &str, args: &[Tree], want: &[usize], span: &Range<usize>) -> Res<()> {
        if want.contains(&args.len()) {
            return Ok(());
        }
        let told: Vec<String> = want.iter().map(usize::to_string).collect();
        let problem = format!("`{name}` has {} arguments", args.len());
        Err(Error::new(span.clone(), problem).help(format!("{} was expected", told.join(" or "))))
    }

    fn call(&mut self, name: &str, args: &[Tree], span: Range<usize>, facts: &Facts) -> Res<Node> {
        let one = &[1][..];
        let plain = Bound::default();
        match name {
            "has" => {
                self.arity(name, args, one, &span)?;
                let node = self.check(&args[0], facts)?;
                Ok(match &node.kind {
                    // Known to be there.
                    Kind::Sure(_) => Node::constant(Const::Bool(true), span),
                    _ if matches!(node.ty, Type::Optional(_)) => {
                        Node::new(Kind::Has(node.into()), Type::Bool, plain, span)
                    }
                    _ => {
                        return Err(Error::new(node.span, "this is always there")
                            .help("has() is for what may be absent"))
                    }
                })
            }
            "size" => {
                self.arity(name, args, one, &span)?;
                let of = self.check(&args[0], facts)?;
                self.size(of, span)
            }
            "int" | "double" | "string" | "ip" => {
                self.arity(name, args, one, &span)?;
                let a = self.check(&args[0], facts)?;
                self.convert(name, a, span)
            }
            "duration" => {
                self.arity(name, args, one, &span)?;
                let a = self.check(&args[0], facts)?;
                let Some(text) = a.as_text() else {
                    return Err(
                        Error::new(a.span, "duration() takes a text that is written out")
                            .help("x * duration(\"1ms\") makes a duration of a number"),
                    );
                };
                match duration(text) {
                    Some(ms) => Ok(Node::constant(Const::Duration(ms), span)),
                    None => Err(Error::new(
                        a.span.clone(),
                        format!("{:?} is no duration", short(text)),
                    )
                    .help("such as \"250ms\", \"1.5s\", \"2m\" or \"1h30m\"")),
                }
            }
            "hash" => {
                self.arity(name, args, &[2], &span)?;
                let a = self.check(&args[0], facts)?;
                let n = self.check(&args[1], facts)?;
                self.hash(a, n, span)
            }
            "min" | "max" => {
                self.arity(name, args, &[2], &span)?;
                let (a, b) = (self.check(&args[0], facts)?, self.check(&args[1], facts)?);
                if a.ty != b.ty || !matches!(a.ty, Type::Int | Type::Double | Type::Duration) {
                    let problem = format!(
                        "`{name}` does not take {} and {}",
                        article(&a.ty),
                        article(&b.ty)
                    );
                    return Err(
                        Error::new(span, problem).help("two numbers of one type were expected")
                    );
                }
                let (func, ty) = (
                    if name == "min" { Func::Min } else { Func::Max },
                    a.ty.clone(),
                );
                Ok(Node::new(Kind::Call(func, vec![a, b]), ty, plain, span))
            }
            _ => {
                let error = Error::new(span, format!("there is no function `{}`", short(name)));
                let methods = METHODS.contains(&name);
                Err(match nearest(name, FUNCTIONS.into_iter()) {
                    _ if methods => error.help(format!("it is written `x.{name}(...)`")),
                    Some(near) => error.help(format!("did you mean `{near}`?")),
                    None => error.help(format!("known are {}", FUNCTIONS[..10].join(", "))),
                })
            }
        }
    }

    fn size(&mut self, of: Node, span: Range<usize>) -> Res<Node> {
        if !matches!(of.ty, Type::Text | Type::List(_) | Type::Map(_)) {
            return Err(mismatch(&of.span, "a string, a list or a map", &of));
        }
        Ok(Node::new(
            Kind::Call(Func::Size, vec![of]),
            Type::Int,
            Bound::default(),
            span,
        ))
    }

    fn convert(&mut self, name: &str, a: Node, span: Range<usize>) -> Res<Node> {
        let maybe = |ty: Type| Type::Optional(ty.into());
        let (func, ty, bytes) = match (name, &a.ty) {
            ("int", Type::Text) => (Func::ToInt, maybe(Type::Int), 0),
            ("int", Type::Double) => (Func::ToInt, maybe(Type::Int), 0),
            ("double", Type::Text) => (Func::ToDouble, maybe(Type::Double), 0),
            ("double", Type::Int) => (Func::ToDouble, Type::Double, 0),
            ("ip", Type::Text) => match a.as_text().map(|text| text.parse()) {
                Some(Ok(ip)) => return Ok(Node::constant(Const::Ip(ip), span)),
                Some(Err(_)) => {
                    return Err(Error::new(a.span, "this is no address")
                        .help("such as \"10.0.0.1\" or \"fd00::1\""))
                }
                None => (Func::ToIp, maybe(Type::Ip), 0),
            },
            // The longest is a double in full, or an address.
            ("string", Type::Int | Type::Bool | Type::Ip | Type::Duration) => {
                (Func::ToText, Type::Text, 48)
            }
            ("string", Type::Double) => (Func::ToText, Type::Text, 344),
            _ => {
                let problem = format!("`{name}` does not take {}", article(&a.ty));
                return Err(Error::new(a.span, problem));
            }
        };
        Ok(Node::new(
            Kind::Call(func, vec![a]),
            ty,
            bounded(bytes, 0),
            span,
        ))
    }

    fn hash(&mut self, a: Node, n: Node, span: Range<usize>) -> Res<Node> {
        if a.ty != Type::Text {
            return Err(mismatch(&a.span, "string", &a));
        }
        match n.as_const() {
            Some(Const::Int(max)) if *max >= 1 && *max <= i64::from(u32::MAX) => Ok(Node::new(
                Kind::Call(Func::Hash, vec![a, n]),
                Type::Int,
                Bound::default(),
                span,
            )),
            _ => Err(Error::new(
                n.span,
                "hash(x, n) takes a whole number from 1 to 4294967295 that is written out",
            )),
        }
    }

    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    fn method(
        &mut self,
        of: &Tree,
        name: &str,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> Res<Node> {
        let plain = Bound::default();
        if name == "exists" || name == "all" {
            return self.looped(of, name == "all", args, span, facts);
        }
        let of = self.check(of, facts)?;
        if name == "orValue" {
            self.arity(name, args, &[1], &span)?;
            let default = self.check(&args[0], facts)?;
            // Known to be there: the default is never used.
            if let Kind::Sure(_) = &of.kind {
                return Ok(of);
            }
            let Type::Optional(ty) = &of.ty else {
                return Err(Error::new(of.span, "this is always there")
                    .help(".orValue() is for what may be absent"));
            };
            if default.ty != **ty {
                return Err(mismatch(&default.span, &ty.to_string(), &default));
            }
            let (ty, bound) = ((**ty).clone(), larger(of.bound, default.bound));
            return Ok(Node::new(
                Kind::OrValue(of.into(), default.into()),
                ty,
                bound,
                span,
            ));
        }
        let text = |checker: &mut Self, i: usize| -> Res<Node> {
            let node = checker.check(&args[i], facts)?;
            if node.ty == Type::Text {
                Ok(node)
            } else {
                Err(mismatch(&node.span, "string", &node))
            }
        };
        if let Type::Optional(_) = &of.ty {
            return Err(
                Error::new(of.span.clone(), format!("this is {}", article(&of.ty)))
                    .help("ask has() first, or give a default with .orValue()"),
            );
        }
        match (name, &of.ty) {
            ("size", Type::Text | Type::List(_) | Type::Map(_)) => {
                self.arity(name, args, &[0], &span)?;
                self.size(of, span)
            }
            ("startsWith" | "endsWith" | "contains", Type::Text) => {
                self.arity(name, args, &[1], &span)?;
                let func = match name {
                    "startsWith" => Func::StartsWith,
                    "endsWith" => Func::EndsWith,
                    _ => Func::Contains,
                };
                let with = text(self, 0)?;
                Ok(Node::new(
                    Kind::Call(func, vec![of, with]),
                    Type::Bool,
                    plain,
                    span,
                ))
            }
            ("matches", Type::Text) => {
                self.arity(name, args, &[1], &span)?;
                let pattern = text(self, 0)?;
                self.matches(of, pattern, span)
            }
            ("lowerAscii", Type::Text) => {
                self.arity(name, args, &[0], &span)?;
                let bound = of.bound;
                Ok(Node::new(
                    Kind::Call(Func::LowerAscii, vec![of]),
                    Type::Text,
                    bound,
                    span,
                ))
            }
            ("split", Type::Text) => {
                self.arity(name, args, &[1, 2], &span)?;
                let by = text(self, 0)?;
                if by.as_text().is_none_or(|by| by.is_empty()) {
                    return Err(Error::new(
                        by.span,
                        "split() takes a text that is written out and not empty",
                    ));
                }
                let max = match args.get(1) {
                    None => Node::constant(Const::Int(16), span.clone()),
                    Some(max) => self.check(max, facts)?,
                };
                let parts = match max.as_const() {
                    Some(Const::Int(parts)) if (1..=MAX_PARTS).contains(parts) => *parts as u32,
                    _ => {
                        let problem = format!(
                            "the most parts must be a number from 1 to {MAX_PARTS}, written out"
                        );
                        return Err(Error::new(max.span, problem));
                    }
                };
                let bound = bounded(of.bound.bytes, parts);
                let ty = Type::List(Type::Text.into());
                Ok(Node::new(
                    Kind::Call(Func::Split, vec![of, by, max]),
                    ty,
                    bound,
                    span,
                ))
            }
            ("inCidr", Type::Ip) => {
                self.arity(name, args, &[1], &span)?;
                let ranges = self.check(&args[0], facts)?;
                self.in_cidrs(of, ranges, span)
            }
            ("milliseconds", Type::Duration) => {
                self.arity(name, args, &[0], &span)?;
                Ok(Node::new(
                    Kind::Call(Func::Milliseconds, vec![of]),
                    Type::Int,
                    plain,
                    span,
                ))
            }
            _ => {
                let problem = format!("there is no `.{}()` for {}", short(name), article(&of.ty));
                let error = Error::new(span, problem);
                Err(
                    match nearest(name, METHODS.into_iter().filter(|m| *m != name)) {
                        Some(near) => error.help(format!("did you mean `{near}`?")),
                        None => error,
                    },
                )
            }
        }
    }

    fn matches(&mut self, of: Node, pattern: Node, span: Range<usize>) -> Res<Node> {
        let Some(text) = pattern.as_text().cloned() else {
            return Err(Error::new(pattern.span, "a pattern must be written out")
                .help("a pattern that is computed has no cost that is known before use"));
        };
        self.regexes += 1;
        if self.regexes > MAX_REGEXES {
            return Err(Error::new(
                span,
                format!("more than {MAX_REGEXES} regular expressions"),
            ));
        }
        if text.len() > MAX_PATTERN {
            let problem = format!(
                "the pattern has {} bytes, {MAX_PATTERN} are the most",
                text.len()
            );
            return Err(Error::new(pattern.span, problem));
        }
        if let Err(e) = Pattern::new(&text) {
            let problem = match &e {
                regex::Error::CompiledTooBig(max) => {
                    format!("the pattern takes more than {max} bytes")
                }
                e => {
                    let told = e.to_string();
                    let last = told
                        .lines()
                        .last()
                        .unwrap_or("it makes no sense")
                        .to_string();
                    format!(
                        "the pattern makes no sense: {}",
                        last.trim_start_matches("error: ")
                    )
                }
            };
            return Err(Error::new(pattern.span, problem));
        }
        Ok(Node::new(
            Kind::Matches(of.into(), text),
            Type::Bool,
            Bound::default(),
            span,
        ))
    }

    fn in_cidrs(&mut self, of: Node, ranges: Node, span: Range<usize>) -> Res<Node> {
        let texts = ranges.as_const().and_then(|value| match value {
            Const::Text(text) => Some(vec![text.clone()]),
            list => list.listed_texts(),
        });
        let Some(texts) = texts else {
            let error = Error::new(ranges.span, "address ranges must be written out");
            return Err(error.help("such as \"10.0.0.0/8\", or a list of such"));
        };
        let mut nets = Vec::with_capacity(texts.len());
        for text in texts {
            let host = || text.parse::<std::net::IpAddr>().ok().map(IpNet::from);
            let Some(net) = text.parse::<IpNet>().ok().or_else(host) else {
                let problem = format!("{:?} is no range of addresses", short(&text));
                return Err(
                    Error::new(ranges.span, problem).help("such as \"10.0.0.0/8\" or \"fd00::/8\"")
                );
            };
            if net.trunc() != net {
                let problem = format!("{text:?} has bits set beyond its length");
                return Err(Error::new(ranges.span, problem)
                    .help(format!("\"{}\" was meant?", net.trunc())));
            }
            nets.push(net);
        }
        Ok(Node::new(
            Kind::InCidrs(of.into(), nets),
            Type::Bool,
            Bound::default(),
            span,
        ))
    }

    fn looped(
        &mut self,
        of: &Tree,
        all: bool,
        args: &[Tree],
        span: Range<usize>,
        facts: &Facts,
    ) -> Res<Node> {
        let name = if all { "all" } else { "exists" };
        self.arity(name, args, &[2], &span)?;
        let list = self.check(of, facts)?;
        let Type::List(item) = &list.ty else {
            return Err(mismatch(&list.span, "a list", &list));
        };
        let What::Name(variable) = &args[0].what else {
            return Err(Error::new(args[0].span.clone(), "this is no name")
                .help(format!("`x.{name}(y, ...)`")));
        };
        let item = Node::new(
            Kind::Local(0),
            (**item).clone(),
            bounded(list.bound.bytes, 0),
            span.clone(),
        );
        let slot = self.declare(variable, &item, None, None, args[0].span.clone(), 3)?;
        let test = self.bool(&args[1], facts)?;
        self.close(slot);
        let kind = Kind::Loop {
            all,
            slot,
            list: list.into(),
            test: test.into(),
        };
        Ok(Node::new(kind, Type::Bool, Bound::default(), span))
    }
}

fn constant_list(items: Vec<Node>, span: Range<usize>) -> Res<Node> {
    let mut values = Vec::with_capacity(items.len());
    let mut ty: Option<Type> = None;
    for node in items {
        let Some(value) = node.as_const().cloned() else {
            return Err(Error::new(node.span, "a list holds constants only")
                .help("what is not one may stand in a list right behind `in`"));
        };
        match &ty {
            Some(ty) if *ty != node.ty => return Err(mismatch(&node.span, &ty.to_string(), &node)),
            Some(_) => {}
            None if !matches!(node.ty, Type::List(_) | Type::Map(_)) => ty = Some(node.ty),
            None => return Err(Error::new(node.span, "a list does not hold lists or maps")),
        }
        values.push(value);
    }
    let list = ConstList {
        of: ty.unwrap_or(Type::Text),
        items: values,
    };
    Ok(Node::constant(Const::List(list.into()), span))
}

fn larger(a: Bound, b: Bound) -> Bound {
    bounded(a.bytes.max(b.bytes), a.items.max(b.items))
}

/// `a.b.c` as a text.
fn dotted(tree: &Tree) -> Option<String> {
    match &tree.what {
        What::Name(name) => Some(name.clone()),
        What::Member(of, member) => Some(format!("{}.{member}", dotted(of)?)),
        _ => None,
    }
}

/// `1h30m`, `1.5s`, `250ms`, with a sign in front as one likes; in whole ms.
pub(crate) fn duration(text: &str) -> Option<i64> {
    let (sign, mut rest) = match text.strip_prefix('-') {
        Some(rest) => (-1.0, rest),
        None => (1.0, text),
    };
    if rest.is_empty() || rest.len() > 32 {
        return None;
    }
    let mut ms = 0.0;
    while !rest.is_empty() {
        let digits = rest.find(|c: char| !c.is_ascii_digit() && c != '.')?;
        let number: f64 = rest[..digits].parse().ok()?;
        rest = &rest[digits..];
        let (unit, factor) = [("ms", 1.0), ("s", 1e3), ("m", 6e4), ("h", 3.6e6)]
            .into_iter()
            .find(|(unit, _)| rest.starts_with(unit))?;
        ms += number * factor;
        rest = &rest[unit.len()..];
    }
    (ms <= MAX_DURATION).then_some((sign * ms).round() as i64)
}
