//! What the environment says beside the arguments.

use crate::config::settings::{address_of, Config, ConfigError};
use std::env::VarError;
use std::net::SocketAddr;

/// A variable that cannot be used; the text names it.
#[derive(Debug, thiserror::Error)]
pub enum EnvironmentError {
    /// Its value is no text.
    #[error("{0}: not text")]
    NotText(&'static str),
    /// Its value is no address.
    #[error("{0}")]
    Address(#[from] ConfigError),
}

/// A variable of the environment; none: it is not set, or empty.
///
/// # Errors
/// Its value is no text.
pub fn variable(name: &'static str) -> Result<Option<String>, EnvironmentError> {
    match std::env::var(name) {
        Ok(value) => Ok(Some(value).filter(|value| !value.is_empty())),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(_)) => Err(EnvironmentError::NotText(name)),
    }
}

/// Where the ingress of this configuration answers staff's calls. `EDGE_OPERATOR` counts more than the configuration:
/// the second of two processes with one configuration needs an address of its own.
///
/// # Errors
/// `EDGE_OPERATOR` is no address.
pub fn admin_address(config: &Config) -> Result<Option<SocketAddr>, EnvironmentError> {
    const NAME: &str = "EDGE_OPERATOR";
    match variable(NAME)? {
        Some(address) => Ok(Some(address_of(NAME, &address)?)),
        None => Ok(config.operator),
    }
}
