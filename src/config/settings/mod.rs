//! The one parser of the settings object: the simulator's first message and the platform's `EDGE_CONFIG`
//! carry the same one. It owns the names and units of that object and the messages on what is wrong with
//! it. It must never decide anything, fill in what is required, or read anything but the file it is given.

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

/// The decision module's settings from the JSON text of the settings object, as the simulator sends it.
///
/// # Errors
/// The field that is missing or makes no sense.
pub fn settings(text: &str) -> Result<Settings, ConfigError> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| ConfigError::SettingsNotJson(e.to_string()))?;
    decision_settings::decision_settings(&JsonField::root(&value))
}
