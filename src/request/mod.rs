//! The life of requests, whatever wire they came by: every request from its arrival to its one final answer, the
//! attempts made for it, their deadlines, and the answers given before the process ends.
//!
//! [`RequestTable`] takes events and a time, and yields [`Action`]s. It never reads or writes a socket, knows neither
//! RESP nor HTTP, never asks the system for the time, and decides nothing about whom to serve: that is the decision
//! module's, behind its driver. Whatever that module asks for, the table guards these rules:
//!
//! - a request gets one final answer;
//! - a request is sent again, or its client asked to retry, only where that can do no harm (`in_flight`);
//! - nothing new goes to an endpoint that is draining or removed (`ready_endpoints`).
//!
//! | module | job |
//! | --- | --- |
//! | `client_request`, `terms` | a client's request, the bounds on it, and what is refused |
//! | `request_table` | the state machine; `verdicts` and `attempts` within it carry out what was decided |
//! | `in_flight` | one request and its attempts: whether it may be sent again, or its client asked to retry |
//! | `attempt`, `answer`, `action` | attempts, final answers, and all that the table wants done |
//! | `attempt_deadlines`, `ready_endpoints`, `request_counts` | what the table keeps beside the requests |
//!
//! Times are ms on the ingress's clock (Unix time at start, monotonic from there) unless a name says otherwise.

mod action;
mod answer;
mod attempt;
mod attempt_deadlines;
mod client_request;
mod in_flight;
mod ready_endpoints;
mod request_counts;
mod request_table;
mod terms;

pub use action::Action;
pub use answer::{FinalAnswer, ResponseBody};
pub use attempt::{AttemptResult, AttemptStart};
pub(crate) use client_request::MAX_CLIENT_TIMEOUT_MS;
pub use client_request::{ClientRequest, InvalidRequest};
pub use request_counts::RequestCounts;
pub use request_table::RequestTable;
pub use terms::{parse_decimal, term_pairs};
