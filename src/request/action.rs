//! Actions that the request table asks its caller to carry out.

use crate::decision::driver::{CounterAdd, EndpointId, RequestId};
use crate::request::{AttemptStart, FinalAnswer};

/// Work that the caller of the request table carries out, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the final answer to a client.
    Reply(RequestId, FinalAnswer),
    /// Starts an attempt.
    StartAttempt(AttemptStart),
    /// Abandons the attempt with this number. Its connection or stream must be closed before any
    /// later action is carried out, so that the attempt cannot overlap with a later attempt of the
    /// same request.
    AbandonAttempt(RequestId, u32),
    /// Sends a health check to an endpoint, which answers with its load report.
    Probe(EndpointId),
    /// Adds an amount to a value of the shared counter.
    AddToCounter(CounterAdd),
    /// Closes the idle connections to an endpoint that is draining or removed.
    ReleaseEndpoint(EndpointId),
}
