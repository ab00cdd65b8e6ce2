//! Duties that one ingress of a group holds at a time: who holds which, by which token, and for how long. It owns the
//! state that the group agrees on ([`Table`]), the rules of time ([`lease`]), and what one ingress does about duties
//! ([`Keeper`]). It must never ask for a time, open anything, or let an ingress act by a lease whose end it cannot
//! show from its own clock alone.
//!
//! The log has no clock, and needs none: whoever wants a duty waits by its own clock for as long as the last lease could
//! still be used by whoever holds it, and then takes the duty on the condition that nothing has happened to it since.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod client;
pub mod lease;
mod table;

pub use client::{Cause, Change, Duty, Keeper, Rules};
pub use table::{Act, Held, Holder, Outcome, Table, Wish, MAX_DUTIES};
