//! The reading end of a connection: frames within their bounds of size and time. A peer that sends nothing, or a frame
//! that trickles in, would occupy one of the bounded number of links for ever.

use super::error::LinkError;
use super::PEER_TIMEOUT;
use driftgap_group::{read_frame, Frame, MAX_FRAME, MAX_HELLO};
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// A frame has so long in all.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Memory beyond this is given back once a large frame is taken, bytes.
const RETAINED_BUFFER: usize = 64 << 10;
/// Before the body of a frame: its length and its checksum.
const HEADER_BYTES: usize = 8;
const LENGTH_BYTES: usize = 4;

/// Reads the frames of one connection.
#[derive(Default)]
pub(super) struct FrameReader {
    bytes: Vec<u8>,
    /// When the first bytes of a frame that is not whole yet came.
    frame_began: Option<Instant>,
}

impl FrameReader {
    /// The next frame; none: the connection has ended where it may.
    ///
    /// # Errors
    /// Bytes that are no frame, a frame that does not end, or silence.
    pub(super) async fn next(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<Frame>, LinkError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(frame));
            }
            self.judge_time()?;
            match timeout(PEER_TIMEOUT, reader.read_buf(&mut self.bytes)).await {
                Ok(Ok(0)) if self.bytes.is_empty() => return Ok(None),
                Ok(Ok(0)) => return Err(LinkError::TornFrame),
                Ok(Ok(_)) => {}
                // A reset: the other side connects again.
                Ok(Err(_)) => return Ok(None),
                Err(_) => return Err(LinkError::ReadTimeout),
            }
        }
    }

    fn take_frame(&mut self) -> Result<Option<Frame>, LinkError> {
        let Some((frame, used)) = read_frame(&self.bytes, MAX_FRAME)? else {
            return Ok(None);
        };
        self.bytes.drain(..used);
        self.frame_began = None;
        if self.bytes.is_empty() && self.bytes.capacity() > RETAINED_BUFFER {
            self.bytes = Vec::new();
        }
        Ok(Some(frame))
    }

    fn judge_time(&mut self) -> Result<(), LinkError> {
        if self.bytes.is_empty() {
            return Ok(());
        }
        let began = self.frame_began.get_or_insert_with(Instant::now);
        if began.elapsed() > FRAME_TIMEOUT {
            return Err(LinkError::FrameTimeout);
        }
        Ok(())
    }
}

/// The first frame of a connection, and no byte behind it: that is the link's. None: there is none.
pub(super) async fn read_first<T: DeserializeOwned>(stream: &mut TcpStream) -> Option<T> {
    let mut bytes = Vec::with_capacity(64);
    loop {
        match read_frame(&bytes, MAX_HELLO) {
            Ok(Some((value, used))) if used == bytes.len() => return Some(value),
            Ok(None) => {}
            _ => return None,
        }
        let mut rest = (&mut *stream).take(missing_bytes(&bytes));
        if rest.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

/// How many bytes the frame lacks at least, as far as its length is known.
fn missing_bytes(bytes: &[u8]) -> u64 {
    let frame_bytes = match bytes.first_chunk::<LENGTH_BYTES>() {
        Some(length) if bytes.len() >= HEADER_BYTES => {
            HEADER_BYTES + u32::from_le_bytes(*length) as usize
        }
        _ => HEADER_BYTES,
    };
    (frame_bytes - bytes.len()) as u64
}
