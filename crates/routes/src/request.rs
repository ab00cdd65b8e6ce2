//! What rules may read of a request and of an endpoint: the two schemas, and the views through which values come.
//!
//! Values are borrowed, and none is longer than its bound: the costs of expressions are computed from the bounds.

use driftgap_expr::{Bound, FieldId, Input, Schema, Type, Value};
use std::cell::Cell;
use std::net::IpAddr;

/// Longest path and longest query, bytes; a request with a longer one is rejected before any rule is evaluated.
pub const MAX_PATH: usize = 1024;
/// Longest header value that a rule may read, bytes.
pub const MAX_HEADER: usize = 512;
/// Most headers of a request.
pub const MAX_HEADERS: usize = 100;
/// Longest of the other texts, bytes: host, tenant, id, class, plan.
pub const MAX_NAME: usize = 128;
/// Most labels of an endpoint that pools read; their values are read up to [`MAX_NAME`] bytes.
pub const MAX_LABELS: usize = 32;

/// The headers of a request, by name in lower case.
pub trait Headers {
    /// The value of the first header of this name, as received.
    fn get(&self, name: &str) -> Option<&[u8]>;
    /// How many headers there are.
    fn count(&self) -> usize;
}

/// A request without headers.
pub struct NoHeaders;

impl Headers for NoHeaders {
    fn get(&self, _: &str) -> Option<&[u8]> {
        None
    }

    fn count(&self) -> usize {
        0
    }
}

/// A request as rules see it, whatever wire it came by.
pub struct Request<'a> {
    /// `resp` or `http2`.
    pub protocol: &'a str,
    /// The method in capitals; over RESP `GET` for a query and `POST` for what may have an effect.
    pub method: &'a str,
    /// The path without the query; over RESP `/commands/CLASS`.
    pub path: &'a str,
    /// What follows the `?`, without it.
    pub query: Option<&'a str>,
    /// The host that was asked for.
    pub host: Option<&'a str>,
    /// The headers.
    pub headers: &'a dyn Headers,
    /// The class that the client names itself.
    pub class: Option<&'a str>,
    /// The plan that the client names itself.
    pub plan: Option<&'a str>,
    /// The tenant that the client names itself.
    pub partner: Option<&'a str>,
    /// The id that the client names itself.
    pub id: Option<&'a str>,
    /// The units that the client names itself.
    pub units: Option<f64>,
    /// How long the client says that it waits, ms.
    pub deadline_ms: Option<i64>,
    /// Whether the client marks it as a retry.
    pub retry: bool,
    /// The body's length, bytes, where it is known before the body.
    pub length: Option<i64>,
    /// The client's address.
    pub client: IpAddr,
}

/// Fields of the request about which facts are used when rules are checked.
pub(crate) mod field {
    use driftgap_expr::FieldId;
    pub const METHOD: FieldId = FieldId(1);
    pub const PATH: FieldId = FieldId(2);
    pub const PLAN: FieldId = FieldId(7);
    pub const PARTNER: FieldId = FieldId(8);
    pub const ID: FieldId = FieldId(9);
    pub const UNITS: FieldId = FieldId(10);
}

/// What rules may read of a request, in the order of the private module `field`.
pub fn request_schema() -> Schema {
    let (name, path) = (MAX_NAME as u32, MAX_PATH as u32);
    Schema::new()
        .field("request.protocol", Type::Text, 8, 0)
        .field("request.method", Type::Text, 16, 0)
        .field("request.path", Type::Text, path, 0)
        .optional("request.query", Type::Text, path, 0)
        .optional("request.host", Type::Text, name, 0)
        .field(
            "request.headers",
            Type::Map(Type::Text.into()),
            MAX_HEADER as u32,
            MAX_HEADERS as u32,
        )
        .optional("request.class", Type::Text, name, 0)
        .optional("request.plan", Type::Text, name, 0)
        .optional("request.partner", Type::Text, name, 0)
        .optional("request.id", Type::Text, name, 0)
        .optional("request.units", Type::Double, 0, 0)
        .optional("request.deadline", Type::Duration, 0, 0)
        .field("request.retry", Type::Bool, 0, 0)
        .optional("request.length", Type::Int, 0, 0)
        .field("client.ip", Type::Ip, 0, 0)
}

impl Request<'_> {
    /// The first part that is longer than rules may read, if there is one.
    pub fn too_long(&self) -> Option<&'static str> {
        let long = |text: Option<&str>, max: usize| text.is_some_and(|t| t.len() > max);
        let parts = [
            ("method", long(Some(self.method), 16)),
            ("path", long(Some(self.path), MAX_PATH)),
            ("query", long(self.query, MAX_PATH)),
            ("host", long(self.host, MAX_NAME)),
            ("class", long(self.class, MAX_NAME)),
            ("plan", long(self.plan, MAX_NAME)),
            ("partner", long(self.partner, MAX_NAME)),
            ("id", long(self.id, MAX_NAME)),
            ("headers", self.headers.count() > MAX_HEADERS),
        ];
        parts
            .into_iter()
            .find(|(_, long)| *long)
            .map(|(name, _)| name)
    }
}

/// A request as the input of expressions.
pub(crate) struct View<'a> {
    request: &'a Request<'a>,
    /// Whether a rule has read a header that is no text, or too long.
    unreadable_header: Cell<bool>,
}

impl<'a> View<'a> {
    pub(crate) fn new(request: &'a Request<'a>) -> View<'a> {
        View {
            request,
            unreadable_header: Cell::new(false),
        }
    }

    /// Whether a rule has read a header that is no text, or too long. It was given as absent, which no rule may act
    /// on.
    pub(crate) fn has_unreadable_header(&self) -> bool {
        self.unreadable_header.get()
    }
}

impl Input for View<'_> {
    fn get(&self, field: FieldId) -> Option<Value<'_>> {
        let r = self.request;
        match field.0 {
            0 => Some(Value::Text(r.protocol)),
            1 => Some(Value::Text(r.method)),
            2 => Some(Value::Text(r.path)),
            3 => r.query.map(Value::Text),
            4 => r.host.map(Value::Text),
            6 => r.class.map(Value::Text),
            7 => r.plan.map(Value::Text),
            8 => r.partner.map(Value::Text),
            9 => r.id.map(Value::Text),
            10 => r.units.map(Value::Double),
            11 => r.deadline_ms.map(Value::Duration),
            12 => Some(Value::Bool(r.retry)),
            13 => r.length.map(Value::Int),
            14 => Some(Value::Ip(r.client)),
            _ => None,
        }
    }

    fn size(&self, field: FieldId) -> Option<usize> {
        (field.0 == 5).then(|| self.request.headers.count())
    }

    fn lookup(&self, _: FieldId, key: &str) -> Option<Value<'_>> {
        let value = self.request.headers.get(key)?;
        let text = std::str::from_utf8(value)
            .ok()
            .filter(|text| text.len() <= MAX_HEADER);
        if text.is_none() {
            self.unreadable_header.set(true);
        }
        text.map(Value::Text)
    }
}

/// An endpoint as pools see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone's name.
    pub zone: &'a str,
    /// Its cell.
    pub cell: u32,
    /// Its weight relative to the other endpoints.
    pub weight: f64,
    /// `resp` or `http2`.
    pub protocol: &'a str,
    /// Its address.
    pub ip: IpAddr,
    /// Further properties by name.
    pub labels: &'a [(String, String)],
}

/// What pools may read of an endpoint.
pub fn endpoint_schema() -> Schema {
    let name = MAX_NAME as u32;
    Schema::new()
        .field("instance.name", Type::Text, name, 0)
        .field("instance.zone", Type::Text, name, 0)
        .field("instance.cell", Type::Int, 0, 0)
        .field("instance.weight", Type::Double, 0, 0)
        .field("instance.protocol", Type::Text, 8, 0)
        .field("instance.ip", Type::Ip, 0, 0)
        .field(
            "instance.labels",
            Type::Map(Type::Text.into()),
            name,
            MAX_LABELS as u32,
        )
}

impl Input for Endpoint<'_> {
    fn get(&self, field: FieldId) -> Option<Value<'_>> {
        // A name that is longer than its bound is read as far as that goes.
        let text = |text| Some(Value::Text(truncate(text, MAX_NAME)));
        match field.0 {
            0 => text(self.name),
            1 => text(self.zone),
            2 => Some(Value::Int(i64::from(self.cell))),
            3 => Some(Value::Double(self.weight)),
            4 => Some(Value::Text(self.protocol)),
            5 => Some(Value::Ip(self.ip)),
            _ => None,
        }
    }

    fn size(&self, field: FieldId) -> Option<usize> {
        (field.0 == 6).then(|| self.labels.len().min(MAX_LABELS))
    }

    fn lookup(&self, _: FieldId, key: &str) -> Option<Value<'_>> {
        let label = self
            .labels
            .iter()
            .take(MAX_LABELS)
            .find(|(name, _)| name == key);
        label.map(|(_, value)| Value::Text(truncate(value, MAX_NAME)))
    }
}

/// The beginning of a text, in whole characters, `max` bytes at most.
pub(crate) fn truncate(text: &str, max: usize) -> &str {
    let mut end = text.len().min(max);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// The bound of a field, for tests and messages.
pub fn bound(schema: &Schema, name: &str) -> Option<Bound> {
    schema
        .id(name)
        .and_then(|id| schema.get(id))
        .map(|field| field.bound)
}

#[cfg(test)]
mod tests;
