//! The life cycle of requests, independent of the protocol: each request from its arrival to its
//! final answer, the attempts made for it, their deadlines, and the answers given at shutdown.
//!
//! [`RequestTable`] takes events with a time and yields [`Action`]s. The table does no I/O, has no
//! knowledge of RESP or HTTP, and never reads the system clock. Admission and endpoint selection
//! belong to the decision module, behind its driver. The table enforces these rules whatever the
//! decision module asks for:
//!
//! - a request gets one final answer;
//! - a request is sent again, or its client asked to retry, only if it cannot run twice with an
//!   effect (`in_flight`);
//! - no request is accepted with the id of one that is open or may have run (`recent_ids`);
//! - no new request is sent to an endpoint that is draining or removed (`ready_endpoints`).
//!
//! | module | job |
//! | --- | --- |
//! | `client_request`, `terms` | a client's request, its bounds, and its validation |
//! | `request_table` | the state machine; its `verdicts` and `attempts` carry out decisions |
//! | `in_flight` | one request and its attempts: whether it may be sent again or its client may retry |
//! | `attempt`, `answer`, `action` | attempts, final answers, and the actions that the table asks for |
//! | `recent_ids` | the ids that no new request may have |
//! | `attempt_deadlines`, `ready_endpoints`, `request_counts` | other state of the table |
//!
//! Times are in ms on the ingress's clock (Unix time at start, monotonic from there) unless a name
//! says otherwise.

mod action;
mod answer;
mod attempt;
mod attempt_deadlines;
mod client_request;
mod in_flight;
mod ready_endpoints;
mod recent_ids;
mod request_counts;
mod request_table;
mod terms;

pub use action::Action;
pub use answer::{FinalAnswer, ResponseBody};
pub use attempt::{AttemptResult, AttemptStart, MAX_WRITE_MS};
pub(crate) use client_request::MAX_CLIENT_TIMEOUT_MS;
pub use client_request::{ClientRequest, InvalidRequest};
pub use recent_ids::{RequestIdHash, MAX_REMEMBERED as MAX_REMEMBERED_IDS};
pub use request_counts::{AttemptEndCounts, RequestCounts, TableSizes};
pub use request_table::RequestTable;
pub use terms::{parse_decimal, term_pairs};
