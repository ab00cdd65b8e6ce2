//! Bodies on an HTTP/2 stream: read whole, written whole, and forwarded while they come.

use crate::buffer::body_stream::BodyReceiver;
use crate::protocol::resp::MAX_COMPLETE_BODY_BYTES;
use bytes::Bytes;
use h2::{RecvStream, SendStream};
use std::future::poll_fn;
use std::time::Duration;
use tokio::time::timeout;

/// Reads a complete body; none: the stream ended before, gave nothing more for `stall_timeout`, or the body is longer
/// than [`MAX_COMPLETE_BODY_BYTES`].
pub async fn collect(stream: &mut RecvStream, stall_timeout: Duration) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    while let Some(part) = timeout(stall_timeout, stream.data()).await.ok()? {
        let part = part.ok()?;
        if body.len() + part.len() > MAX_COMPLETE_BODY_BYTES {
            return None;
        }
        body.extend_from_slice(&part);
        stream.flow_control().release_capacity(part.len()).ok()?;
    }
    Some(body)
}

/// Sends a body while it comes, as the stream's window opens; false: the sender or the stream has ended, or
/// the client took nothing for `client_timeout`.
pub async fn send_streaming_body(
    stream: &mut SendStream<Bytes>,
    body: &BodyReceiver,
    client_timeout: Duration,
) -> bool {
    while !body.is_complete() {
        if body.is_broken_off() {
            return false;
        }
        if body.is_empty() {
            body.wait_for_bytes().await;
            continue;
        }
        let part = Bytes::copy_from_slice(body.buffer().first_slice());
        let sent_bytes = part.len();
        let sent = timeout(client_timeout, send_body(stream, part, false)).await;
        if !sent.unwrap_or(false) {
            return false;
        }
        body.consume(sent_bytes);
    }
    stream.send_data(Bytes::new(), true).is_ok()
}

/// Sends a body, or a part of one that is not the last, in pieces as the stream's window opens; false: the stream has
/// ended.
pub async fn send_body(stream: &mut SendStream<Bytes>, mut body: Bytes, last: bool) -> bool {
    while !body.is_empty() {
        stream.reserve_capacity(body.len());
        let Some(Ok(capacity)) = poll_fn(|cx| stream.poll_capacity(cx)).await else {
            return false;
        };
        let part = body.split_to(capacity.min(body.len()));
        if !part.is_empty() && stream.send_data(part, last && body.is_empty()).is_err() {
            return false;
        }
    }
    true
}
