//! Leases that one ingress of a group holds at a time: who holds which, by which fencing token, and for how long. The
//! crate has the state that the group agrees on ([`LeaseTable`]), the rules of time ([`timing`]), and what one ingress
//! does about leases ([`LeaseClient`]). It must never ask for a time, open anything, or let an ingress act by a lease
//! whose end it cannot show from its own clock alone.
//!
//! The log has no clock, and needs none: whoever wants a lease waits by its own clock for as long as the last grant could
//! still be used by its holder, and then acquires the lease on the condition that nothing has happened to it since.
//! Times are monotonic milliseconds of one ingress's own clock.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
mod table;
pub mod timing;

pub use client::{ChangeReason, LeaseChange, LeaseClient, LeaseSpec, SafetyRules};
pub use table::{
    LeaseHolder, LeaseProposal, LeaseState, LeaseTable, Outcome, TokenStatus, MAX_LEASES,
};
