//! The settings of the HTTP/2 frontend.

use serde::Deserialize;
use std::net::SocketAddr;

/// Open streams on one connection, where the file does not say. Each may hold a request half read.
const DEFAULT_MAX_STREAMS: u32 = 128;
/// Connections, where the file does not say. Each takes a descriptor and its windows' memory.
const DEFAULT_MAX_CONNECTIONS: usize = 64;

/// The HTTP/2 frontend.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Http2 {
    /// Where it listens.
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

/// Bounds of the HTTP/2 frontend.
#[derive(Clone, Copy, Debug)]
pub struct Http2Limits {
    /// Most open streams on one connection.
    pub streams: u32,
    /// Most connections.
    pub connections: usize,
}

impl Http2 {
    /// The frontend's bounds.
    pub fn limits(&self) -> Http2Limits {
        Http2Limits {
            streams: self.streams,
            connections: self.connections,
        }
    }
}
