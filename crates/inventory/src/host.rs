//! One host of an inventory, and the schema that hosts are read by.

use crate::fault::Location;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Port of a host that names none.
pub const PORT: u16 = 6379;
/// Longest name of a host, and longest label, bytes.
pub(crate) const MAX_NAME: usize = 128;
/// Most labels of a host.
pub const MAX_LABELS: usize = 32;

/// The fields that are read; whatever else a file holds of a host becomes a label.
pub const FIELDS: [&str; 12] = [
    "name",
    "address",
    "ansible_host",
    "ansible_port",
    "zone",
    "cell",
    "weight",
    "capacity",
    "protocol",
    "state",
    "drain_by",
    "started",
];

/// The protocol that a host speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's RESP2.
    #[default]
    Resp,
    /// HTTP/2.
    Http2,
}

/// Whether a host takes work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum State {
    /// It does.
    #[default]
    Active,
    /// It finishes its work and gets nothing new; by this Unix time, in seconds, it is gone, if one is given.
    Draining(Option<f64>),
    /// It is not there.
    Out,
}

/// A host, which is an endpoint of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: SocketAddr,
    /// Its zone by name; none: the first of the settings.
    pub zone: Option<String>,
    /// Its cell.
    pub cell: u32,
    /// Its weight beside the other hosts.
    pub weight: f64,
    /// What it can do, in the operator's unit; known to be one thing only.
    pub capacity: Option<f64>,
    /// Its protocol.
    pub protocol: Protocol,
    /// Its state.
    pub state: State,
    /// When it started, Unix seconds; 0: long ago.
    pub started: f64,
    /// What else is kept of it.
    pub labels: BTreeMap<String, String>,
    /// Groups that it is in, by name.
    pub groups: Vec<String>,
    /// Where it stands.
    pub location: Location,
}

/// What hosts are judged by.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    /// Zones of the settings.
    pub zones: Vec<String>,
    /// Names of columns or variables, and the fields that they are.
    pub columns: BTreeMap<String, String>,
}

impl Schema {
    /// The field that a column or a variable is.
    pub(crate) fn field<'a>(&'a self, name: &'a str) -> &'a str {
        self.columns.get(name).map_or(name, String::as_str)
    }
}
