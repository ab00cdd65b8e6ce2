//! Parser of the settings object, which the simulator's first message and the platform's file
//! (`EDGE_CONFIG`) both contain. It defines the names and units of the fields and the errors.
//!
//! Required fields have no defaults, and the parser reads only the given file.

mod config_file;
mod decision_settings;
mod error;
mod json_field;
mod platform;

pub use config_file::{address_of, Config};
pub use error::ConfigError;
pub use platform::Platform;

use crate::decision::Settings;
use json_field::JsonField;
use serde_json::Value;

/// Parses the decision module's settings from the JSON text of the settings object, as the
/// simulator sends it.
///
/// # Errors
/// The field that is missing or invalid.
pub fn settings(text: &str) -> Result<Settings, ConfigError> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| ConfigError::SettingsNotJson(e.to_string()))?;
    decision_settings::decision_settings(&JsonField::root(&value))
}
