//! The endpoint registry: which endpoints there are and where they listen. It owns their ids, and applies lists in
//! discovery's form, which `endpoint_list` reads. It must never drop the last list for one that makes no sense, do
//! any I/O, or decide who gets a request.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind, ALL_ENDPOINTS};
use crate::discovery::endpoint_list::{EndpointList, InvalidField, ListedEndpoint};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

pub use crate::discovery::endpoint_list::InvalidEndpointList;

/// The protocol that an endpoint speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointProtocol {
    /// The platform's RESP2.
    #[default]
    Resp,
    /// HTTP/2 with prior knowledge.
    Http2,
}

impl EndpointProtocol {
    /// Its name, as lists of endpoints write it.
    pub fn name(self) -> &'static str {
        match self {
            EndpointProtocol::Resp => "resp",
            EndpointProtocol::Http2 => "http2",
        }
    }
}

/// Where an endpoint is.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Its name, for the log.
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its protocol.
    pub protocol: EndpointProtocol,
    /// What else is kept of it, for pools.
    pub labels: Vec<(String, String)>,
}

/// What an applied list changes.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryUpdate {
    /// A full list or what changed.
    pub kind: ListKind,
    /// The list's version.
    pub version: u64,
    /// Its entries, and those of the inventory where a full list does not name them.
    pub entries: Vec<EndpointEntry>,
}

/// The endpoints that discovery or the operator's inventory names.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    zones: Vec<String>,
    ids: HashMap<String, EndpointId>,
    /// The id given last.
    last_id: EndpointId,
    endpoints: HashMap<EndpointId, Endpoint>,
    /// What the operator's inventory names, which discovery knows nothing of.
    inventory: Vec<EndpointEntry>,
}

impl EndpointRegistry {
    /// An empty registry; zones are numbered as the settings list them.
    pub fn new(zones: Vec<String>) -> EndpointRegistry {
        EndpointRegistry {
            zones,
            ..EndpointRegistry::default()
        }
    }

    /// Where an endpoint is, if that is known.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// The id of the endpoint of this name: the same until it is removed. No id is given twice.
    pub fn id_for(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.last_id += 1;
        self.ids.insert(name.to_string(), self.last_id);
        self.last_id
    }

    /// Drops what is known of endpoints that are gone, unless the inventory names them. Guards memory: through a long
    /// day new ones come under new names without end.
    pub fn remove(&mut self, is_gone: impl Fn(EndpointId) -> bool) {
        let mut gone: HashSet<EndpointId> = self
            .ids
            .values()
            .copied()
            .filter(|id| is_gone(*id))
            .collect();
        if gone.is_empty() {
            return;
        }
        // One pass over the inventory for all of them: a search for each would take the square of their number.
        for entry in &self.inventory {
            gone.remove(&entry.id);
        }
        self.ids.retain(|_, id| !gone.contains(id));
        self.endpoints.retain(|id, _| !gone.contains(id));
    }

    /// How many endpoints are known by name.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Sets where an endpoint is.
    pub fn set_endpoint(&mut self, id: EndpointId, endpoint: Endpoint) {
        self.endpoints.insert(id, endpoint);
    }

    /// A zone's number by its name; one beyond the last for a name that the settings lack.
    pub fn zone(&self, name: &str) -> u32 {
        self.zones
            .iter()
            .position(|z| z == name)
            .unwrap_or(self.zones.len()) as u32
    }

    /// The zones of the settings.
    pub fn zones(&self) -> &[String] {
        &self.zones
    }

    /// Sets what the inventory names.
    pub fn set_inventory(&mut self, entries: &[EndpointEntry]) {
        self.inventory = entries.to_vec();
    }

    /// Applies a list in discovery's form. One bad entry is left out and named in the log; the others count.
    ///
    /// # Errors
    /// It is no list at all; nothing was applied.
    pub fn apply_list(&mut self, value: &Value) -> Result<RegistryUpdate, InvalidEndpointList> {
        let list = EndpointList::read(value)?;
        let mut entries = Vec::with_capacity(list.servers.len());
        for (i, server) in list.servers.iter().enumerate() {
            match ListedEndpoint::read(server).and_then(|listed| self.apply_entry(listed)) {
                Ok(entry) => entries.extend(entry),
                Err(InvalidField(field)) => tracing::warn!(
                    entry = i,
                    field,
                    "discovery: makes no sense, entry left out"
                ),
            }
        }
        if list.kind == ListKind::Full {
            self.add_unnamed_inventory(&mut entries);
        }
        Ok(RegistryUpdate {
            kind: list.kind,
            version: list.version,
            entries,
        })
    }

    /// Guards what the operator's inventory names: discovery knows nothing of it, and a full list would end it.
    fn add_unnamed_inventory(&self, entries: &mut Vec<EndpointEntry>) {
        let named: HashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        let inventory = self.inventory.iter();
        let unnamed = inventory.filter(|entry| !named.contains(&entry.id));
        entries.extend(unnamed.cloned());
    }

    /// Keeps where a listed endpoint is; none: it is gone and was never known.
    fn apply_entry(
        &mut self,
        listed: ListedEndpoint,
    ) -> Result<Option<EndpointEntry>, InvalidField> {
        if listed.state == EndpointState::Gone && !self.ids.contains_key(listed.name) {
            return Ok(None);
        }
        let id = self.id_for(listed.name);
        match listed.addr {
            Some(addr) => {
                let endpoint = Endpoint {
                    name: listed.name.to_string(),
                    addr,
                    protocol: listed.protocol,
                    labels: listed.labels,
                };
                self.set_endpoint(id, endpoint);
            }
            // Its id stays its own for when an address comes.
            None if listed.state == EndpointState::Ready => return Err(InvalidField("addr")),
            None => {}
        }
        Ok(Some(EndpointEntry {
            id,
            zone: listed.zone.map_or(0, |zone| self.zone(zone)),
            cell: listed.cell,
            state: listed.state,
            capacity: listed.weight,
            started_at: listed.started,
            pools: ALL_ENDPOINTS,
        }))
    }
}

#[cfg(test)]
mod tests;
