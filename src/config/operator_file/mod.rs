//! The operator's file: what an operator sets up beyond what the platform tells an ingress. It owns the names
//! of its fields and the one-line message on a wrong one. It must never be needed on the platform, and
//! never repeat a setting of the platform's.

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

/// Streams on a connection, and connections, that a file may allow.
const HTTP2_BOUND: RangeInclusive<usize> = 1..=10_000;
/// Shares of a list, as a part of 1.
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
/// How long a suspicious list may have to wait, ms: an hour.
const CONFIRM_AFTER_MS: RangeInclusive<f64> = 0.0..=3.6e6;
/// Longest text that a script may hold, bytes: 1 MiB.
const SCRIPT_SIZE: RangeInclusive<usize> = 1..=1 << 20;

/// The file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorFile {
    /// The HTTP/2 frontend; off where it is absent.
    pub http2: Option<Http2>,
    /// Endpoints beside those that discovery names.
    pub inventory: Option<InventorySettings>,
    /// The hook before the decision.
    pub plugin: Option<PluginSettings>,
    /// Rules: in a file of their own, or here.
    pub routes: Option<Routes>,
    /// The group of ingresses; off where it is absent.
    pub group: Option<GroupSettings>,
    /// The file itself.
    #[serde(skip)]
    pub path: PathBuf,
    /// Where relative paths count from.
    #[serde(skip)]
    pub folder: PathBuf,
}

/// Where the rules are. Their form is judged where they are read, with the place of every fault.
#[derive(Clone, Debug, Deserialize)]
pub struct Routes {
    /// A file of their own.
    pub file: Option<PathBuf>,
    /// What stands here besides.
    #[serde(flatten)]
    pub here: toml::Table,
}

impl OperatorFile {
    /// The file's content from its text.
    ///
    /// # Errors
    /// The first field that makes no sense.
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

    /// Reads the file.
    ///
    /// # Errors
    /// It cannot be read, or a field makes no sense.
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
    if !HTTP2_BOUND.contains(&(http2.streams as usize)) {
        return Err(OperatorFileError::value("http2.streams", problem));
    }
    if !HTTP2_BOUND.contains(&http2.connections) {
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
        if !SHARE.contains(&share) {
            return Err(OperatorFileError::value(field, "must be from 0 to 1"));
        }
    }
    if !CONFIRM_AFTER_MS.contains(&inventory.confirm_after_ms) {
        return Err(OperatorFileError::value(
            "inventory.confirm_after_ms",
            "must be from 0 to 3600000",
        ));
    }
    Ok(())
}

fn check_routes(routes: &Routes) -> Result<(), OperatorFileError> {
    if routes.file.is_some() && !routes.here.is_empty() {
        return Err(OperatorFileError::value(
            "routes.file",
            "stands beside rules: they are in a file of their own or here",
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
    if !SCRIPT_SIZE.contains(&plugin.size) {
        return Err(OperatorFileError::value(
            "plugin.size",
            "must be from 1 to 1048576",
        ));
    }
    Ok(())
}

#[cfg(test)]
mod tests;
