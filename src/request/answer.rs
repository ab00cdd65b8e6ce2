//! Final answers to requests.

use crate::buffer::body_stream::BodyReceiver;
use std::rc::Rc;

/// The body of an endpoint's response.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseBody {
    /// The complete body.
    Complete(Vec<u8>),
    /// A large body, which is forwarded to the client while it arrives.
    Streaming(Rc<BodyReceiver>),
}

/// The final answer to a request. Each request gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The request was served, with this response body.
    Served(ResponseBody),
    /// The request was rejected. No attempt can have had an effect, so the client may safely retry.
    Rejected {
        /// Retry-After in ms; 0 if none is given.
        retry_after_ms: f64,
    },
    /// The request failed at an endpoint, or its deadline passed.
    Failed {
        /// The deadline passed without an endpoint failing the request.
        late: bool,
    },
}

impl FinalAnswer {
    /// Returns the kind of the answer, for the log.
    pub fn name(&self) -> &'static str {
        match self {
            FinalAnswer::Served(_) => "served",
            FinalAnswer::Rejected { .. } => "rejected",
            FinalAnswer::Failed { late: true } => "failed late",
            FinalAnswer::Failed { late: false } => "failed",
        }
    }
}
