//! What expressions may read: fields with types and bounds, and the values that an embedding program gives for
//! them. It owns the names, and the trait through which values come without being copied. It must never hold a
//! value itself.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

/// The type of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Type {
    /// `true` or `false`.
    Bool,
    /// A whole number of 64 bits.
    Int,
    /// A number with a fraction.
    Double,
    /// Text.
    Text,
    /// A span of time in whole milliseconds.
    Duration,
    /// An IPv4 or IPv6 address.
    Ip,
    /// Values of one type in order.
    List(Box<Type>),
    /// Values of one type by text.
    Map(Box<Type>),
    /// A value that may be absent.
    Optional(Box<Type>),
}

impl fmt::Display for Type {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Type::Bool => f.write_str("bool"),
            Type::Int => f.write_str("int"),
            Type::Double => f.write_str("double"),
            Type::Text => f.write_str("string"),
            Type::Duration => f.write_str("duration"),
            Type::Ip => f.write_str("ip"),
            Type::List(of) => write!(f, "list({of})"),
            Type::Map(of) => write!(f, "map(string, {of})"),
            Type::Optional(of) => write!(f, "optional({of})"),
        }
    }
}

/// How large a field's value gets at most. Costs are computed from it, so the embedding program must keep it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Longest text in bytes: the value's own, or that of an item, a map's key or a map's value.
    pub bytes: u32,
    /// Most items of a list, most entries of a map.
    pub items: u32,
}

impl Bound {
    /// So many bytes and so many items.
    pub(crate) fn new(bytes: u32, items: u32) -> Bound {
        Bound { bytes, items }
    }
}

/// A field that expressions may read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its name with dots: `request.path`.
    pub name: String,
    /// Its type, without [`Type::Optional`].
    pub ty: Type,
    /// It may be absent.
    pub optional: bool,
    /// Its bound.
    pub bound: Bound,
}

/// A field by number, in the order of [`Schema::field`]'s calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldId(pub u16);

/// All fields of one kind of input. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Schema(Arc<Fields>);

#[derive(Clone, Debug, Default)]
struct Fields {
    list: Vec<Field>,
    by_name: HashMap<String, FieldId>,
}

impl Schema {
    /// No fields yet.
    pub fn new() -> Schema {
        Schema::default()
    }

    /// With a field that is always there.
    #[must_use]
    pub fn field(self, name: &str, ty: Type, bytes: u32, items: u32) -> Schema {
        self.add(name, ty, false, Bound { bytes, items })
    }

    /// With a field that may be absent.
    #[must_use]
    pub fn optional(self, name: &str, ty: Type, bytes: u32, items: u32) -> Schema {
        self.add(name, ty, true, Bound { bytes, items })
    }

    fn add(mut self, name: &str, ty: Type, optional: bool, bound: Bound) -> Schema {
        let fields = Arc::make_mut(&mut self.0);
        let id = FieldId(fields.list.len() as u16);
        fields.by_name.insert(name.to_string(), id);
        fields.list.push(Field {
            name: name.to_string(),
            ty,
            optional,
            bound,
        });
        self
    }

    /// A field's number by its name.
    pub fn id(&self, name: &str) -> Option<FieldId> {
        self.0.by_name.get(name).copied()
    }

    /// A field by its number.
    pub fn get(&self, id: FieldId) -> Option<&Field> {
        self.0.list.get(usize::from(id.0))
    }

    /// All fields in order.
    pub fn fields(&self) -> &[Field] {
        &self.0.list
    }

    /// Whether fields begin with `name` and a dot.
    pub(crate) fn is_space(&self, name: &str) -> bool {
        self.0.list.iter().any(|f| {
            f.name
                .strip_prefix(name)
                .is_some_and(|rest| rest.starts_with('.'))
        })
    }
}

/// A value that is neither a list nor a map.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Value<'a> {
    /// `true` or `false`.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A number with a fraction.
    Double(f64),
    /// Text.
    Text(&'a str),
    /// Whole milliseconds.
    Duration(i64),
    /// An address.
    Ip(IpAddr),
}

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Bool(v) => write!(f, "{v}"),
            Value::Int(v) => write!(f, "{v}"),
            Value::Double(v) => write!(f, "{v}"),
            Value::Text(v) => write!(f, "{v:?}"),
            Value::Duration(v) => write!(f, "{v}ms"),
            Value::Ip(v) => write!(f, "{v}"),
        }
    }
}

/// The values of one input, as the schema describes them. Look-ups must take about the same time however many
/// entries there are. A value of another type than the schema's ends the evaluation with a fault.
pub trait Input {
    /// The value of a field that is neither a list nor a map; none: absent.
    fn get(&self, field: FieldId) -> Option<Value<'_>>;

    /// How many items or entries a list or a map has; none: absent.
    fn size(&self, field: FieldId) -> Option<usize> {
        let _ = field;
        None
    }

    /// An item of a list.
    fn item(&self, field: FieldId, index: usize) -> Option<Value<'_>> {
        let _ = (field, index);
        None
    }

    /// The entry of a map.
    fn lookup(&self, field: FieldId, key: &str) -> Option<Value<'_>> {
        let _ = (field, key);
        None
    }
}
