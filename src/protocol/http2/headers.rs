//! Names of HTTP/2 headers and paths.
//!
//! | on the wire | term in the code |
//! | --- | --- |
//! | `POST /commands/CLASS` | a request of that class |
//! | `api-customer` | tenant |
//! | `api-plan` | plan |
//! | `api-terms` | the terms that have no header of their own, see [`crate::protocol::wire_names`] |
//! | `req-id` | the request's id |
//! | `req-deadline-ms` | the sender's timeout, ms |
//! | `req-retry` | a client's retry |
//! | `srv-declined` | the endpoint rejected the request without processing it |
//! | `srv-load` | load report |
//! | `srv-use` | usage |

/// Prefix of the path of requests. The class of the request follows it.
pub const REQUEST_PATH_PREFIX: &str = "/commands/";
/// The tenant id, 16 hexadecimal digits.
pub const TENANT: &str = "api-customer";
/// The request's id.
pub const REQUEST_ID: &str = "req-id";
/// The tenant's plan.
pub const PLAN: &str = "api-plan";
/// The sender's timeout, ms, counted from the time when it sent the request.
pub const CLIENT_TIMEOUT_MS: &str = "req-deadline-ms";
/// `1` marks a request as a client's retry.
pub const RETRY: &str = "req-retry";
/// The terms that have no header of their own: `units=2,spread=3,first=1`.
pub const TERMS: &str = "api-terms";
/// The idempotency key, for classes that carry one.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// To a client: Retry-After in ms, in addition to `retry-after`, which is in whole seconds.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// To an endpoint: prefix of a value that the operator's plug-in or rules added; its name follows.
pub const NOTE_PREFIX: &str = "api-note-";

/// From an endpoint: it rejected the request without processing it.
pub const REJECTED: &str = "srv-declined";
/// From an endpoint: the endpoint's load report.
pub const LOAD_REPORT: &str = "srv-load";
/// From an endpoint: the request's usage, in the format of the platform's protocol:
/// `used=37,cost=4`.
pub const USAGE: &str = "srv-use";
