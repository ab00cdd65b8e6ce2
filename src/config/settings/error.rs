//! Settings that cannot be used: each error names the field.

/// Settings that cannot be used; the text is one line that names the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{path}: {problem}")]
    Read {
        /// The file.
        path: String,
        /// What the system says.
        problem: String,
    },
    /// The file is not JSON.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The settings object alone is not JSON.
    #[error("settings: not JSON: {0}")]
    SettingsNotJson(String),
    /// A field that is required.
    #[error("settings: {field} is missing")]
    Missing {
        /// Its path.
        field: String,
    },
    /// A field of another type, or beyond its range.
    #[error("settings: {field} is not {expected}")]
    Unexpected {
        /// Its path.
        field: String,
        /// Its type or its range.
        expected: &'static str,
    },
    /// A name that is none of those that the field may have.
    #[error("settings: {field}: unknown {kind} {value}")]
    UnknownName {
        /// Its path.
        field: String,
        /// What it names.
        kind: &'static str,
        /// What stands there.
        value: String,
    },
    /// A field of the file's own that is beyond its range.
    #[error("{field}: {value} is not from {range}")]
    OutOfRange {
        /// Its path.
        field: &'static str,
        /// What stands there.
        value: String,
        /// The range.
        range: &'static str,
    },
    /// A text that is no hexadecimal number.
    #[error("{field}: not a hexadecimal number")]
    NotHexadecimal {
        /// Its path.
        field: String,
    },
    /// A text that is no address and port.
    #[error("{field}: {value:?} is not an address and port")]
    NotAnAddress {
        /// The field or variable.
        field: String,
        /// What stands there.
        value: String,
    },
}
