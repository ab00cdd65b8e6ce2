//! An ingress for radio catch-up services with usage plans. It admits or rejects each request by
//! its tenant's quota and the load, forwards it to an endpoint, retries where that is safe, and
//! gives exactly one final answer.
//!
//! [`decision`] makes every decision and does no I/O. [`request`] holds each request from its
//! arrival to its answer. [`frontend`], [`upstream`], [`counter`] and [`discovery`] are tasks
//! around sockets without decisions of their own. [`runtime`] starts them, passes actions and
//! answers between them, and stops them. `ARCHITECTURE.md` shows which module owns which state.

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
