//! Every decision about a request: whether it is admitted, where it is forwarded, whether it is retried.

mod api;
mod balance;
pub mod driver;
mod state;

pub use api::*;
pub use balance::DecisionEngine;
