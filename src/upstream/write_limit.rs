//! The time within which the request of an attempt must be written completely.
//!
//! An endpoint runs a request once its last byte has arrived. A peer that reads nothing for a while can
//! delay that byte past the window for repeats, past the deadline, or past the time that the request
//! names as its client's. A request whose last byte was not written cannot have run, so an attempt that
//! reaches its limit ends like one without a connection, and the request may go to another endpoint.

use crate::request::{AttemptStart, MAX_WRITE_MS};
use crate::runtime::dispatcher::Dispatcher;
use tokio::time::Instant;

/// Until when an attempt may write its request.
pub(super) struct WriteLimit<'a> {
    dispatcher: &'a Dispatcher,
    until_ms: f64,
}

impl<'a> WriteLimit<'a> {
    /// The limit of an attempt that begins to write now.
    pub(super) fn start(dispatcher: &'a Dispatcher, attempt: &AttemptStart) -> WriteLimit<'a> {
        WriteLimit {
            dispatcher,
            until_ms: attempt.written_by_ms.min(dispatcher.now() + MAX_WRITE_MS),
        }
    }

    /// Whether bytes may be written now. Checked before each write, because a timer may run late.
    pub(super) fn allows_write(&self) -> bool {
        self.dispatcher.now() < self.until_ms
    }

    /// The end of the limit, for a timer.
    pub(super) fn instant(&self) -> Instant {
        self.dispatcher.clock().instant(self.until_ms).into()
    }
}
