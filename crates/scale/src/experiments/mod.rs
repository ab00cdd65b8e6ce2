//! The experiments, one module per topic. `registry` lists them.

pub mod backends;
pub mod changes;
pub mod fleet;
pub mod group;
pub mod ingresses;
pub mod routes;
pub mod services;
pub mod tenants;
pub mod traffic;
pub mod zones;
