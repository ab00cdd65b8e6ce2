//! The `inventory` section of the operator's file.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Share of a list that the next one may omit or take out of service without confirmation. Larger
/// changes are rarely intended.
const DEFAULT_SHARE: f64 = 0.3;
/// How long a suspicious list waits until it is read again, ms: longer than a tool takes to finish
/// writing a file.
const DEFAULT_CONFIRM_AFTER_MS: f64 = 5000.0;

/// The inventory's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventorySettings {
    /// Path of a CSV file (`.csv`), a YAML or JSON file, or a folder of such files.
    pub file: PathBuf,
    /// Maps names of columns or variables to inventory fields.
    #[serde(default)]
    pub columns: BTreeMap<String, String>,
    /// Share of the last list that a new one may omit without confirmation, 0 to 1; 0.3 by default.
    #[serde(default = "default_share")]
    pub shorter: f64,
    /// Share of the last list's serving hosts that a new one may take out of service without
    /// confirmation, 0 to 1; 0.3 by default.
    #[serde(default = "default_share")]
    pub taken_out: f64,
    /// A list that needs confirmation is applied when it is read again, unchanged, after this long,
    /// ms; 5000 by default.
    #[serde(default = "default_confirm_after_ms")]
    pub confirm_after_ms: f64,
}

fn default_share() -> f64 {
    DEFAULT_SHARE
}

fn default_confirm_after_ms() -> f64 {
    DEFAULT_CONFIRM_AFTER_MS
}
