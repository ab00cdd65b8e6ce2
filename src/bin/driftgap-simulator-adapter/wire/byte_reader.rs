//! Values of fixed size, big-endian, one behind the other.

use crate::wire::WireError;

/// What errors name as long as a record's kind is not known.
const UNKNOWN_RECORD: &str = "record";

/// A reader over the bytes of one frame.
pub(super) struct ByteReader<'a> {
    bytes: &'a [u8],
    position: usize,
    /// The record being read, for errors.
    record: &'static str,
}

impl<'a> ByteReader<'a> {
    /// Reads `bytes` from their start.
    pub(super) fn new(bytes: &'a [u8]) -> Self {
        ByteReader {
            bytes,
            position: 0,
            record: UNKNOWN_RECORD,
        }
    }

    /// How many bytes have been read.
    pub(super) fn position(&self) -> usize {
        self.position
    }

    /// Whether all bytes have been read.
    pub(super) fn is_at_end(&self) -> bool {
        self.position == self.bytes.len()
    }

    /// A record of unknown kind begins.
    pub(super) fn begin_record(&mut self) {
        self.record = UNKNOWN_RECORD;
    }

    /// The record's kind is known.
    pub(super) fn name_record(&mut self, name: &'static str) {
        self.record = name;
    }

    /// An error at the code that was read last.
    pub(super) fn unknown_value(&self, value: &'static str, code: u8) -> WireError {
        WireError::UnknownValue {
            record: self.record,
            position: self.position - 1,
            value,
            code,
        }
    }

    /// The next bytes.
    pub(super) fn take(&mut self, wanted: usize) -> Result<&'a [u8], WireError> {
        let left = self.bytes.len() - self.position;
        if wanted > left {
            return Err(WireError::Truncated {
                record: self.record,
                position: self.position,
                wanted,
                left,
            });
        }
        let start = self.position;
        self.position += wanted;
        Ok(&self.bytes[start..self.position])
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    /// An unsigned byte.
    pub(super) fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    /// An unsigned number of two bytes.
    pub(super) fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// An unsigned number of four bytes.
    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    /// An unsigned number of eight bytes.
    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    /// A number of four bytes.
    pub(super) fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }

    /// A number of eight bytes; times, in seconds, are written so.
    pub(super) fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array()?))
    }
}
