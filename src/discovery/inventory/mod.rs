//! The operator's inventory: applies the hosts of its files to the endpoint registry.
//! `driftgap_inventory` parses and validates the files.
//!
//! A file with an error, or a list that still needs confirmation, changes nothing. A host that is
//! no longer named is drained before it is removed.

mod confirmation;
mod error;
mod files;
mod settings;

pub use error::InventoryError;
pub use settings::InventorySettings;

use crate::decision::driver::EndpointId;
use crate::decision::{EndpointEntry, EndpointState, ALL_ENDPOINTS};
use crate::discovery::registry::{Endpoint, EndpointProtocol, EndpointRegistry};
use confirmation::Confirmation;
use driftgap_inventory::{read, Fault, File, Host, Protocol, Schema, State};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The inventory's settings and the list in force.
#[derive(Debug)]
pub struct Inventory {
    settings: InventorySettings,
    path: PathBuf,
    /// The hosts of the list in force.
    hosts: Vec<Host>,
    /// The endpoints that the list in force names.
    named: BTreeSet<EndpointId>,
    /// Endpoints of the previous list that the list in force does not name.
    draining: BTreeSet<EndpointId>,
    /// Endpoints that were already draining when the list in force was applied, and that it does
    /// not name either.
    dropped: BTreeSet<EndpointId>,
    confirmation: Confirmation,
    /// The files that the list in force was read from.
    accepted: Vec<File>,
}

impl Inventory {
    /// Creates an inventory without reading it. A relative path is resolved against `folder`.
    pub fn new(settings: InventorySettings, folder: &Path) -> Inventory {
        Inventory {
            path: folder.join(&settings.file),
            settings,
            hosts: Vec::new(),
            named: BTreeSet::new(),
            draining: BTreeSet::new(),
            dropped: BTreeSet::new(),
            confirmation: Confirmation::default(),
            accepted: Vec::new(),
        }
    }

    /// The path of the file or folder.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Whether an endpoint has been missing from the last two lists and may be removed.
    pub fn is_dropped(&self, id: EndpointId) -> bool {
        self.dropped.contains(&id)
    }

    /// Reads the inventory and applies it to the registry at `now`, ms. Returns the changed entries
    /// and the warnings. Hosts that are no longer named drain.
    ///
    /// # Errors
    /// The inventory is invalid or must be confirmed; the registry is unchanged.
    pub fn load(
        &mut self,
        registry: &mut EndpointRegistry,
        now: f64,
    ) -> Result<(Vec<EndpointEntry>, Vec<Fault>), InventoryError> {
        self.apply(files::read_files(&self.path)?, registry, now)
    }

    /// The files of the list in force, serialized for [`Inventory::load_copy`].
    pub fn accepted_bytes(&self) -> Vec<u8> {
        let files: Vec<(&str, &[u8])> = self
            .accepted
            .iter()
            .map(|file| (&*file.path, &*file.bytes))
            .collect();
        postcard::to_stdvec(&files).unwrap_or_default()
    }

    /// Applies an inventory that another ingress has accepted; otherwise as [`Inventory::load`].
    ///
    /// # Errors
    /// The bytes cannot be decoded, or the inventory is invalid for this ingress.
    pub fn load_copy(
        &mut self,
        accepted: &[u8],
        registry: &mut EndpointRegistry,
        now: f64,
    ) -> Result<(Vec<EndpointEntry>, Vec<Fault>), InventoryError> {
        let files: Vec<(String, Vec<u8>)> = postcard::from_bytes(accepted)
            .map_err(|e| std::io::Error::new(std::io::ErrorKind::InvalidData, e.to_string()))?;
        let files = files
            .into_iter()
            .map(|(path, bytes)| File { path, bytes })
            .collect();
        self.apply(files, registry, now)
    }

    fn apply(
        &mut self,
        files: Vec<File>,
        registry: &mut EndpointRegistry,
        now: f64,
    ) -> Result<(Vec<EndpointEntry>, Vec<Fault>), InventoryError> {
        let schema = Schema {
            zones: registry.zones().to_vec(),
            columns: self.settings.columns.clone(),
        };
        let reading = read(&files, &schema);
        if !reading.has_no_errors() {
            return Err(InventoryError::Faults(reading.faults));
        }
        self.confirmation
            .confirm(&self.hosts, &reading.hosts, &self.settings, now)
            .map_err(InventoryError::Unconfirmed)?;
        let hosts = reading.hosts.iter();
        let mut entries: Vec<EndpointEntry> =
            hosts.map(|host| apply_host(host, registry)).collect();
        self.replace_named(entries.iter().map(|entry| entry.id).collect());
        entries.extend(self.draining.iter().map(|id| draining_entry(*id)));
        registry.set_inventory(&entries);
        self.hosts = reading.hosts;
        self.accepted = files;
        Ok((entries, reading.faults))
    }

    /// Endpoints that are no longer named drain now and are dropped by the next list.
    fn replace_named(&mut self, named: BTreeSet<EndpointId>) {
        self.dropped = self.draining.difference(&named).copied().collect();
        self.draining = self.named.difference(&named).copied().collect();
        self.named = named;
    }
}

/// Stores a host's address in the registry and returns its entry.
fn apply_host(host: &Host, registry: &mut EndpointRegistry) -> EndpointEntry {
    let id = registry.id_for(&host.name);
    let labels = host.labels.iter();
    let endpoint = Endpoint {
        name: host.name.clone(),
        addr: host.address,
        protocol: endpoint_protocol(host.protocol),
        labels: labels
            .map(|(name, value)| (name.clone(), value.clone()))
            .collect(),
    };
    registry.set_endpoint(id, endpoint);
    let zone = host.zone.as_ref();
    EndpointEntry {
        id,
        zone: zone.map_or(0, |zone| registry.zone(zone)),
        cell: host.cell,
        state: endpoint_state(host.state),
        capacity: host.weight,
        started_at: host.started,
        pools: ALL_ENDPOINTS,
    }
}

fn draining_entry(id: EndpointId) -> EndpointEntry {
    EndpointEntry {
        id,
        zone: 0,
        cell: 0,
        state: EndpointState::Draining,
        capacity: 1.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    }
}

fn endpoint_protocol(protocol: Protocol) -> EndpointProtocol {
    match protocol {
        Protocol::Resp => EndpointProtocol::Resp,
        Protocol::Http2 => EndpointProtocol::Http2,
    }
}

fn endpoint_state(state: State) -> EndpointState {
    match state {
        State::Active => EndpointState::Ready,
        State::Draining(_) => EndpointState::Draining,
        State::Out => EndpointState::Gone,
    }
}

#[cfg(test)]
mod tests;
