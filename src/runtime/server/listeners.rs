//! The listening sockets of the process: bound here, or inherited from the platform.

use socket2::Socket;
use std::io;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that may wait to be accepted on one listener.
const BACKLOG: u32 = 1024;

/// Why an address cannot be listened on.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// The address of the clients.
    #[error("listen: {0}: {1}")]
    Clients(SocketAddr, io::Error),
    /// The inherited socket cannot be accepted from.
    #[error("EDGE_ACCEPT_FD: {0}")]
    Inherited(#[from] InheritedSocketError),
    /// The address for administration.
    #[error("operator: {0}: {1}")]
    Admin(SocketAddr, io::Error),
    /// The inherited socket is right, but the system refuses to use it.
    #[error("{0}")]
    System(#[from] io::Error),
}

/// What is wrong with a socket that the platform handed over.
#[derive(Debug, thiserror::Error)]
pub enum InheritedSocketError {
    /// It cannot be asked what it is: it is no socket.
    #[error("{0}")]
    Unusable(#[from] io::Error),
    /// It does not listen, or not at the address of the configuration.
    #[error("{} at {}, while listen is {expected}", state(.listens), address(.bound))]
    Elsewhere {
        /// Whether it listens at all.
        listens: bool,
        /// Where it is bound; none: it has no IP address.
        bound: Option<SocketAddr>,
        /// What the configuration says.
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

/// Listens at this address. With `share_port` another process may listen there too, with a queue of its own.
pub(super) fn bind(addr: SocketAddr, share_port: bool) -> io::Result<TcpListener> {
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

/// The listener for RESP clients: the inherited socket if it is what the configuration says, else one of our own.
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

/// Guards against a wrong descriptor number: the process would serve nobody, or clients of another listener.
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
