//! What is wrong with a frame.

/// Bytes that are no record. Positions count bytes from the start of the frame's records.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame ends within a record.
    #[error("{record} at byte {position}: {wanted} more bytes wanted, {left} left")]
    Truncated {
        /// The record's name on the wire.
        record: &'static str,
        /// Where the missing value begins.
        position: usize,
        /// Bytes of the value.
        wanted: usize,
        /// Bytes that are there.
        left: usize,
    },
    /// A code that is no event's.
    #[error("record at byte {position}: unknown event code {code}")]
    UnknownEvent {
        /// Where the record begins.
        position: usize,
        /// The code.
        code: u8,
    },
    /// A code that is none of a value's.
    #[error("{record} at byte {position}: unknown {value} {code}")]
    UnknownValue {
        /// The record's name on the wire.
        record: &'static str,
        /// Where the code is.
        position: usize,
        /// What the code stands for.
        value: &'static str,
        /// The code.
        code: u8,
    },
    /// Settings that are not UTF-8.
    #[error("Born at byte {position}: setup is not text")]
    SettingsNotText {
        /// Where the record begins.
        position: usize,
    },
}
