//! Attempts as the network code handles them: the request and endpoint of each attempt, and its
//! result.

use crate::decision::driver::{EndpointId, RequestId};
use crate::decision::Outcome;
use crate::request::{ClientRequest, ResponseBody};
use std::rc::Rc;

/// How long writing a request may take once it has begun, ms. The request names the time that its client
/// still waits, and the platform accepts 150 ms too much; the rest is for the way to the endpoint.
pub const MAX_WRITE_MS: f64 = 100.0;

/// An attempt to start.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptStart {
    /// The id of the request.
    pub request_id: RequestId,
    /// The number of this attempt among the attempts of the request, from 0.
    pub attempt: u32,
    /// The endpoint that receives the request.
    pub endpoint: EndpointId,
    /// The request to send.
    pub request: Rc<ClientRequest>,
    /// The deadline of the attempt, ms on the ingress's clock.
    pub deadline_ms: f64,
    /// When the last byte of the request must have been written, ms on the ingress's clock; otherwise
    /// it must not be written at all. An endpoint runs a request once it is whole, however late.
    pub written_by_ms: f64,
    /// When the last byte must have arrived, if the endpoint must discard the request as a repeat, ms on
    /// the ingress's clock.
    pub repeat_window_end_ms: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The response body, if the request was served.
    pub body: Option<ResponseBody>,
    /// The endpoint's load report, in the order of the settings' columns; empty if there was none.
    pub load_report: Vec<f64>,
    /// The request's actual units, if the settings settle units from answers and this answer gave
    /// them.
    pub settled_units: Option<f64>,
}

impl AttemptResult {
    /// A result without a body, a load report or settled units.
    pub fn with_outcome(outcome: Outcome) -> AttemptResult {
        AttemptResult {
            outcome,
            body: None,
            load_report: Vec::new(),
            settled_units: None,
        }
    }
}

/// Whether an attempt with this outcome may have run at an endpoint. The request cannot have run
/// only if the endpoint rejected it without processing it, if no connection was established, or if
/// it was not sent. An error, a lost connection, a timeout or a cancellation proves nothing, since
/// the request was sent.
pub(super) fn may_have_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
            true
        }
    }
}
