//! The words of the platform's protocol and the terms that the code uses for them. On the wire they stay as the
//! protocol page gives them; they are mapped here, once. This module imports nothing.
//!
//! | on the wire | term in the code |
//! | --- | --- |
//! | `SVC.QUERY` | a request of an idempotent (safe) class; it never has a body |
//! | `SVC.SUBMIT` | a request of any other class; it always has a body |
//! | `customer` (named in error answers) | tenant |
//! | `c` | class, by name |
//! | `t` | plan, by name |
//! | `d` | the client's timeout, ms; to an endpoint: how long this ingress waits |
//! | `r` | `1`: the client marks the request as a retry |
//! | `k` | idempotency key |
//! | `units` | units that the request takes from the tenant's quota |
//! | `spread` | through how many ingresses the tenant's requests come |
//! | `first` | the first of these ingresses |
//! | `cost` (in an answer's usage) | the true units, where answers settle them |
//! | `BUSY` | rejected by the endpoint, unseen |
//! | `ERR` | an error of the endpoint |
//! | `INFO load` | health check that asks for a load report |
//! | `rif` or `inflight` | requests being handled |
//! | `q` or `queue` | requests waiting |
//! | `busy` or `util` | share of CPU in use |
//! | `lat_ms` or `latency_ms` | recent service time, ms |
//! | `rate` or `qps` | requests a second |
//! | `fail_rate` or `eps` | errors a second |

/// The verb of requests whose class is safe to repeat.
pub const VERB_SAFE: &str = "SVC.QUERY";
/// The verb of all other requests.
pub const VERB_WITH_EFFECT: &str = "SVC.SUBMIT";
/// The words of a health check.
pub const LOAD_REPORT_REQUEST: [&str; 2] = ["INFO", "load"];

/// What error answers call the tenant.
pub const TENANT: &str = "customer";
/// What error answers call the request's id.
pub const REQUEST_ID: &str = "id";
/// What error answers call the list of terms.
pub const TERMS: &str = "terms";
/// What error answers call the body.
pub const BODY: &str = "body";

/// The term that names the class.
pub const CLASS: &str = "c";
/// The term that names the plan.
pub const PLAN: &str = "t";
/// The term that gives the timeout of whoever sends the request, ms.
pub const CLIENT_TIMEOUT_MS: &str = "d";
/// The term that marks a client's retry with [`RETRY_YES`].
pub const RETRY: &str = "r";
/// The term that carries the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "k";
/// The term that gives the units taken from the quota.
pub const UNITS: &str = "units";
/// The term that counts the ingresses through which the tenant's requests come.
pub const SPREAD: &str = "spread";
/// The term that numbers the first of these ingresses.
pub const FIRST_INGRESS: &str = "first";

/// The value of [`RETRY`] for a retry.
pub const RETRY_YES: &str = "1";
/// The value of [`RETRY`] for a first request.
pub const RETRY_NO: &str = "0";

/// The name of the true units in an answer's usage.
pub const SETTLED_UNITS: &str = "cost";

/// The first word of an endpoint's error reply that rejects a request unseen.
pub const REJECTED: &[u8] = b"BUSY";
/// The first word of any other error reply of an endpoint.
pub const ERROR: &[u8] = b"ERR";

/// The longer name that some endpoints give a column of their load report; the column's own name where there is none.
pub fn load_column_alias(column: &str) -> &str {
    match column {
        "rif" => "inflight",
        "q" => "queue",
        "busy" => "util",
        "lat_ms" => "latency_ms",
        "rate" => "qps",
        "fail_rate" => "eps",
        _ => column,
    }
}
