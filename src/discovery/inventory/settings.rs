//! The inventory's settings in the operator's file.

use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::PathBuf;

/// Share of a list that its successor may lack or take out of service unconfirmed: more is rarely meant at once.
const DEFAULT_SHARE: f64 = 0.3;
/// How long a suspicious list waits to be read again, ms: longer than a tool takes to write the rest of a file.
const DEFAULT_CONFIRM_AFTER_MS: f64 = 5000.0;

/// The inventory's settings.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InventorySettings {
    /// CSV (`.csv`), else YAML or JSON; or a folder of such files.
    pub file: PathBuf,
    /// Names of columns or variables, and the fields that they are.
    #[serde(default)]
    pub columns: BTreeMap<String, String>,
    /// Share of the last list that a new one may lack without being confirmed, 0 to 1; 0.3 by default.
    #[serde(default = "default_share")]
    pub shorter: f64,
    /// Share of the last list's serving hosts that a new one may take out of service without being confirmed, 0 to 1;
    /// 0.3 by default.
    #[serde(default = "default_share")]
    pub taken_out: f64,
    /// A list that must be confirmed holds once it is read again, unchanged, after so long, ms; 5000 by default.
    #[serde(default = "default_confirm_after_ms")]
    pub confirm_after_ms: f64,
}

fn default_share() -> f64 {
    DEFAULT_SHARE
}

fn default_confirm_after_ms() -> f64 {
    DEFAULT_CONFIRM_AFTER_MS
}
