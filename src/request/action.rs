//! What the request table wants done.

use crate::decision::driver::{CounterAdd, EndpointId, RequestId};
use crate::request::{AttemptStart, FinalAnswer};

/// Work for whoever drives the request table, to be done in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Give a client its answer.
    Reply(RequestId, FinalAnswer),
    /// Start an attempt.
    StartAttempt(AttemptStart),
    /// Abandon the attempt of this number: its connection or stream must be closed before anything else is done, so
    /// that it cannot run beside a later attempt of the same request.
    AbandonAttempt(RequestId, u32),
    /// Send an endpoint a health check, which brings its load report.
    Probe(EndpointId),
    /// Add to a number on the counter.
    AddToCounter(CounterAdd),
    /// Close the idle connections to an endpoint that is draining or removed.
    ReleaseEndpoint(EndpointId),
}
