//! The wires: RESP and HTTP/1 of the platform, HTTP/2.

pub mod http2;
pub mod resp;
pub mod wire_names;
