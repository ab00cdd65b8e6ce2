//! A host of an inventory, and the schema by which hosts are read.

use crate::fault::Location;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Default port of a host.
pub const PORT: u16 = 6379;
/// Maximum length of a host's name and of a label, in bytes.
pub(crate) const MAX_NAME: usize = 128;
/// Maximum number of labels of a host.
pub const MAX_LABELS: usize = 32;

/// The names of the known fields. Every other column or variable of a host becomes a label.
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

/// The protocol of a host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// RESP2, the platform's own protocol.
    #[default]
    Resp,
    /// HTTP/2.
    Http2,
}

/// Whether a host accepts requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum State {
    /// The host accepts requests.
    #[default]
    Active,
    /// The host completes its requests in flight and accepts no new ones. It is shut down by the
    /// given Unix time, in seconds, if there is one.
    Draining(Option<f64>),
    /// The host is out of service.
    Out,
}

/// A host, which is an endpoint of the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The host's name.
    pub name: String,
    /// The host's address.
    pub address: SocketAddr,
    /// The name of the zone; absent for the first zone of the settings.
    pub zone: Option<String>,
    /// The number of the cell.
    pub cell: u32,
    /// The weight relative to the other hosts.
    pub weight: f64,
    /// The capacity in the operator's unit; used only to detect contradicting rows.
    pub capacity: Option<f64>,
    /// The protocol of the host.
    pub protocol: Protocol,
    /// Whether the host accepts requests.
    pub state: State,
    /// Unix time at which the host started, in seconds; 0 means long ago.
    pub started: f64,
    /// Further columns or variables by name.
    pub labels: BTreeMap<String, String>,
    /// The names of the groups that contain the host.
    pub groups: Vec<String>,
    /// The location of the host in the inventory.
    pub location: Location,
}

/// The names by which hosts are read and checked.
#[derive(Clone, Debug, Default)]
pub struct Schema {
    /// The names of the zones in the settings.
    pub zones: Vec<String>,
    /// Field names by the names of the columns or variables that stand for them.
    pub columns: BTreeMap<String, String>,
}

impl Schema {
    /// Returns the field that a column or variable stands for.
    pub(crate) fn field<'a>(&'a self, name: &'a str) -> &'a str {
        self.columns.get(name).map_or(name, String::as_str)
    }
}
