//! Attempts as the network sees them: what is to be sent where, and how it ended.

use crate::decision::driver::{EndpointId, RequestId};
use crate::decision::Outcome;
use crate::request::{ClientRequest, ResponseBody};
use std::rc::Rc;

/// An attempt to make.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptStart {
    /// Its request's number.
    pub request_id: RequestId,
    /// Its own number among the request's attempts, from 0.
    pub attempt: u32,
    /// The endpoint to send it to.
    pub endpoint: EndpointId,
    /// The request to send.
    pub request: Rc<ClientRequest>,
    /// Its deadline, ms on the ingress's clock.
    pub deadline_ms: f64,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The response body, if the request was served.
    pub body: Option<ResponseBody>,
    /// The endpoint's load report in the order of the settings' columns; empty: none came.
    pub load_report: Vec<f64>,
    /// The true units, where answers settle them and this one named them.
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

/// Whether an attempt that ended so may have run at an endpoint. Nothing can have run only where the endpoint
/// rejected the request unseen, where there was no connection to send it by, and where it was not sent at
/// all. An error, a lost connection, a timeout and a cancellation prove nothing: the request was on its way.
pub(super) fn may_have_run(outcome: Outcome) -> bool {
    match outcome {
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent => false,
        Outcome::Ok | Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled => {
            true
        }
    }
}
