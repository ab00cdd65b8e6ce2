//! Parses endpoint lists in discovery's format. Answers to polls and the last known list in the
//! platform's file have this format. This is the only module that names its fields; it checks the
//! format, not the meaning of the values.

use crate::decision::{EndpointState, ListKind};
use crate::discovery::registry::EndpointProtocol;
use driftgap_routes::MAX_LABELS;
use serde_json::Value;
use std::net::SocketAddr;

/// A list that cannot be parsed; the text names the missing field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidEndpointList(pub String);

/// The field of an entry that is missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0} is missing or invalid")]
pub(super) struct InvalidField(pub &'static str);

/// A parsed list header; entries are parsed one by one with [`ListedEndpoint::read`].
pub(super) struct EndpointList<'a> {
    pub kind: ListKind,
    pub version: u64,
    pub servers: &'a [Value],
}

impl EndpointList<'_> {
    /// Parses the header of a list.
    ///
    /// # Errors
    /// The version or the list of entries is missing.
    pub fn read(value: &Value) -> Result<EndpointList<'_>, InvalidEndpointList> {
        let missing = |field: &str| InvalidEndpointList(format!("{field} is missing"));
        let version = value.get("version").and_then(Value::as_u64);
        let version = version.ok_or_else(|| missing("version"))?;
        let servers = value.get("servers").and_then(Value::as_array);
        let servers = servers.ok_or_else(|| missing("servers"))?;
        let is_full = value.get("full").and_then(Value::as_bool);
        let kind = if is_full.unwrap_or(false) {
            ListKind::Full
        } else {
            ListKind::Delta
        };
        Ok(EndpointList {
            kind,
            version,
            servers,
        })
    }
}

/// One entry of a list.
pub(super) struct ListedEndpoint<'a> {
    pub name: &'a str,
    pub state: EndpointState,
    /// None if the address is missing or invalid. Endpoints that drain or are gone need no address.
    pub addr: Option<SocketAddr>,
    pub protocol: EndpointProtocol,
    pub zone: Option<&'a str>,
    pub cell: u32,
    pub weight: f64,
    /// Unix time, s.
    pub started: f64,
    pub labels: Vec<(String, String)>,
}

impl ListedEndpoint<'_> {
    /// Parses one entry.
    ///
    /// # Errors
    /// The state or the name is missing or invalid.
    pub fn read(server: &Value) -> Result<ListedEndpoint<'_>, InvalidField> {
        let number =
            |key: &str, absent: f64| server.get(key).and_then(Value::as_f64).unwrap_or(absent);
        Ok(ListedEndpoint {
            state: read_state(server)?,
            name: read_text(server, "id")?,
            addr: read_address(server),
            protocol: read_protocol(server),
            zone: server.get("zone").and_then(Value::as_str),
            cell: number("cell", 0.0) as u32,
            weight: number("weight", 1.0),
            started: number("started_ms", 0.0) / 1e3,
            labels: read_labels(server),
        })
    }
}

fn read_text<'a>(server: &'a Value, key: &'static str) -> Result<&'a str, InvalidField> {
    let text = server.get(key).and_then(Value::as_str);
    text.ok_or(InvalidField(key))
}

fn read_state(server: &Value) -> Result<EndpointState, InvalidField> {
    match read_text(server, "state")? {
        "active" => Ok(EndpointState::Ready),
        "leaving" => Ok(EndpointState::Draining),
        "left" => Ok(EndpointState::Gone),
        _ => Err(InvalidField("state")),
    }
}

fn read_address(server: &Value) -> Option<SocketAddr> {
    read_text(server, "addr").ok()?.parse().ok()
}

fn read_protocol(server: &Value) -> EndpointProtocol {
    match server.get("protocol").and_then(Value::as_str) {
        Some("http2") => EndpointProtocol::Http2,
        _ => EndpointProtocol::Resp,
    }
}

/// Label names with their text values; at most [`MAX_LABELS`].
fn read_labels(server: &Value) -> Vec<(String, String)> {
    let labels = server.get("labels").and_then(Value::as_object);
    let texts = labels
        .into_iter()
        .flatten()
        .filter_map(|(name, value)| Some((name.clone(), value.as_str()?.to_string())));
    texts.take(MAX_LABELS).collect()
}
