//! What the request line does beside serving, and the log.

pub mod check;
pub mod logging;
pub mod rules;
