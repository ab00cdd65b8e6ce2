//! Administration calls from operators to a running ingress.

pub mod server;
