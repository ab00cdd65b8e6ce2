//! The names of headers and paths.
//!
//! | on the wire | term in the code |
//! | --- | --- |
//! | `POST /commands/CLASS` | a request of that class |
//! | `api-customer` | tenant |
//! | `api-plan` | plan |
//! | `api-terms` | the terms that have no header of their own, see [`crate::protocol::wire_names`] |
//! | `req-id` | the request's id |
//! | `req-deadline-ms` | the timeout of whoever sends the request, ms |
//! | `req-retry` | a client's retry |
//! | `srv-declined` | rejected by the endpoint, unseen |
//! | `srv-load` | load report |
//! | `srv-use` | usage |

/// Where requests go, followed by the class.
pub const REQUEST_PATH_PREFIX: &str = "/commands/";
/// The tenant, 16 hexadecimal digits.
pub const TENANT: &str = "api-customer";
/// The request's id.
pub const REQUEST_ID: &str = "req-id";
/// The tenant's plan.
pub const PLAN: &str = "api-plan";
/// How long the sender will wait, ms, counted from its send.
pub const CLIENT_TIMEOUT_MS: &str = "req-deadline-ms";
/// `1` marks a client's retry.
pub const RETRY: &str = "req-retry";
/// The other names and values: `units=2,spread=3,first=1`.
pub const TERMS: &str = "api-terms";
/// The idempotency key, for classes that carry one.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// To a client, beside `retry-after`, which counts whole seconds: Retry-After in ms.
pub const RETRY_AFTER_MS: &str = "retry-after-ms";

/// To an endpoint: a note of the operator's plug-in or rules; the note's name follows.
pub const NOTE_PREFIX: &str = "api-note-";

/// From an endpoint: the request was rejected unseen and never ran.
pub const REJECTED: &str = "srv-declined";
/// From an endpoint: its load report.
pub const LOAD_REPORT: &str = "srv-load";
/// From an endpoint: the request's usage, as on the platform's wire: `used=37,cost=4`.
pub const USAGE: &str = "srv-use";
