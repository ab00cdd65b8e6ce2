//! An attempt under way, and how it is abandoned at once, without waiting for its task.

use crate::decision::driver::EndpointId;
use crate::upstream::connection::Connection;
use bytes::Bytes;
use h2::SendStream;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// What ends an attempt at the endpoint.
pub(super) enum Abandon {
    /// Its connection is shut down.
    Close(Rc<Connection>),
    /// Its stream is reset; the connection carries others.
    Reset(SendStream<Bytes>),
}

/// How an attempt is to be abandoned; empty before it is sent and once it has been answered.
#[derive(Clone, Default)]
pub(super) struct AbandonHandle(Rc<RefCell<Option<Abandon>>>);

impl AbandonHandle {
    /// The attempt is about to be sent.
    pub(super) fn set(&self, abandon: Abandon) {
        *self.0.borrow_mut() = Some(abandon);
    }

    /// Empties it: the attempt is over, or is being abandoned.
    pub(super) fn take(&self) -> Option<Abandon> {
        self.0.borrow_mut().take()
    }
}

/// An attempt under way.
pub(super) struct RunningAttempt {
    pub(super) task: AbortHandle,
    pub(super) handle: AbandonHandle,
    pub(super) endpoint: EndpointId,
    /// When it was started, ms.
    pub(super) started_ms: f64,
}
