//! The `http2` section of the operator's file.

use serde::Deserialize;
use std::net::SocketAddr;

/// Default limit of open streams on one connection. Each may hold a partly read request.
const DEFAULT_MAX_STREAMS: u32 = 128;
/// Default limit of connections. Each takes a file descriptor and the memory of its windows.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// Settings of the HTTP/2 frontend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http2 {
    /// The address it listens on.
    pub listen: SocketAddr,
    /// Most open streams on one connection, 1 to 10,000; 128 by default.
    #[serde(default = "default_max_streams")]
    pub streams: u32,
    /// Most connections, 1 to 10,000; 64 by default.
    #[serde(default = "default_max_connections")]
    pub connections: usize,
}

fn default_max_streams() -> u32 {
    DEFAULT_MAX_STREAMS
}

fn default_max_connections() -> usize {
    DEFAULT_MAX_CONNECTIONS
}

/// Limits of the HTTP/2 frontend.
#[derive(Clone, Copy, Debug)]
pub struct Http2Limits {
    /// Most open streams on one connection.
    pub streams: u32,
    /// Most connections.
    pub connections: usize,
}

impl Http2 {
    /// The limits of streams and connections.
    pub fn limits(&self) -> Http2Limits {
        Http2Limits {
            streams: self.streams,
            connections: self.connections,
        }
    }
}
