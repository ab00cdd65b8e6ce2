//! Leases within a group of ingresses: each lease has at most one holder at a time. The crate
//! contains the replicated state ([`LeaseTable`]), the timing rules ([`timing`]), and the client by
//! which one ingress acquires, renews and releases leases ([`LeaseClient`]). It reads no clock and
//! does no I/O. An ingress never acts on a lease whose expiry it cannot prove from its own clock
//! alone.
//!
//! The replicated log has no clock. An ingress that wants a lease waits, by its own clock, for as
//! long as the last grant could still be used by its holder, and then acquires the lease on the
//! condition that the lease has not changed since.
//! Times are monotonic milliseconds of the local clock of one ingress.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod table;
pub mod timing;

pub use client::{ChangeReason, LeaseChange, LeaseClient, LeaseSpec, SafetyRules};
pub use table::{
    LeaseHolder, LeaseProposal, LeaseState, LeaseTable, Outcome, TokenStatus, MAX_LEASES,
};
