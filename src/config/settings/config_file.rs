//! The platform's file (`EDGE_CONFIG`): what the platform gives an ingress at its start and at a reload.

use super::json_field::JsonField;
use super::{ConfigError, Platform};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// Name of an ingress whose file gives none.
const DEFAULT_NAME: &str = "ingress";
/// Seed of random numbers where the file gives none.
const DEFAULT_SEED: u64 = 1;
/// Descriptors where the file says nothing: what the platform gives at most.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Fewer descriptors leave hardly any for clients and endpoints beside the program's own.
const SOCKETS: RangeInclusive<f64> = 64.0..=1e6;
/// Memory where the file says nothing, MB: what the platform gives at most.
const DEFAULT_MEMORY_MB: f64 = 192.0;
const MEMORY_MB: RangeInclusive<f64> = 1.0..=1e9;

/// Everything that the platform gives an ingress at its start (`EDGE_CONFIG`).
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// The discovery agent, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// Where staff call, if they may.
    pub operator: Option<SocketAddr>,
    /// For random numbers.
    pub seed: u64,
    /// Most descriptors open at once.
    pub sockets: usize,
    /// Memory, MB.
    pub memory_mb: f64,
    /// The last known list of endpoints, in discovery's form; null: there is none.
    pub last_known_endpoints: Value,
    /// The settings.
    pub platform: Platform,
}

impl Config {
    /// The configuration from its file.
    ///
    /// # Errors
    /// It cannot be read, or a field is missing or makes no sense.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        Config::parse(&Config::text(path)?)
    }

    /// The text of its file.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn text(path: &Path) -> Result<String, ConfigError> {
        std::fs::read_to_string(path).map_err(|e| ConfigError::Read {
            path: path.display().to_string(),
            problem: e.to_string(),
        })
    }

    /// The keys in which `new` differs although a running program cannot follow them.
    pub fn changes_needing_restart(&self, new: &Config) -> Vec<&'static str> {
        let limits = (self.sockets, self.memory_mb);
        let changed = [
            ("listen", self.listen != new.listen),
            ("operator", self.operator != new.operator),
            ("limits", limits != (new.sockets, new.memory_mb)),
            ("settings", self.platform != new.platform),
        ];
        changed
            .iter()
            .filter(|(_, changed)| *changed)
            .map(|(key, _)| *key)
            .collect()
    }

    /// The configuration from its JSON text.
    ///
    /// # Errors
    /// The field that is missing or makes no sense.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| ConfigError::NotJson(e.to_string()))?;
        let root = JsonField::root(&value);
        let seed = seed(&root)?;
        let sockets = limit(&root, "sockets", DEFAULT_SOCKETS)?;
        in_range("limits.sockets", sockets, SOCKETS, "64 to 1000000")?;
        let memory_mb = limit(&root, "memory_mb", DEFAULT_MEMORY_MB)?;
        in_range("limits.memory_mb", memory_mb, MEMORY_MB, "1 to 1e9")?;
        let settings = root.require("settings")?;
        Ok(Config {
            name: root.text_or("name", DEFAULT_NAME)?.to_string(),
            listen: address(&root.require("listen")?)?,
            discovery: optional_address(&root, "discovery")?,
            counter: optional_address(&root, "counter")?,
            operator: optional_address(&root, "operator")?,
            seed,
            sockets: sockets as usize,
            memory_mb,
            last_known_endpoints: value.get("known").cloned().unwrap_or(Value::Null),
            platform: Platform::read(&JsonField::root(settings.value()))?,
        })
    }
}

fn seed(root: &JsonField) -> Result<u64, ConfigError> {
    let Some(field) = root.get("seed") else {
        return Ok(DEFAULT_SEED);
    };
    u64::from_str_radix(field.text()?, 16).map_err(|_| ConfigError::NotHexadecimal {
        field: field.path().to_string(),
    })
}

fn limit(root: &JsonField, key: &str, absent: f64) -> Result<f64, ConfigError> {
    root.get("limits")
        .map_or(Ok(absent), |limits| limits.number_or(key, absent))
}

fn in_range(
    field: &'static str,
    value: f64,
    range: RangeInclusive<f64>,
    range_text: &'static str,
) -> Result<(), ConfigError> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(ConfigError::OutOfRange {
        field,
        value: value.to_string(),
        range: range_text,
    })
}

fn optional_address(root: &JsonField, key: &str) -> Result<Option<SocketAddr>, ConfigError> {
    root.get(key).map(|field| address(&field)).transpose()
}

fn address(field: &JsonField) -> Result<SocketAddr, ConfigError> {
    address_of(field.path(), field.text()?)
}

/// An address and port, from a field or a variable of this name.
///
/// # Errors
/// It is none.
pub fn address_of(name: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NotAnAddress {
        field: name.to_string(),
        value: text.to_string(),
    })
}
