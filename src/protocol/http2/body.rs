//! Bodies on an HTTP/2 stream: read completely, written completely, or forwarded while they arrive.

use crate::buffer::body_stream::BodyReceiver;
use crate::protocol::resp::MAX_COMPLETE_BODY_BYTES;
use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use std::future::poll_fn;
use std::time::Duration;
use tokio::time::timeout;

/// Most bytes that are passed to the stream at once.
const MAX_CHUNK_BYTES: usize = 8 * 1024;

/// Waits for the next chunk of a body, and calls `on_stall` whenever nothing has arrived for
/// `stall_timeout`. Returns none at the end of the stream.
pub async fn next_chunk(
    stream: &mut RecvStream,
    stall_timeout: Duration,
    on_stall: impl Fn(),
) -> Option<Result<Bytes, h2::Error>> {
    loop {
        match timeout(stall_timeout, stream.data()).await {
            Ok(chunk) => return chunk,
            Err(_) => on_stall(),
        }
    }
}

/// Reads a complete body, and calls `on_stall` whenever nothing has arrived for `stall_timeout`.
/// Returns none if the stream ended early or the body is longer than [`MAX_COMPLETE_BODY_BYTES`].
pub async fn collect(
    stream: &mut RecvStream,
    stall_timeout: Duration,
    on_stall: impl Fn(),
) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(chunk) = next_chunk(stream, stall_timeout, &on_stall).await {
        let chunk = chunk.ok()?;
        if body.len() + chunk.len() > MAX_COMPLETE_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
        stream.flow_control().release_capacity(chunk.len()).ok()?;
    }
    Some(body)
}

/// Sends a body while it arrives, as the stream's flow-control window allows. Returns false if the
/// sender or the stream has ended, or if the client read nothing for `client_timeout`.
pub async fn send_streaming_body(
    stream: &mut SendStream<Bytes>,
    body: &BodyReceiver,
    client_timeout: Duration,
) -> bool {
    while !body.is_complete() {
        if body.is_broken_off() {
            return false;
        }
        let ready_bytes = body.buffer().first_slice().len();
        if ready_bytes == 0 {
            body.wait_for_bytes().await;
            continue;
        }
        let Ok(Some(capacity)) = timeout(client_timeout, capacity(stream, ready_bytes)).await
        else {
            return false;
        };
        let chunk = Bytes::copy_from_slice(&body.buffer().first_slice()[..capacity]);
        body.consume(capacity);
        if !chunk.is_empty() && stream.send_data(chunk, false).is_err() {
            return false;
        }
    }
    stream.send_data(Bytes::new(), true).is_ok()
}

/// The result of sending a complete body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodySent {
    /// All bytes were passed to the stream.
    Complete,
    /// The stream has ended.
    StreamEnded,
    /// The client read nothing in time.
    Stalled,
}

/// Sends a complete body and ends the stream. Gives up once the client has read nothing for
/// `client_timeout`.
pub async fn send_complete_body(
    stream: &mut SendStream<Bytes>,
    mut body: Bytes,
    client_timeout: Duration,
) -> BodySent {
    while !body.is_empty() {
        match timeout(client_timeout, send_chunk(stream, &mut body, true)).await {
            Ok(true) => {}
            Ok(false) => return BodySent::StreamEnded,
            Err(_) => return BodySent::Stalled,
        }
    }
    BodySent::Complete
}

/// Sends a body, or a part of one, in pieces as the stream's flow-control window allows. `last` ends
/// the stream after these bytes; an empty body sends nothing. Returns false if the stream has ended.
pub async fn send_body(stream: &mut SendStream<Bytes>, mut body: Bytes, last: bool) -> bool {
    while !body.is_empty() {
        if !send_chunk(stream, &mut body, last).await {
            return false;
        }
    }
    true
}

/// Sends the first bytes of a body. Returns false if the stream has ended.
async fn send_chunk(stream: &mut SendStream<Bytes>, body: &mut Bytes, last: bool) -> bool {
    let Some(capacity) = capacity(stream, body.len()).await else {
        return false;
    };
    // A copy: a slice would keep the memory of the whole body until its last byte is sent.
    let chunk = Bytes::copy_from_slice(&body[..capacity]);
    body.advance(capacity);
    chunk.is_empty() || stream.send_data(chunk, last && body.is_empty()).is_ok()
}

/// Waits until the stream takes bytes, and returns how many of `wanted`. Returns none if the stream
/// has ended.
async fn capacity(stream: &mut SendStream<Bytes>, wanted: usize) -> Option<usize> {
    let wanted = wanted.min(MAX_CHUNK_BYTES);
    stream.reserve_capacity(wanted);
    let capacity = poll_fn(|cx| stream.poll_capacity(cx)).await?.ok()?;
    Some(capacity.min(wanted))
}
