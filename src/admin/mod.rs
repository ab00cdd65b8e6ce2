//! Calls of the staff to a running ingress.

pub mod server;
