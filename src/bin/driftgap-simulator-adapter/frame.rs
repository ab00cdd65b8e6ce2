//! Frames on standard input and output. An input frame has a header with the length of its records
//! and the time, followed by the records. A reply is a length followed by its records. Lengths are
//! four bytes, big-endian.

use std::io::{self, Read, Write};

/// Largest accepted frame, bytes; a longer one means that the length is corrupt.
const MAX_FRAME_BYTES: usize = 1 << 30;
/// Size of the length field, bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the time field, bytes.
const TIME_BYTES: usize = 8;

/// Why a frame cannot be read.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The input ends within a frame header, or cannot be read.
    #[error("frame {frame}, header: {source}")]
    Header {
        /// The frame's number, from 0.
        frame: u64,
        /// The cause.
        source: ReadError,
    },
    /// The length exceeds [`MAX_FRAME_BYTES`].
    #[error("frame {frame}: length of {bytes} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    TooLong {
        /// The frame's number, from 0.
        frame: u64,
        /// The length.
        bytes: usize,
    },
    /// The input ends after a frame header.
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

/// Why fewer bytes than expected were read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The input has ended.
    #[error("input ends after {read} of {expected} bytes")]
    Ended {
        /// Bytes that were read.
        read: usize,
        /// Bytes that were expected.
        expected: usize,
    },
    /// The input cannot be read.
    #[error("cannot read the input: {0}")]
    Io(#[from] io::Error),
}

/// Reads the frames of an input in order.
pub struct FrameReader<R> {
    input: R,
    records: Vec<u8>,
    /// Number of frames read so far.
    frames: u64,
}

impl<R: Read> FrameReader<R> {
    /// Creates a reader at the start of `input`.
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

    /// Reads the next frame and returns its time, s; `None` if the input ends between two frames.
    ///
    /// # Errors
    /// The input ends within the frame or cannot be read, or the frame's length is invalid.
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

/// Fills the buffer. Returns false if the input ends before the first byte.
fn read_full(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, ReadError> {
    let mut read = 0;
    while read < buffer.len() {
        match input.read(&mut buffer[read..]) {
            Ok(0) if read == 0 => return Ok(false),
            Ok(0) => {
                return Err(ReadError::Ended {
                    read,
                    expected: buffer.len(),
                })
            }
            Ok(n) => read += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e.into()),
        }
    }
    Ok(true)
}

/// Writes a reply and flushes the output.
///
/// # Errors
/// The output cannot be written.
pub fn write_reply(output: &mut impl Write, records: &[u8]) -> io::Result<()> {
    output.write_all(&(records.len() as u32).to_be_bytes())?;
    output.write_all(records)?;
    output.flush()
}
