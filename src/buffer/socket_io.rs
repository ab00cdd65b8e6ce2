//! Reads and writes of sockets that survive interrupted and short system calls, and that let other tasks
//! run.
//!
//! A call that a signal interrupts is repeated. A short read or write says nothing about the state of
//! the socket: the runtime's own readers wait for a new event after one, and would wait forever if
//! bytes are left.
//!
//! A wait for a socket that is ready returns at once, and uses nothing of the share of the thread that the
//! runtime grants a task. A task whose peer sends without a pause would never give the thread back, so
//! the functions here use up that share.

use std::io::{ErrorKind, Result};
use std::time::Duration;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::TcpStream;
use tokio::task::coop::consume_budget;

/// Repeats a system call while it is interrupted.
///
/// # Errors
/// Returns any other error of the call.
pub fn uninterrupted<T>(mut call: impl FnMut() -> Result<T>) -> Result<T> {
    loop {
        match call() {
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Makes the close of this socket discard the bytes that the system has not sent. Otherwise it goes on
/// to deliver them, for minutes if the peer reads nothing.
pub fn discard_unsent(stream: &TcpStream) {
    // Fails only if the socket is closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Waits until bytes can be read, and lets other tasks run if this one has used its share of the thread.
///
/// # Errors
/// The connection has failed.
pub async fn readable(stream: &TcpStream) -> Result<()> {
    consume_budget().await;
    stream.readable().await
}

/// Waits until bytes can be written, and lets other tasks run if this one has used its share of the
/// thread.
///
/// # Errors
/// The connection has failed.
pub async fn writable(stream: &TcpStream) -> Result<()> {
    consume_budget().await;
    stream.writable().await
}

/// Waits for bytes and reads some of them. Returns 0 at the end of the stream. Lets other tasks run if
/// this one has used its share of the thread. Reads nothing if it is cancelled.
///
/// # Errors
/// The connection has failed.
pub async fn read_some(stream: &OwnedReadHalf, buffer: &mut [u8]) -> Result<usize> {
    loop {
        consume_budget().await;
        stream.readable().await?;
        match uninterrupted(|| stream.try_read(buffer)) {
            Err(e) if e.kind() == ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}

#[cfg(test)]
mod tests;
