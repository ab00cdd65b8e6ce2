//! The reading end of a connection: reads frames within bounds of size and time. Without the time
//! bound a peer that sends nothing, or a frame byte by byte, would occupy one of the limited number
//! of links forever.

use super::error::LinkError;
use super::PEER_TIMEOUT;
use driftgap_group::{read_frame, Frame, MAX_FRAME, MAX_HELLO};
use serde::de::DeserializeOwned;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, Instant};

/// Most time from the first bytes of a frame to its end.
const FRAME_TIMEOUT: Duration = Duration::from_secs(10);
/// Buffer capacity that is kept after a large frame, bytes; a larger buffer is freed.
const RETAINED_BUFFER: usize = 64 << 10;
/// The header of a frame: the length and the checksum of the body.
const HEADER_BYTES: usize = 8;
const LENGTH_BYTES: usize = 4;

/// Reads the frames of one connection.
#[derive(Default)]
pub(super) struct FrameReader {
    bytes: Vec<u8>,
    /// When the first bytes of the incomplete frame in `bytes` arrived.
    frame_began: Option<Instant>,
}

impl FrameReader {
    /// Returns the next frame, or `None` if the connection has ended between two frames.
    ///
    /// # Errors
    /// Returns an error for an invalid frame, a frame that takes too long, or a read timeout.
    pub(super) async fn next(
        &mut self,
        reader: &mut (impl AsyncRead + Unpin),
    ) -> Result<Option<Frame>, LinkError> {
        loop {
            if let Some(frame) = self.take_frame()? {
                return Ok(Some(frame));
            }
            self.check_frame_timeout()?;
            match timeout(PEER_TIMEOUT, reader.read_buf(&mut self.bytes)).await {
                Ok(Ok(0)) if self.bytes.is_empty() => return Ok(None),
                Ok(Ok(0)) => return Err(LinkError::TornFrame),
                Ok(Ok(_)) => {}
                // A connection reset counts as an end: the peer reconnects.
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

    fn check_frame_timeout(&mut self) -> Result<(), LinkError> {
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

/// Reads the first frame of a connection and not a byte more, since the following bytes belong to
/// the link. `None` if there is no valid frame.
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

/// Returns how many bytes of the frame are missing: up to the end of the header while its length is
/// unknown.
fn missing_bytes(bytes: &[u8]) -> u64 {
    let frame_bytes = match bytes.first_chunk::<LENGTH_BYTES>() {
        Some(length) if bytes.len() >= HEADER_BYTES => {
            HEADER_BYTES + u32::from_le_bytes(*length) as usize
        }
        _ => HEADER_BYTES,
    };
    (frame_bytes - bytes.len()) as u64
}
