//! Schema of the input: the fields that expressions may read, with their types and bounds, and the
//! [`Input`] trait through which an embedding program provides the values without copying them. A
//! schema holds no values.

use std::collections::HashMap;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

/// The type of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Type {
    /// `true` or `false`.
    Bool,
    /// A signed 64-bit integer.
    Int,
    /// A 64-bit floating-point number.
    Double,
    /// UTF-8 text; `string` in the language.
    Text,
    /// A duration in whole milliseconds.
    Duration,
    /// An IPv4 or IPv6 address.
    Ip,
    /// An ordered list of values of one type.
    List(Box<Type>),
    /// A map from texts to values of one type.
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

/// Maximum size of a field's value. Costs are computed from it, so the embedding program must not
/// exceed it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bound {
    /// Maximum length in bytes of the text, or of any item, key or value of a list or map.
    pub bytes: u32,
    /// Maximum number of items of a list or entries of a map.
    pub items: u32,
}

impl Bound {
    /// A bound of this many bytes and items.
    pub(crate) fn new(bytes: u32, items: u32) -> Bound {
        Bound { bytes, items }
    }
}

/// A field that expressions may read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Field {
    /// Dotted name, such as `request.path`.
    pub name: String,
    /// Type of the value, without [`Type::Optional`].
    pub ty: Type,
    /// Whether the value may be absent.
    pub optional: bool,
    /// Maximum size of the value.
    pub bound: Bound,
}

/// Number of a field, in the order in which fields were added to the [`Schema`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FieldId(pub u16);

/// All fields of one kind of input. Clones share the fields.
#[derive(Clone, Debug, Default)]
pub struct Schema(Arc<Fields>);

#[derive(Clone, Debug, Default)]
struct Fields {
    list: Vec<Field>,
    by_name: HashMap<String, FieldId>,
}

impl Schema {
    /// Creates a schema without fields.
    pub fn new() -> Schema {
        Schema::default()
    }

    /// Adds a field that is always present. `bytes` and `items` are its [`Bound`].
    #[must_use]
    pub fn field(self, name: &str, ty: Type, bytes: u32, items: u32) -> Schema {
        self.add(name, ty, false, Bound { bytes, items })
    }

    /// Adds a field that may be absent. `bytes` and `items` are its [`Bound`].
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

    /// The number of the field with this name.
    pub fn id(&self, name: &str) -> Option<FieldId> {
        self.0.by_name.get(name).copied()
    }

    /// The field with this number.
    pub fn get(&self, id: FieldId) -> Option<&Field> {
        self.0.list.get(usize::from(id.0))
    }

    /// All fields in the order of their numbers.
    pub fn fields(&self) -> &[Field] {
        &self.0.list
    }

    /// Whether the name of any field begins with `name` and a dot.
    pub(crate) fn is_namespace(&self, name: &str) -> bool {
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
    /// A signed integer.
    Int(i64),
    /// A floating-point number.
    Double(f64),
    /// Text.
    Text(&'a str),
    /// A duration in whole milliseconds.
    Duration(i64),
    /// An IPv4 or IPv6 address.
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

/// Values of one input, as its schema describes them. Look-ups must take about the same time for
/// any number of entries. A value of another type than the schema's ends the evaluation with a
/// fault.
pub trait Input {
    /// The value of a field that is neither a list nor a map; `None` if it is absent.
    fn get(&self, field: FieldId) -> Option<Value<'_>>;

    /// Number of items or entries of a list or a map; `None` if it is absent.
    fn size(&self, field: FieldId) -> Option<usize> {
        let _ = field;
        None
    }

    /// An item of a list; `None` if the index is out of range.
    fn item(&self, field: FieldId, index: usize) -> Option<Value<'_>> {
        let _ = (field, index);
        None
    }

    /// The value of a map's entry; `None` if there is no such key.
    fn lookup(&self, field: FieldId, key: &str) -> Option<Value<'_>> {
        let _ = (field, key);
        None
    }
}
