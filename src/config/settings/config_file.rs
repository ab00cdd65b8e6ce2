//! The platform's file (`EDGE_CONFIG`), which is read at the start and at a reload.

use super::json_field::JsonField;
use super::{ConfigError, Platform};
use serde_json::Value;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;

/// Name of an ingress if the file sets none.
const DEFAULT_NAME: &str = "ingress";
/// Seed of random numbers if the file sets none.
const DEFAULT_SEED: u64 = 1;
/// Default limit of file descriptors: the most that the platform grants.
const DEFAULT_SOCKETS: f64 = 1024.0;
/// Accepted limits of file descriptors. Fewer than 64 leave hardly any for clients and endpoints
/// in addition to the program's own.
const SOCKETS_RANGE: RangeInclusive<f64> = 64.0..=1e6;
/// Default memory, MB: the most that the platform grants.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Accepted memory limits, MB.
const MEMORY_MB_RANGE: RangeInclusive<f64> = 1.0..=1e9;

/// The content of the platform's file (`EDGE_CONFIG`).
#[derive(Clone, Debug)]
pub struct Config {
    /// The ingress's name, stable across restarts.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent, if there is one.
    pub discovery: Option<SocketAddr>,
    /// The address of the counter, if there is one.
    pub counter: Option<SocketAddr>,
    /// The address for administrative calls, if enabled.
    pub operator: Option<SocketAddr>,
    /// Seed of random numbers.
    pub seed: u64,
    /// Limit of open file descriptors.
    pub sockets: usize,
    /// Memory limit, MB.
    pub memory_mb: f64,
    /// The last known endpoint list, in discovery's format; null if there is none.
    pub last_known_endpoints: Value,
    /// The parsed settings object.
    pub platform: Platform,
}

impl Config {
    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file cannot be read, or a field is missing or invalid.
    pub fn read(path: &Path) -> Result<Config, ConfigError> {
        Config::parse(&Config::text(path)?)
    }

    /// Reads the file's text.
    ///
    /// # Errors
    /// The file cannot be read.
    pub fn text(path: &Path) -> Result<String, ConfigError> {
        std::fs::read_to_string(path).map_err(|e| ConfigError::Read {
            path: path.display().to_string(),
            problem: e.to_string(),
        })
    }

    /// The keys whose values differ in `new` and can change only with a restart.
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

    /// Parses the JSON text of the file.
    ///
    /// # Errors
    /// A field is missing or invalid; the error names it.
    pub fn parse(text: &str) -> Result<Config, ConfigError> {
        let value: Value =
            serde_json::from_str(text).map_err(|e| ConfigError::NotJson(e.to_string()))?;
        let root = JsonField::root(&value);
        let seed = seed(&root)?;
        let sockets = limit(&root, "sockets", DEFAULT_SOCKETS)?;
        in_range("limits.sockets", sockets, SOCKETS_RANGE, "64 to 1000000")?;
        let memory_mb = limit(&root, "memory_mb", DEFAULT_MEMORY_MB)?;
        in_range("limits.memory_mb", memory_mb, MEMORY_MB_RANGE, "1 to 1e9")?;
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

fn limit(root: &JsonField, key: &str, default: f64) -> Result<f64, ConfigError> {
    root.get("limits")
        .map_or(Ok(default), |limits| limits.number_or(key, default))
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

/// Parses an address and port; `name` is the field or environment variable, for the error.
///
/// # Errors
/// The value is not an address and port.
pub fn address_of(name: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::NotAnAddress {
        field: name.to_string(),
        value: text.to_string(),
    })
}
