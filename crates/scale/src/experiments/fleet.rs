//! Generated backends in the two formats that an ingress reads: an inventory in CSV and discovery's
//! JSON.

use crate::experiment::ExperimentError;
use crate::ingress::Deployment;
use driftgap::discovery::inventory::{Inventory, InventorySettings};
use oorandom::Rand32;
use std::fmt::Write;
use std::path::Path;
use tempfile::TempDir;

/// Number of backends in a cell; they share one record of deduplication keys.
const CELL_SIZE: usize = 16;
/// File name of the inventory.
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

/// Generated backends. All names, addresses and services have the same length, whatever the number
/// of backends.
#[derive(Clone, Debug)]
pub struct Fleet {
    backends: Vec<Backend>,
}

impl Fleet {
    /// Generates `size` backends, distributed randomly over zones and services.
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

    /// Starts to drain the backend in the middle of the list, or makes it active again.
    pub fn toggle_one(&mut self) {
        let middle = self.backends.len() / 2;
        self.backends[middle].draining ^= true;
    }

    /// Marks every backend as restarted.
    pub fn restart_all(&mut self) {
        self.backends
            .iter_mut()
            .for_each(|backend| backend.started += 1);
    }

    /// Returns all backends as an inventory in CSV.
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
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "{name},{address},{zone},{cell},1.0,{started},{state},{}",
                service_name(*service)
            );
        }
        text
    }

    /// Returns all backends as a full discovery list.
    pub fn full_list(&self, version: u64) -> Vec<u8> {
        list(version, true, &self.backends)
    }

    /// Returns the backend in the middle of the list as an incremental discovery list.
    pub fn change_list(&self, version: u64) -> Vec<u8> {
        let middle = self.backends.len() / 2;
        list(version, false, &self.backends[middle..=middle])
    }
}

/// Returns the name of the service with this number.
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

/// An inventory in a temporary folder, which is removed when this value is dropped.
pub struct InventoryFolder {
    folder: TempDir,
    /// The inventory as the ingress reads it.
    pub inventory: Inventory,
}

impl InventoryFolder {
    /// Creates a folder without an inventory file.
    ///
    /// # Errors
    /// The folder cannot be created.
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

    /// Writes the inventory file.
    ///
    /// # Errors
    /// The file cannot be written.
    pub fn write(&self, fleet: &Fleet) -> Result<(), ExperimentError> {
        let path: &Path = self.folder.path();
        Ok(std::fs::write(
            path.join(INVENTORY_FILE),
            fleet.inventory(),
        )?)
    }
}
