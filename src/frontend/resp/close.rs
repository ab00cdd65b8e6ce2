//! The close of a connection: the end of the client's side is awaited, so that answers which the system
//! has not sent yet are not lost in a reset.

use super::connection::Connection;
use crate::buffer::socket_io::{read_some, uninterrupted};
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::OwnedReadHalf;
use tokio::time::timeout;

/// Interval of the checks for the client's close while nothing is read from it. No attempt may
/// start for a client that disconnected 100 ms ago.
const PEER_CLOSED_POLL: Duration = Duration::from_millis(25);
/// Longest time for which input after the last request is discarded before the connection is
/// closed.
const LINGER: Duration = Duration::from_millis(1000);
/// Longest time for which a drained connection waits for its client's close. A slow client reads the
/// last answers in this time.
const DELIVERY_WAIT: Duration = Duration::from_millis(1500);
/// Size of the buffer for discarded input, bytes.
const LINGER_BUFFER: usize = 16 * 1024;

/// Lingering close: shuts down the write side and discards what the client still sends. Closing
/// with unread input would reset the connection, and answers that the system has not sent yet would
/// be lost.
pub(super) async fn linger(connection: &Connection, read: &mut OwnedReadHalf) {
    let mut discarded = vec![0; LINGER_BUFFER];
    if !matches!(uninterrupted(|| read.try_read(&mut discarded)), Ok(count) if count > 0) {
        // Nothing is unread: the system sends the remaining output and then closes.
        return;
    }
    let _ = socket2::SockRef::from(connection.stream.as_ref()).shutdown(Shutdown::Write);
    connection.lingering.set(true);
    let client_closes =
        async { while read_some(read, &mut discarded).await.is_ok_and(|n| n > 0) {} };
    tokio::select! {
        _ = timeout(LINGER, client_closes) => {}
        () = eviction_requested(connection) => {}
    }
}

/// Closes a connection whose answers are all written: shuts down the write side, then gives the
/// client time to close its own. Nothing more is read. A close at once would reset the connection as
/// soon as the client sends more, and answers that the system has not delivered yet would be lost.
pub(super) async fn close_in_order(connection: &Connection, read: &OwnedReadHalf) {
    let inactive_ms = connection.dispatcher.now() - connection.last_active_ms.get();
    if inactive_ms > 1e3 * DELIVERY_WAIT.as_secs_f64() {
        return;
    }
    let _ = socket2::SockRef::from(connection.stream.as_ref()).shutdown(Shutdown::Write);
    connection.lingering.set(true);
    tokio::select! {
        _ = timeout(DELIVERY_WAIT, peer_closed(read)) => {}
        () = eviction_requested(connection) => {}
    }
}

/// Waits until a new connection needs the slot of this one in the budget.
async fn eviction_requested(connection: &Connection) {
    while !connection.eviction_requested.get() {
        connection.wake.notified().await;
    }
}

/// Waits until the client has closed its connection, even if input is unread. The close is noticed
/// this way while nothing is read, so no work starts for a disconnected client. Returns the result
/// of a read at the end of the stream.
pub(super) async fn peer_closed(read: &OwnedReadHalf) -> std::io::Result<usize> {
    // Unread input makes the socket ready at once each time, so pause between checks.
    while !read.ready(Interest::READABLE).await?.is_read_closed() {
        tokio::time::sleep(PEER_CLOSED_POLL).await;
    }
    Ok(0)
}
