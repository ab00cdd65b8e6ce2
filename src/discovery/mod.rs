//! Which endpoints there are: what discovery and the operator's inventory say of them. `follow` is the loop of long
//! polls, `poller` one poll, `poll_schedule` its times, `apply` what an answer changes; `endpoint_list` reads
//! discovery's form, `registry` holds what is known, and `inventory` reads the operator's list.

mod apply;
mod endpoint_list;
mod follow_registry;
pub mod inventory;
mod poll_schedule;
mod poller;
pub mod registry;

pub use apply::{apply_answer, AnswerError};
pub use follow_registry::follow_registry;
