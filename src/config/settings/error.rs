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
    /// A field of the wrong type or out of range.
    #[error("settings: {field} must be {expected}")]
    Unexpected {
        /// The field's path.
        field: String,
        /// The expected type or range.
        expected: &'static str,
    },
    /// A name that the field does not accept.
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
        /// The value.
        value: String,
        /// The accepted range.
        range: &'static str,
    },
    /// The text is not a hexadecimal number.
    #[error("{field}: the value is not a hexadecimal number")]
    NotHexadecimal {
        /// The field's path.
        field: String,
    },
    /// The text is not an address and port.
    #[error("{field}: {value:?} is not an address and port")]
    NotAnAddress {
        /// The field or variable.
        field: String,
        /// The text.
        value: String,
    },
}
