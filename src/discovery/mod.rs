//! The set of known endpoints, from the platform's discovery service and from the operator's
//! inventory.
//!
//! `follow_registry` is the loop of long polls, `poller` makes one poll, and `poll_schedule`
//! computes intervals and time-outs. `apply` applies an answer, `endpoint_list` parses discovery's
//! list format, `registry` holds the known endpoints, and `inventory` reads the operator's list.

mod apply;
mod endpoint_list;
mod follow_registry;
pub mod inventory;
mod poll_schedule;
mod poller;
pub mod registry;

pub use apply::{apply_answer, AnswerError};
pub use follow_registry::follow_registry;
