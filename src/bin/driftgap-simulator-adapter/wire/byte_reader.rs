//! Reads consecutive big-endian values of fixed size.

use crate::wire::WireError;

/// Name of the record in errors while its kind is not yet known.
const UNKNOWN_RECORD: &str = "record";

/// A reader of the bytes of one frame.
pub(super) struct ByteReader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// Name of the current record, for errors.
    record: &'static str,
}

impl<'a> ByteReader<'a> {
    /// Creates a reader at the start of `bytes`.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        ByteReader {
            bytes,
            position: 0,
            record: UNKNOWN_RECORD,
        }
    }

    /// Number of bytes read so far.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Whether all bytes have been read.
    pub(super) fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// Marks the start of a record whose kind is not yet known.
    pub(super) fn begin_record(&mut self) {
        self.record = UNKNOWN_RECORD;
    }

    /// Sets the name of the current record, for errors.
    pub(super) fn name_record(&mut self, name: &'static str) {
        self.record = name;
    }

    /// An error for an unknown code, which was the last byte read.
    pub(super) fn unknown_value(&self, value: &'static str, code: u8) -> WireError {
        WireError::UnknownValue {
            record: self.record,
            position: self.position - 1,
            value,
            code,
        }
    }

    /// Reads the next `expected` bytes.
    pub(super) fn take(&mut self, expected: usize) -> Result<&'a [u8], WireError> {
        let left = self.bytes.len() - self.position;
        if expected > left {
            return Err(WireError::Truncated {
                record: self.record,
                position: self.position,
                expected,
                left,
            });
        }
        let start = self.position;
        self.position += expected;
        Ok(&self.bytes[start..self.position])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    /// Reads an unsigned 8-bit integer.
    pub(super) fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    /// Reads an unsigned 16-bit integer.
    pub(super) fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads an unsigned 32-bit integer.
    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// Reads an unsigned 64-bit integer.
    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// Reads a 32-bit floating-point number.
    pub(super) fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }

    /// Reads a 64-bit floating-point number; times, in seconds, have this format.
    pub(super) fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array()?))
    }
}
