//! Running attempts, which can be abandoned immediately, without waiting for their tasks.

use crate::decision::driver::EndpointId;
use crate::upstream::connection::Connection;
use bytes::Bytes;
use h2::SendStream;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::task::AbortHandle;

/// The way in which an attempt is ended at the endpoint.
pub(super) enum Abandon {
    /// Shut down the attempt's connection.
    Close(Rc<Connection>),
    /// Reset the attempt's stream; the connection carries other attempts.
    Reset(SendStream<Bytes>),
}

/// How an attempt is to be abandoned; empty before the attempt is sent and after it is answered.
#[derive(Clone, Default)]
pub(super) struct AbandonHandle(Rc<RefCell<Option<Abandon>>>);

impl AbandonHandle {
    /// Sets how to abandon the attempt. Called before the attempt is sent.
    pub(super) fn set(&self, abandon: Abandon) {
        *self.0.borrow_mut() = Some(abandon);
    }

    /// Calls `act` with the attempt's stream; none if the attempt has no stream or was abandoned.
    pub(super) fn with_stream<T>(
        &self,
        act: impl FnOnce(&mut SendStream<Bytes>) -> T,
    ) -> Option<T> {
        match self.0.borrow_mut().as_mut() {
            Some(Abandon::Reset(stream)) => Some(act(stream)),
            _ => None,
        }
    }

    /// Empties the handle and returns its content. Called when the attempt has ended or is being
    /// abandoned.
    pub(super) fn take(&self) -> Option<Abandon> {
        self.0.borrow_mut().take()
    }
}

/// An attempt whose task is running.
pub(super) struct RunningAttempt {
    pub(super) task: AbortHandle,
    pub(super) handle: AbandonHandle,
    pub(super) endpoint: EndpointId,
    /// Start time, ms.
    pub(super) started_ms: f64,
}
