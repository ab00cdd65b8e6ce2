//! The command line: arguments, and the sub-commands other than serving.

pub mod admin_client;
pub mod arguments;
pub mod check;
pub mod environment;
pub mod group;
pub mod logging;
pub mod rules;
