//! Generated backends, in the forms in which an ingress is told of them: an inventory in CSV, and discovery's JSON.

use crate::experiment::ExperimentError;
use crate::ingress::Deployment;
use driftgap::discovery::inventory::{Inventory, InventorySettings};
use oorandom::Rand32;
use std::fmt::Write;
use std::path::Path;
use tempfile::TempDir;

/// Backends that share the memory of keys they have seen.
const CELL_SIZE: usize = 16;
/// Name of the inventory's file.
const INVENTORY_FILE: &str = "inventory.csv";

/// A generated backend.
#[derive(Clone, Debug)]
pub struct Backend {
    name: String,
    address: String,
    zone: u32,
    cell: usize,
    service: u32,
    started: u64,
    draining: bool,
}

/// Generated backends. Names, addresses and services have the same length whatever their number.
#[derive(Clone, Debug)]
pub struct Fleet {
    backends: Vec<Backend>,
}

impl Fleet {
    /// So many backends, spread by chance over zones and services.
    pub fn new(size: u64, zones: u32, services: u32, seed: u64) -> Fleet {
        let mut random = Rand32::new(seed);
        let backend = |number: usize| Backend {
            name: format!("backend-{number:06}"),
            address: format!(
                "10.{}.{}.{}:6379",
                100 + (number >> 16),
                (number >> 8) & 255,
                number & 255
            ),
            zone: random.rand_range(0..zones),
            cell: number / CELL_SIZE,
            service: random.rand_range(0..services),
            started: 1_700_000_000,
            draining: false,
        };
        Fleet {
            backends: (0..size as usize).map(backend).collect(),
        }
    }

    /// The backend in the middle of the list leaves, or comes back.
    pub fn toggle_one(&mut self) {
        let middle = self.backends.len() / 2;
        self.backends[middle].draining ^= true;
    }

    /// Every backend is started again.
    pub fn restart_all(&mut self) {
        self.backends
            .iter_mut()
            .for_each(|backend| backend.started += 1);
    }

    /// All backends as an inventory in CSV.
    pub fn inventory(&self) -> String {
        let mut text = String::from("name,address,zone,cell,weight,started,state,service\n");
        for backend in &self.backends {
            let zone = Deployment::zone(backend.zone);
            let state = if backend.draining {
                "draining"
            } else {
                "active"
            };
            let Backend {
                name,
                address,
                cell,
                service,
                started,
                ..
            } = backend;
            // Writing to memory does not fail.
            let _ = writeln!(
                text,
                "{name},{address},{zone},{cell},1.0,{started},{state},{}",
                service_name(*service)
            );
        }
        text
    }

    /// All backends as a whole list of discovery's.
    pub fn whole_list(&self, version: u64) -> Vec<u8> {
        list(version, true, &self.backends)
    }

    /// The backend in the middle of the list as a change of discovery's.
    pub fn change_list(&self, version: u64) -> Vec<u8> {
        let middle = self.backends.len() / 2;
        list(version, false, &self.backends[middle..=middle])
    }
}

/// The name of a service by its number.
pub fn service_name(number: u32) -> String {
    format!("service-{number:04}")
}

fn list(version: u64, full: bool, backends: &[Backend]) -> Vec<u8> {
    let server = |backend: &Backend| {
        serde_json::json!({
            "id": backend.name,
            "addr": backend.address,
            "zone": Deployment::zone(backend.zone),
            "cell": backend.cell,
            "state": if backend.draining { "leaving" } else { "active" },
            "weight": 1.0,
            "started_ms": backend.started * 1000,
            "labels": { "service": service_name(backend.service) },
        })
    };
    let servers: Vec<serde_json::Value> = backends.iter().map(server).collect();
    serde_json::json!({"version": version, "full": full, "servers": servers})
        .to_string()
        .into_bytes()
}

/// An inventory in a folder of its own, which is removed with it.
pub struct InventoryFolder {
    folder: TempDir,
    /// The inventory as the ingress reads it.
    pub inventory: Inventory,
}

impl InventoryFolder {
    /// A folder without an inventory yet.
    ///
    /// # Errors
    /// The folder cannot be made.
    pub fn new() -> Result<InventoryFolder, ExperimentError> {
        let folder = tempfile::tempdir()?;
        let settings = InventorySettings {
            file: INVENTORY_FILE.into(),
            columns: Default::default(),
            shorter: 0.3,
            taken_out: 0.3,
            confirm_after_ms: 5000.0,
        };
        let inventory = Inventory::new(settings, folder.path());
        Ok(InventoryFolder { folder, inventory })
    }

    /// Writes the inventory's file.
    ///
    /// # Errors
    /// It cannot be written.
    pub fn write(&self, fleet: &Fleet) -> Result<(), ExperimentError> {
        let path: &Path = self.folder.path();
        Ok(std::fs::write(
            path.join(INVENTORY_FILE),
            fleet.inventory(),
        )?)
    }
}
