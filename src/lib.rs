//! An ingress for a service sold by plan: it admits or rejects each request by its tenant's quota and by the load,
//! forwards it to one of the endpoints, retries where that is harmless, and gives exactly one final answer.
//!
//! [`decision`] holds every decision and does no I/O; [`request`] holds each request from its arrival to its answer;
//! [`frontend`], [`upstream`], [`counter`] and [`discovery`] are thin tasks around sockets; [`runtime`] starts them,
//! carries actions and answers between them, and stops them. `ARCHITECTURE.md` shows who owns which state.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod buffer;
pub mod cli;
pub mod config;
pub mod counter;
pub mod decision;
pub mod discovery;
pub mod frontend;
pub mod group;
pub mod plugin;
pub mod protocol;
pub mod request;
pub mod routing;
pub mod runtime;
pub mod units;
pub mod upstream;
