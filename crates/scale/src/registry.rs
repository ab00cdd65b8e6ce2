//! The list of all experiments. A new experiment is added here and in `experiments`.

use crate::experiment::Experiment;
use crate::experiments::{backends, changes, group, ingresses, routes, services, tenants, zones};

/// Returns all experiments in the order in which they run.
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(backends::ByInventory),
        Box::new(backends::ByDiscovery),
        Box::new(services::ByServices),
        Box::new(zones::ByZones),
        Box::new(routes::ByRoutes::simple()),
        Box::new(routes::ByRoutes::mixed()),
        Box::new(tenants::ByTenants),
        Box::new(tenants::ByTenantTurnover),
        Box::new(group::IdleByFollowers),
        Box::new(group::DocumentByFollowers),
        Box::new(changes::ByChanges::of_list_entries()),
        Box::new(changes::ByChanges::of_documents()),
        Box::new(changes::HeapByChanges),
        Box::new(ingresses::CounterByIngresses),
        Box::new(ingresses::CounterByTenants),
        Box::new(ingresses::BackendByIngresses),
    ]
}

/// Returns the experiment with this name.
pub fn find(name: &str) -> Option<Box<dyn Experiment>> {
    all()
        .into_iter()
        .find(|experiment| experiment.name() == name)
}
