//! The fields of a request and of an endpoint that rules can read: the two schemas, and the inputs
//! that supply the values.
//!
//! Values are borrowed, and none is longer than its bound, because the costs of expressions are
//! computed from the bounds.

use driftgap_expr::{Bound, FieldId, Input, Schema, Type, Value};
use std::cell::Cell;
use std::net::IpAddr;

/// Maximum length of the path and of the query, in bytes; a longer one is rejected before any rule
/// is evaluated.
pub const MAX_PATH: usize = 1024;
/// Maximum length of a header value that a rule can read, in bytes.
pub const MAX_HEADER: usize = 512;
/// Maximum number of headers of a request.
pub const MAX_HEADERS: usize = 100;
/// Maximum length of the other strings, in bytes: host, tenant, id, class, plan.
pub const MAX_NAME: usize = 128;
/// Maximum number of labels of an endpoint that pools read; values are truncated to [`MAX_NAME`]
/// bytes.
pub const MAX_LABELS: usize = 32;

/// The headers of a request, by lower-case name.
pub trait Headers {
    /// Returns the value of the first header with this name, as received.
    fn get(&self, name: &str) -> Option<&[u8]>;
    /// Returns the number of headers.
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

/// A request as rules see it, independent of the client's protocol.
pub struct Request<'a> {
    /// The client's protocol, `resp` or `http2`.
    pub protocol: &'a str,
    /// The method in upper case; over RESP `GET` for a query and `POST` for a request that may have
    /// an effect.
    pub method: &'a str,
    /// The path without the query; over RESP `/commands/CLASS`.
    pub path: &'a str,
    /// The query without the `?`.
    pub query: Option<&'a str>,
    /// The requested host.
    pub host: Option<&'a str>,
    /// The headers.
    pub headers: &'a dyn Headers,
    /// The class that the client names.
    pub class: Option<&'a str>,
    /// The plan that the client names.
    pub plan: Option<&'a str>,
    /// The tenant that the client names.
    pub partner: Option<&'a str>,
    /// The id that the client names.
    pub id: Option<&'a str>,
    /// The units that the client names.
    pub units: Option<f64>,
    /// The client's time limit, in ms.
    pub deadline_ms: Option<i64>,
    /// Whether the client marks the request as a retry.
    pub retry: bool,
    /// The length of the body in bytes, if it is known before the body arrives.
    pub length: Option<i64>,
    /// The client's address.
    pub client: IpAddr,
}

/// Fields of the request whose facts are used when rules are checked.
pub(crate) mod field {
    use driftgap_expr::FieldId;
    pub const METHOD: FieldId = FieldId(1);
    pub const PATH: FieldId = FieldId(2);
    pub const PLAN: FieldId = FieldId(7);
    pub const PARTNER: FieldId = FieldId(8);
    pub const ID: FieldId = FieldId(9);
    pub const UNITS: FieldId = FieldId(10);
}

/// Returns the schema of the request fields. The order is that of the private module `field`.
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
    /// Returns the name of the first field that is longer than rules can read, if there is one.
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
    /// Whether a rule has read a header that is not UTF-8, or too long.
    unreadable_header: Cell<bool>,
}

impl<'a> View<'a> {
    pub(crate) fn new(request: &'a Request<'a>) -> View<'a> {
        View {
            request,
            unreadable_header: Cell::new(false),
        }
    }

    /// Returns whether a rule has read a header that is not UTF-8, or too long. The header appeared
    /// absent to the rule, so the result of the rule must not be used.
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

/// An endpoint as the tests of pools see it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint<'a> {
    /// The endpoint's name.
    pub name: &'a str,
    /// The name of the endpoint's zone.
    pub zone: &'a str,
    /// The number of the endpoint's cell.
    pub cell: u32,
    /// The endpoint's weight relative to the other endpoints.
    pub weight: f64,
    /// The endpoint's protocol, `resp` or `http2`.
    pub protocol: &'a str,
    /// The endpoint's IP address.
    pub ip: IpAddr,
    /// Further properties by name.
    pub labels: &'a [(String, String)],
}

/// Returns the schema of the endpoint fields that pools can read.
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
        // A name that is longer than its bound is truncated.
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

/// Returns the longest prefix of whole characters that has at most `max` bytes.
pub(crate) fn truncate(text: &str, max: usize) -> &str {
    let mut end = text.len().min(max);
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    &text[..end]
}

/// Returns the bound of a field, for tests and messages.
pub fn bound(schema: &Schema, name: &str) -> Option<Bound> {
    schema
        .id(name)
        .and_then(|id| schema.get(id))
        .map(|field| field.bound)
}

#[cfg(test)]
mod tests;
