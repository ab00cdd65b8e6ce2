//! Errors of decoding a frame.

/// Bytes that are not a valid record. Positions are byte offsets from the start of the frame's
/// records.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The frame ends within a record.
    #[error("{record} at byte {position}: {expected} more bytes expected, {left} left")]
    Truncated {
        /// The record's name on the wire.
        record: &'static str,
        /// Offset of the incomplete value.
        position: usize,
        /// Size of the value, bytes.
        expected: usize,
        /// Bytes left in the frame.
        left: usize,
    },
    /// An unknown code of a record kind.
    #[error("record at byte {position}: unknown event code {code}")]
    UnknownEvent {
        /// Offset of the record.
        position: usize,
        /// The code.
        code: u8,
    },
    /// An unknown code of a value.
    #[error("{record} at byte {position}: unknown {value} {code}")]
    UnknownValue {
        /// The record's name on the wire.
        record: &'static str,
        /// Offset of the code.
        position: usize,
        /// Name of the value.
        value: &'static str,
        /// The code.
        code: u8,
    },
    /// Settings that are not UTF-8.
    #[error("Born record at byte {position}: setup is not UTF-8 text")]
    SettingsNotText {
        /// Offset of the record.
        position: usize,
    },
}
