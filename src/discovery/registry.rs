//! The endpoint registry: which endpoints there are, where they listen and what state they are in. It owns the
//! numbering of endpoints and discovery's form of the list. It must never drop the last list for one that makes
//! no sense, do any I/O, or decide who gets a request.

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ListKind, ALL_ENDPOINTS};
use driftgap_routes::MAX_LABELS;
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// Which wire an endpoint speaks.
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
    /// Its address.
    pub addr: SocketAddr,
    /// Its wire.
    pub protocol: EndpointProtocol,
    /// What else is kept of it, for pools.
    pub labels: Vec<(String, String)>,
}

/// News of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct RegistryUpdate {
    /// All of it or a change.
    pub kind: ListKind,
    /// The version it brings.
    pub version: u64,
    /// The entries.
    pub entries: Vec<EndpointEntry>,
}

/// A list that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct InvalidEndpointList(pub String);

/// The table.
#[derive(Debug, Default)]
pub struct EndpointRegistry {
    zones: Vec<String>,
    numbers: HashMap<String, EndpointId>,
    next: EndpointId,
    endpoints: HashMap<EndpointId, Endpoint>,
    /// What the operator's inventory names, which discovery knows nothing of.
    inventory: Vec<EndpointEntry>,
}

impl EndpointRegistry {
    /// An empty table; zones are numbered as the settings list them.
    pub fn new(zones: Vec<String>) -> EndpointRegistry {
        EndpointRegistry {
            zones,
            ..EndpointRegistry::default()
        }
    }

    /// An endpoint, if the table has named it.
    pub fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.endpoints.get(&id)
    }

    /// The number of an endpoint of this name: the same until it has left. No number is given twice.
    pub fn number(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        self.next += 1;
        self.numbers.insert(name.to_string(), self.next);
        self.next
    }

    /// Drops what is held of endpoints that have left. Guards memory: through a long day new ones come under new
    /// names without end.
    pub fn forget(&mut self, left: impl Fn(EndpointId) -> bool) {
        let mut gone: HashSet<EndpointId> = self
            .numbers
            .values()
            .copied()
            .filter(|id| left(*id))
            .collect();
        if gone.is_empty() {
            return;
        }
        // One pass over the inventory for all of them: a search for each would take the square of their number.
        for entry in &self.inventory {
            gone.remove(&entry.id);
        }
        self.numbers.retain(|_, id| !gone.contains(id));
        self.endpoints.retain(|id, _| !gone.contains(id));
    }

    /// Endpoints held.
    pub fn len(&self) -> usize {
        self.numbers.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.numbers.is_empty()
    }

    /// Puts an endpoint where it says it is.
    pub fn place(&mut self, id: EndpointId, endpoint: Endpoint) {
        self.endpoints.insert(id, endpoint);
    }

    /// A zone's number by its name.
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

    /// Keeps what the inventory names: a whole list of discovery's must not end it.
    pub fn keep_inventory(&mut self, entries: &[EndpointEntry]) {
        self.inventory = entries.to_vec();
    }

    /// Takes in a list in discovery's form. One bad entry is left out and named; the others count.
    ///
    /// # Errors
    /// It is no list at all; nothing was taken in.
    pub fn take(&mut self, value: &Value) -> Result<RegistryUpdate, InvalidEndpointList> {
        let version = value.get("version").and_then(Value::as_u64);
        let version = version.ok_or_else(|| InvalidEndpointList("version is missing".into()))?;
        let servers = value.get("servers").and_then(Value::as_array);
        let servers = servers.ok_or_else(|| InvalidEndpointList("servers is missing".into()))?;
        let full = value.get("full").and_then(Value::as_bool).unwrap_or(false);
        let mut entries = Vec::with_capacity(servers.len());
        for (i, server) in servers.iter().enumerate() {
            match self.entry(server) {
                Ok(entry) => entries.extend(entry),
                Err(field) => tracing::warn!(
                    entry = i,
                    field,
                    "discovery: makes no sense, entry left out"
                ),
            }
        }
        if full {
            let named: HashSet<EndpointId> = entries.iter().map(|e| e.id).collect();
            entries.extend(
                self.inventory
                    .iter()
                    .filter(|e| !named.contains(&e.id))
                    .cloned(),
            );
        }
        Ok(RegistryUpdate {
            kind: if full {
                ListKind::Full
            } else {
                ListKind::Delta
            },
            version,
            entries,
        })
    }

    /// One entry; none: it has left and was never known.
    fn entry(&mut self, server: &Value) -> Result<Option<EndpointEntry>, &'static str> {
        let text = |key: &'static str| server.get(key).and_then(Value::as_str).ok_or(key);
        let number =
            |key: &str, absent: f64| server.get(key).and_then(Value::as_f64).unwrap_or(absent);
        let state = match text("state")? {
            "active" => EndpointState::Ready,
            "leaving" => EndpointState::Draining,
            "left" => EndpointState::Gone,
            _ => return Err("state"),
        };
        let name = text("id")?;
        if state == EndpointState::Gone && !self.numbers.contains_key(name) {
            return Ok(None);
        }
        let id = self.number(name);
        let protocol = match server.get("protocol").and_then(Value::as_str) {
            Some("http2") => EndpointProtocol::Http2,
            _ => EndpointProtocol::Resp,
        };
        match text("addr").and_then(|a| a.parse().map_err(|_| "addr")) {
            Ok(addr) => self.place(
                id,
                Endpoint {
                    name: name.to_string(),
                    addr,
                    protocol,
                    labels: labels(server),
                },
            ),
            // What leaves needs no address.
            Err(field) if state == EndpointState::Ready => return Err(field),
            Err(_) => {}
        }
        Ok(Some(EndpointEntry {
            id,
            zone: server
                .get("zone")
                .and_then(Value::as_str)
                .map_or(0, |z| self.zone(z)),
            cell: number("cell", 0.0) as u32,
            state,
            weight: number("weight", 1.0),
            started: number("started_ms", 0.0) / 1e3,
            pools: ALL_ENDPOINTS,
        }))
    }
}

/// The labels of an entry of discovery's: names and texts, some at most.
fn labels(server: &Value) -> Vec<(String, String)> {
    let given = server
        .get("labels")
        .and_then(Value::as_object)
        .into_iter()
        .flatten();
    let texts = given.filter_map(|(name, value)| Some((name.clone(), value.as_str()?.to_string())));
    texts.take(MAX_LABELS).collect()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn one_bad_entry_is_left_out_and_a_bad_list_takes_nothing() {
        let mut table = EndpointRegistry::new(vec!["a".into(), "b".into()]);
        let list = serde_json::json!({"version": 41, "full": true, "servers": [
            {"id": "s-1", "addr": "127.0.0.1:1", "zone": "b", "cell": 3, "state": "active", "weight": 1.5,
             "started_ms": 2000},
            {"id": "s-2", "addr": "nowhere", "zone": "a", "cell": 3, "state": "active", "weight": 1.0},
            {"id": "s-3", "addr": "127.0.0.1:3", "zone": "a", "cell": 3, "state": "on fire"},
            {"addr": "127.0.0.1:4", "state": "active"}
        ]});
        let update = table.take(&list).unwrap();
        let want = EndpointEntry {
            id: 1,
            zone: 1,
            cell: 3,
            state: EndpointState::Ready,
            weight: 1.5,
            started: 2.0,
            pools: ALL_ENDPOINTS,
        };
        assert_eq!(
            (update.kind, update.version, update.entries),
            (ListKind::Full, 41, vec![want])
        );
        for bad in [
            serde_json::json!([]),
            serde_json::json!({"version": 1}),
            serde_json::json!({"servers": []}),
        ] {
            assert!(table.take(&bad).is_err(), "{bad}");
        }
    }

    #[test]
    fn what_has_left_is_forgotten_and_its_number_is_not_given_again() {
        let mut table = EndpointRegistry::new(vec![]);
        let mut numbers = HashSet::new();
        for i in 0..1000 {
            let server = |id: String, state: &str| serde_json::json!({"id": id, "addr": "127.0.0.1:1", "state": state});
            let servers = [
                server(format!("s-{i}"), "active"),
                server(format!("s-{}", i - 1), "left"),
            ];
            let update = table
                .take(&serde_json::json!({"version": i, "servers": servers}))
                .unwrap();
            let gone: HashSet<_> = update
                .entries
                .iter()
                .filter(|e| e.state == EndpointState::Gone)
                .map(|e| e.id)
                .collect();
            assert!(numbers.insert(update.entries[0].id) && gone.len() == usize::from(i > 0));
            table.forget(|id| gone.contains(&id));
        }
        assert_eq!((table.len(), table.endpoints.len()), (1, 1));
    }

    #[test]
    fn a_whole_list_of_discoverys_does_not_end_what_the_inventory_names() {
        let mut table = EndpointRegistry::new(vec![]);
        let id = table.number("mine");
        let mine = EndpointEntry {
            id,
            zone: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started: 0.0,
            pools: ALL_ENDPOINTS,
        };
        table.keep_inventory(std::slice::from_ref(&mine));
        let empty = serde_json::json!({"version": 1, "full": true, "servers": []});
        assert_eq!(table.take(&empty).unwrap().entries, vec![mine]);
    }

    #[test]
    fn what_the_inventory_names_is_kept_whoever_says_that_it_has_left() {
        let mut table = EndpointRegistry::new(vec![]);
        let endpoint = |name: &str| Endpoint {
            name: name.into(),
            addr: "127.0.0.1:1".parse().unwrap(),
            protocol: EndpointProtocol::Resp,
            labels: Vec::new(),
        };
        let ids = ["mine", "told", "gone"].map(|name| {
            let id = table.number(name);
            table.place(id, endpoint(name));
            id
        });
        let mine = EndpointEntry {
            id: ids[0],
            zone: 0,
            cell: 0,
            state: EndpointState::Ready,
            weight: 1.0,
            started: 0.0,
            pools: ALL_ENDPOINTS,
        };
        table.keep_inventory(&[mine]);
        table.forget(|id| id != ids[1]);
        assert_eq!(
            ids.map(|id| table.endpoint(id).is_some()),
            [true, true, false]
        );
        assert_eq!(
            (table.len(), table.number("mine"), table.number("told")),
            (2, ids[0], ids[1])
        );
        assert!(
            !ids.contains(&table.number("gone")),
            "its number is not given again"
        );
    }
}
