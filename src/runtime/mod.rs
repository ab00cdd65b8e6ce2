//! The process: clock, dispatcher, start-up, reload, shutdown and takeover by a newer process.

pub mod clock;
pub mod dispatcher;
pub mod process_takeover;
pub mod server;
