//! Errors of the settings; each names the field.

/// Settings that cannot be used; the text is one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("cannot read {path}: {problem}")]
    Read {
        /// The path of the file.
        path: String,
        /// The system's message.
        problem: String,
    },
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The settings object on its own is not JSON.
    #[error("settings: not JSON: {0}")]
    SettingsNotJson(String),
    /// A required field is missing.
    #[error("settings: {field} is missing")]
    Missing {
        /// The field's path.
        field: String,
    },
    /// The value of a field has the wrong type or is out of range.
    #[error("settings: {field} must be {expected}")]
    Unexpected {
        /// The field's path.
        field: String,
        /// The expected type or range.
        expected: &'static str,
    },
    /// The field holds an unknown name, for example of an effect.
    #[error("settings: {field}: unknown {kind} {value}")]
    UnknownName {
        /// The field's path.
        field: String,
        /// What the field names, for example an effect.
        kind: &'static str,
        /// The unknown name.
        value: String,
    },
    /// A field outside of the settings object is out of range.
    #[error("{field}: {value} is outside the accepted range {range}")]
    OutOfRange {
        /// The field's path.
        field: &'static str,
        /// The value, as text.
        value: String,
        /// The accepted range.
        range: &'static str,
    },
    /// The value of the field is not a hexadecimal number.
    #[error("{field}: the value is not a hexadecimal number")]
    NotHexadecimal {
        /// The field's path.
        field: String,
    },
    /// The value of a field or environment variable is not an address and port.
    #[error("{field}: {value:?} is not an address and port")]
    NotAnAddress {
        /// The path of the field, or the name of the environment variable.
        field: String,
        /// The text that was found.
        value: String,
    },
}
