//! The endpoint registry: known endpoints and their addresses. It assigns endpoint ids and applies
//! lists that `endpoint_list` has parsed. It keeps the last list when a new one is invalid, does no
//! I/O, and does not select endpoints for requests.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind, ALL_ENDPOINTS};
use crate::discovery::endpoint_list::{EndpointList, InvalidField, ListedEndpoint};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

pub use crate::discovery::endpoint_list::InvalidEndpointList;

/// The protocol of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum EndpointProtocol {
    /// The platform's RESP2.
    #[default]
    Resp,
    /// HTTP/2 with prior knowledge.
    Http2,
}

impl EndpointProtocol {
    /// The protocol's name in endpoint lists.
    pub fn name(self) -> &'static str {
        match self {
            EndpointProtocol::Resp => "resp",
            EndpointProtocol::Http2 => "http2",
        }
    }
}

/// Address, protocol and labels of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The endpoint's name, for the log.
    pub name: String,
    /// The address it listens on.
    pub addr: SocketAddr,
    /// The protocol that it accepts.
    pub protocol: EndpointProtocol,
    /// Label names and values, matched by the pools of rules.
    pub labels: Vec<(String, String)>,
}

/// The result of applying a list.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryUpdate {
    /// Whether the list is full or a delta.
    pub kind: ListKind,
    /// The list's version.
    pub version: u64,
    /// The list's entries; for a full list, also the inventory entries that it does not name.
    pub entries: Vec<EndpointEntry>,
}

/// The endpoints that discovery or the operator's inventory names.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    zones: Vec<String>,
    ids: HashMap<String, EndpointId>,
    /// The id that was assigned last.
    last_id: EndpointId,
    endpoints: HashMap<EndpointId, Endpoint>,
    /// The entries of the operator's inventory; discovery does not list them.
    inventory: Vec<EndpointEntry>,
}

impl EndpointRegistry {
    /// An empty registry; zones are numbered in the order of the settings.
    pub fn new(zones: Vec<String>) -> EndpointRegistry {
        EndpointRegistry {
            zones,
            ..EndpointRegistry::default()
        }
    }

    /// An endpoint's address and protocol, if known.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// The id of the endpoint with this name; assigns one on first use. The id stays the same until
    /// the endpoint is removed, and ids are never reused.
    pub fn id_for(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        self.last_id += 1;
        self.ids.insert(name.to_string(), self.last_id);
        self.last_id
    }

    /// Removes endpoints that are gone, unless the inventory names them. Bounds memory: endpoints
    /// appear under new names continuously.
    pub fn remove(&mut self, is_gone: impl Fn(EndpointId) -> bool) {
        let mut removed_ids: HashSet<EndpointId> = self
            .ids
            .values()
            .copied()
            .filter(|id| is_gone(*id))
            .collect();
        if removed_ids.is_empty() {
            return;
        }
        // One pass over the inventory for all endpoints: a search for each would be quadratic.
        for entry in &self.inventory {
            removed_ids.remove(&entry.id);
        }
        self.ids.retain(|_, id| !removed_ids.contains(id));
        self.endpoints.retain(|id, _| !removed_ids.contains(id));
    }

    /// Number of endpoints known by name.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// Whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Sets an endpoint's address and protocol.
    pub fn set_endpoint(&mut self, id: EndpointId, endpoint: Endpoint) {
        self.endpoints.insert(id, endpoint);
    }

    /// The number of a zone by its name; one past the last for a name that is not in the settings.
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

    /// Replaces the entries of the inventory.
    pub fn set_inventory(&mut self, entries: &[EndpointEntry]) {
        self.inventory = entries.to_vec();
    }

    /// Applies a list in discovery's format. An invalid entry is skipped and logged; the others are
    /// applied. An endpoint that is listed with a start is the one that listens at its address; another
    /// one that is known there, and did not start later, is gone.
    ///
    /// # Errors
    /// The value is not an endpoint list; nothing was applied.
    pub fn apply_list(&mut self, value: &Value) -> Result<RegistryUpdate, InvalidEndpointList> {
        let list = EndpointList::read(value)?;
        let mut entries = Vec::with_capacity(list.servers.len());
        for (i, server) in list.servers.iter().enumerate() {
            match ListedEndpoint::read(server).and_then(|listed| self.apply_entry(listed)) {
                Ok(entry) => entries.extend(entry),
                Err(InvalidField(field)) => tracing::warn!(
                    entry = i,
                    field,
                    "discovery list: entry skipped because a field is missing or invalid"
                ),
            }
        }
        self.remove_replaced(&mut entries);
        if list.kind == ListKind::Full {
            self.add_unnamed_inventory(&mut entries);
        }
        Ok(RegistryUpdate {
            kind: list.kind,
            version: list.version,
            entries,
        })
    }

    /// Adds the inventory entries that a full list does not name; without them the full list would
    /// remove those endpoints.
    fn add_unnamed_inventory(&self, entries: &mut Vec<EndpointEntry>) {
        let named: HashSet<EndpointId> = entries.iter().map(|entry| entry.id).collect();
        let inventory = self.inventory.iter();
        let unnamed = inventory.filter(|entry| !named.contains(&entry.id));
        entries.extend(unnamed.cloned());
    }

    /// Marks endpoints as gone whose address an endpoint with a later start has taken.
    fn remove_replaced(&self, entries: &mut Vec<EndpointEntry>) {
        let ready = entries.iter().filter(|e| e.state == EndpointState::Ready);
        let started: HashMap<EndpointId, f64> = ready.map(|e| (e.id, e.started_at)).collect();
        let mut newest: HashMap<SocketAddr, f64> = HashMap::new();
        for (id, at) in started.iter().filter(|(_, at)| **at > 0.0) {
            if let Some(endpoint) = self.endpoints.get(id) {
                let newest = newest.entry(endpoint.addr).or_default();
                *newest = newest.max(*at);
            }
        }
        if newest.is_empty() {
            return;
        }
        for (id, endpoint) in &self.endpoints {
            let own_start = started.get(id).copied().unwrap_or(0.0);
            let is_replaced = newest.get(&endpoint.addr).is_some_and(|at| *at > own_start);
            if is_replaced {
                tracing::warn!(
                    endpoint = endpoint.name,
                    "an endpoint with a later start is listed at the address of this one, which is taken as gone"
                );
                entries.retain(|entry| entry.id != *id);
                entries.push(gone(*id));
            }
        }
    }

    /// Stores the address of a listed endpoint. Returns `None` for an unknown endpoint that is
    /// already gone.
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
            // The id stays assigned: a later list may supply the address.
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

/// The entry of an endpoint that is gone.
fn gone(id: EndpointId) -> EndpointEntry {
    EndpointEntry {
        id,
        zone: 0,
        cell: 0,
        state: EndpointState::Gone,
        capacity: 0.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    }
}

#[cfg(test)]
mod tests;
