//! The process: its clock, the dispatcher between its parts, start, reload and shutdown.

pub mod clock;
pub mod dispatcher;
pub mod process_takeover;
pub mod server;
