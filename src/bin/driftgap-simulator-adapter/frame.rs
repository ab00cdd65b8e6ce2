//! Frames on standard input and output: a header of the records' length and the time, the records, and a reply of its
//! length and its records. Lengths are four bytes, big-endian.

use std::io::{self, Read, Write};

/// Largest frame that is read, in bytes; a longer one is a broken length.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Bytes of the length.
const LENGTH_BYTES: usize = 4;
/// Bytes of the time.
const TIME_BYTES: usize = 8;

/// Why no frame can be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input ends within a frame's header, or cannot be read.
    #[error("frame {frame}, header: {source}")]
    Header {
        /// The frame's number, from 0.
        frame: u64,
        /// What happened.
        source: ReadError,
    },
    /// A length that is broken.
    #[error("frame {frame}: a length of {bytes} bytes")]
    TooLong {
        /// The frame's number, from 0.
        frame: u64,
        /// The length.
        bytes: usize,
    },
    /// The input ends behind a frame's header.
    #[error("frame {frame}: input ends before its {bytes} bytes")]
    NoRecords {
        /// The frame's number, from 0.
        frame: u64,
        /// The length.
        bytes: usize,
    },
    /// The input ends within a frame's records, or cannot be read.
    #[error(transparent)]
    Records(ReadError),
}

/// Why bytes are missing.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The input has ended.
    #[error("input ends after {read} of {wanted} bytes")]
    Ended {
        /// Bytes that came.
        read: usize,
        /// Bytes that were wanted.
        wanted: usize,
    },
    /// The input cannot be read.
    #[error("cannot read: {0}")]
    Io(#[from] io::Error),
}

/// Reads frames, one after the other.
pub struct FrameReader<R> {
    input: R,
    records: Vec<u8>,
    /// Frames read so far.
    frames: u64,
}

impl<R: Read> FrameReader<R> {
    /// Reads `input` from its start.
    pub fn new(input: R) -> FrameReader<R> {
        FrameReader {
            input,
            records: Vec::new(),
            frames: 0,
        }
    }

    /// The number of the frame that was read last, from 0.
    pub fn frame_number(&self) -> u64 {
        self.frames.saturating_sub(1)
    }

    /// The records of the frame that was read last.
    pub fn records(&self) -> &[u8] {
        &self.records
    }

    /// Reads the next frame and returns its time, s; none: the input has ended in order.
    ///
    /// # Errors
    /// The input ends within the frame, cannot be read, or the frame's length is broken.
    pub fn next_frame(&mut self) -> Result<Option<f64>, FrameError> {
        let frame = self.frames;
        let mut header = [0; LENGTH_BYTES + TIME_BYTES];
        let has_header = read_full(&mut self.input, &mut header)
            .map_err(|source| FrameError::Header { frame, source })?;
        if !has_header {
            return Ok(None);
        }
        let (length, time) = header.split_at(LENGTH_BYTES);
        let bytes = length
            .iter()
            .fold(0, |length, byte| length << 8 | usize::from(*byte));
        if bytes > MAX_FRAME_BYTES {
            return Err(FrameError::TooLong { frame, bytes });
        }
        self.records.resize(bytes, 0);
        let has_records = bytes == 0
            || read_full(&mut self.input, &mut self.records).map_err(FrameError::Records)?;
        if !has_records {
            return Err(FrameError::NoRecords { frame, bytes });
        }
        self.frames += 1;
        let mut time_bytes = [0; TIME_BYTES];
        time_bytes.copy_from_slice(time);
        Ok(Some(f64::from_be_bytes(time_bytes)))
    }
}

/// Fills the buffer; false: the input had ended before the first byte.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, ReadError> {
    let mut read = 0;
    while read < buffer.len() {
        match input.read(&mut buffer[read..]) {
            Ok(0) if read == 0 => return Ok(false),
            Ok(0) => {
                return Err(ReadError::Ended {
                    read,
                    wanted: buffer.len(),
                })
            }
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
    }
    Ok(true)
}

/// Writes a reply at once.
///
/// # Errors
/// The output cannot be written.
pub fn write_reply(output: &mut impl Write, records: &[u8]) -> io::Result<()> {
    output.write_all(&(records.len() as u32).to_be_bytes())?;
    output.write_all(records)?;
    output.flush()
}
