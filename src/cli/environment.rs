//! Environment variables that are not arguments of the command line.

use crate::config::settings::{address_of, Config, ConfigError};
use std::env::VarError;
use std::net::SocketAddr;

/// An environment variable that cannot be used; the text names it.
#[derive(Debug, thiserror::Error)]
pub enum EnvironmentError {
    /// The value is not valid Unicode.
    #[error("{0}: the value is not valid Unicode text")]
    NotText(&'static str),
    /// The value is not an address.
    #[error("{0}")]
    Address(#[from] ConfigError),
}

/// The value of an environment variable; `None` if it is unset or empty.
///
/// # Errors
/// The value is not valid Unicode.
pub fn variable(name: &'static str) -> Result<Option<String>, EnvironmentError> {
    match std::env::var(name) {
        Ok(value) => Ok(Some(value).filter(|value| !value.is_empty())),
        Err(VarError::NotPresent) => Ok(None),
        Err(VarError::NotUnicode(_)) => Err(EnvironmentError::NotText(name)),
    }
}

/// The address at which the ingress of this configuration answers administrative calls.
/// `EDGE_OPERATOR` overrides the configuration: if two processes share one configuration, the
/// second needs an address of its own.
///
/// # Errors
/// `EDGE_OPERATOR` is not an address.
pub fn admin_address(config: &Config) -> Result<Option<SocketAddr>, EnvironmentError> {
    const NAME: &str = "EDGE_OPERATOR";
    match variable(NAME)? {
        Some(address) => Ok(Some(address_of(NAME, &address)?)),
        None => Ok(config.operator),
    }
}
