//! The one final answer to a request.

use crate::buffer::body_stream::BodyReceiver;
use std::rc::Rc;

/// The response body that an endpoint gave.
#[derive(Clone, Debug, PartialEq)]
pub enum ResponseBody {
    /// All of it.
    Complete(Vec<u8>),
    /// It is large, and is forwarded while it comes.
    Streaming(Rc<BodyReceiver>),
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Served, with the response body that an endpoint gave.
    Served(ResponseBody),
    /// Rejected: no attempt can have had an effect, so coming again does no harm.
    Rejected {
        /// Retry-After, ms; 0: none is given.
        retry_after_ms: f64,
    },
    /// Failed: an endpoint failed it, or there was no time left.
    Failed {
        /// There was no time left; no endpoint failed it.
        late: bool,
    },
}
