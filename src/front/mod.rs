//! The fronts: how service clients reach the core. Each owns the listening, the connections and the wording
//! of its wire; none decides anything or knows another's wire.

pub mod http2;
pub mod resp;

use crate::core::Answer;

/// One end of a front that is owed answers; `ticket` is the front's own mark for one command.
pub trait ServiceClient {
    /// Gives it the one final answer to a command.
    fn answer(&self, ticket: u64, answer: Answer);
}

/// Retry advice in whole milliseconds, never earlier than was meant; none: no advice.
pub fn advice(after_ms: f64) -> Option<u64> {
    (after_ms > 0.0).then(|| after_ms.ceil().min(1e9) as u64)
}
