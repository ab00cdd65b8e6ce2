//! The operator's file (TOML): settings in addition to the platform's. Each error is one line that
//! names the field.
//!
//! The file is optional, and does not repeat settings of the platform's file.

mod error;
mod http2;

pub use error::OperatorFileError;
pub use http2::{Http2, Http2Limits};

use crate::discovery::inventory::InventorySettings;
use crate::group::GroupSettings;
use crate::plugin::PluginSettings;
use serde::Deserialize;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};

/// Accepted limits of streams on a connection and of connections.
const HTTP2_RANGE: RangeInclusive<usize> = 1..=10_000;
/// Accepted shares of a list.
const SHARE_RANGE: RangeInclusive<f64> = 0.0..=1.0;
/// Accepted waits for the confirmation of a suspicious list, ms: up to an hour.
const CONFIRM_AFTER_RANGE_MS: RangeInclusive<f64> = 0.0..=3.6e6;
/// Accepted sizes of the longest string in a script, bytes: up to 1 MiB.
const SCRIPT_SIZE_RANGE: RangeInclusive<usize> = 1..=1 << 20;

/// The content of the operator's file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// The HTTP/2 frontend; disabled if absent.
    pub http2: Option<Http2>,
    /// Endpoints in addition to those of discovery.
    pub inventory: Option<InventorySettings>,
    /// The script that runs before the decision.
    pub plugin: Option<PluginSettings>,
    /// Routing rules: in a separate file, or inline.
    pub routes: Option<Routes>,
    /// The group of ingresses; disabled if absent.
    pub group: Option<GroupSettings>,
    /// The path of this file.
    #[serde(skip)]
    pub path: PathBuf,
    /// The folder against which relative paths are resolved.
    #[serde(skip)]
    pub folder: PathBuf,
}

/// The location of the routing rules. The rules are parsed where they are loaded, which reports the
/// position of each fault.
#[derive(Clone, Debug, Deserialize)]
pub struct Routes {
    /// The path of a separate file.
    pub file: Option<PathBuf>,
    /// Rules in this file.
    #[serde(flatten)]
    pub inline: toml::Table,
}

impl OperatorFile {
    /// Parses the file's text.
    ///
    /// # Errors
    /// The first field that is invalid.
    pub fn parse(text: &str) -> Result<OperatorFile, OperatorFileError> {
        let value =
            toml::Deserializer::parse(text).map_err(|e| OperatorFileError::syntax(&e, text))?;
        let operator: OperatorFile = serde_path_to_error::deserialize(value)
            .map_err(|e| OperatorFileError::field(&e, text))?;
        operator.http2.as_ref().map_or(Ok(()), check_http2)?;
        operator
            .inventory
            .as_ref()
            .map_or(Ok(()), check_inventory)?;
        operator.routes.as_ref().map_or(Ok(()), check_routes)?;
        operator.group.as_ref().map_or(Ok(()), check_group)?;
        operator.plugin.as_ref().map_or(Ok(()), check_plugin)?;
        Ok(operator)
    }

    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file cannot be read, or a field is invalid.
    pub fn read(path: &Path) -> Result<OperatorFile, OperatorFileError> {
        let text =
            std::fs::read_to_string(path).map_err(|e| OperatorFileError::Read(e.to_string()))?;
        let operator = OperatorFile::parse(&text)?;
        let folder = path.parent().unwrap_or(Path::new("")).to_path_buf();
        Ok(OperatorFile {
            folder,
            path: path.to_path_buf(),
            ..operator
        })
    }
}

fn check_http2(http2: &Http2) -> Result<(), OperatorFileError> {
    let problem = "must be from 1 to 10000";
    if !HTTP2_RANGE.contains(&(http2.streams as usize)) {
        return Err(OperatorFileError::value("http2.streams", problem));
    }
    if !HTTP2_RANGE.contains(&http2.connections) {
        return Err(OperatorFileError::value("http2.connections", problem));
    }
    Ok(())
}

fn check_inventory(inventory: &InventorySettings) -> Result<(), OperatorFileError> {
    let shares = [
        ("inventory.shorter", inventory.shorter),
        ("inventory.taken_out", inventory.taken_out),
    ];
    for (field, share) in shares {
        if !SHARE_RANGE.contains(&share) {
            return Err(OperatorFileError::value(field, "must be from 0 to 1"));
        }
    }
    if !CONFIRM_AFTER_RANGE_MS.contains(&inventory.confirm_after_ms) {
        return Err(OperatorFileError::value(
            "inventory.confirm_after_ms",
            "must be from 0 to 3600000",
        ));
    }
    Ok(())
}

fn check_routes(routes: &Routes) -> Result<(), OperatorFileError> {
    if routes.file.is_some() && !routes.inline.is_empty() {
        return Err(OperatorFileError::value(
            "routes.file",
            "cannot be combined with inline rules: use either a separate file or inline rules",
        ));
    }
    Ok(())
}

fn check_group(group: &GroupSettings) -> Result<(), OperatorFileError> {
    group
        .validate()
        .map_err(|(field, problem)| OperatorFileError::value(field, &problem))
}

fn check_plugin(plugin: &PluginSettings) -> Result<(), OperatorFileError> {
    if plugin.operations == 0 {
        return Err(OperatorFileError::value(
            "plugin.operations",
            "must be above 0",
        ));
    }
    if !SCRIPT_SIZE_RANGE.contains(&plugin.size) {
        return Err(OperatorFileError::value(
            "plugin.size",
            "must be from 1 to 1048576",
        ));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
