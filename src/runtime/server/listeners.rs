//! The listening sockets of the process, bound by it or inherited from the platform.

use socket2::Socket;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted on one listener.
const BACKLOG: u32 = 1024;

/// Longest time for which binding is tried while the system lacks a resource.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two attempts to bind.
const BIND_PAUSE: Duration = Duration::from_millis(20);
/// Error codes that may pass: EINTR, ENOMEM, ENFILE, ENOBUFS.
const TRANSIENT_ERRORS: [i32; 4] = [4, 12, 23, 105];

/// An address that the process cannot listen on, and the cause.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address for clients cannot be bound.
    #[error("listen: {0}: cannot listen at this address: {1}")]
    Clients(SocketAddr, io::Error),
    /// The inherited socket cannot accept clients.
    #[error("EDGE_ACCEPT_FD: {0}")]
    Inherited(#[from] InheritedSocketError),
    /// The address for administration cannot be bound.
    #[error("operator: {0}: cannot listen at this address: {1}")]
    Admin(SocketAddr, io::Error),
    /// The inherited socket is valid, but the system rejects an operation on it.
    #[error("EDGE_ACCEPT_FD: the system refused an operation on the inherited socket: {0}")]
    System(#[from] io::Error),
}

/// A defect of the socket that the process inherited from the platform.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// The system reports no state for the descriptor: it is not a socket.
    #[error("the descriptor is not a usable socket: {0}")]
    Unusable(#[from] io::Error),
    /// The socket does not listen, or not at the configured address.
    #[error(
        "the inherited socket {} at {}, but the configured `listen` address is {expected}",
        state(.listens),
        address(.bound)
    )]
    Elsewhere {
        /// Whether the socket listens at all.
        listens: bool,
        /// The address of the socket; `None` if it is not an IP address.
        bound: Option<SocketAddr>,
        /// The address in the configuration.
        expected: SocketAddr,
    },
}

fn state(listens: &bool) -> &'static str {
    if *listens {
        "listens"
    } else {
        "does not listen"
    }
}

fn address(bound: &Option<SocketAddr>) -> String {
    bound.map_or("no address".to_string(), |at| at.to_string())
}

/// Binds a listener at this address. With `share_port`, another process may listen at the same
/// address with a queue of its own. Tries again for [`BIND_TIMEOUT`] while the system lacks a
/// resource.
pub(super) fn bind(addr: SocketAddr, share_port: bool) -> io::Result<TcpListener> {
    let begun = Instant::now();
    loop {
        match try_bind(addr, share_port) {
            Err(e) if is_transient(&e) && begun.elapsed() < BIND_TIMEOUT => {
                tracing::warn!(%addr, error = %e, "cannot listen yet; trying again");
                std::thread::sleep(BIND_PAUSE);
            }
            result => return result,
        }
    }
}

/// Whether the system lacked a resource for a moment.
fn is_transient(error: &io::Error) -> bool {
    let code = error.raw_os_error();
    code.is_some_and(|code| TRANSIENT_ERRORS.contains(&code))
}

fn try_bind(addr: SocketAddr, share_port: bool) -> io::Result<TcpListener> {
    let socket = if addr.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(share_port)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Returns the listener for RESP clients: the inherited socket if there is one, otherwise a socket
/// that this process binds.
pub(super) fn client_listener(
    listen: SocketAddr,
    inherited: Option<Socket>,
) -> Result<TcpListener, ListenError> {
    let Some(socket) = inherited else {
        return bind(listen, false).map_err(|e| ListenError::Clients(listen, e));
    };
    check_inherited(&socket, listen)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into())?)
}

/// Checks that the inherited socket listens at the configured address. With a wrong descriptor
/// number the process would serve nobody, or the clients of another listener.
fn check_inherited(socket: &Socket, expected: SocketAddr) -> Result<(), InheritedSocketError> {
    let listens = socket.is_listener()?;
    let bound = socket.local_addr()?.as_socket();
    if listens && bound == Some(expected) {
        return Ok(());
    }
    Err(InheritedSocketError::Elsewhere {
        listens,
        bound,
        expected,
    })
}

#[cfg(test)]
mod tests;
