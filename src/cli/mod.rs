//! The command line: its arguments, and what its sub-commands do beside serving.

pub mod admin_client;
pub mod arguments;
pub mod check;
pub mod environment;
pub mod group;
pub mod logging;
pub mod rules;
