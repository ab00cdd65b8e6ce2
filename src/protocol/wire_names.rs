//! The names in the platform's protocol and the code's terms for them. The protocol's names are
//! used on the wire only, and are mapped to terms in this module. It imports nothing.
//!
//! | on the wire | term in the code |
//! | --- | --- |
//! | `SVC.QUERY` | a request of an idempotent (safe) class; it never has a body |
//! | `SVC.SUBMIT` | a request of any other class; it always has a body |
//! | `customer` (named in error answers) | tenant |
//! | `c` | class, by name |
//! | `t` | plan, by name |
//! | `d` | the client's timeout, ms; towards an endpoint: how long this ingress will wait |
//! | `r` | `1`: the client marks the request as a retry |
//! | `k` | idempotency key |
//! | `units` | units that the request takes from its tenant's quota |
//! | `spread` | number of ingresses through which the tenant's requests arrive |
//! | `first` | the first of these ingresses |
//! | `cost` (in an answer's usage) | actual units of the request, if answers settle units |
//! | `BUSY` | the endpoint rejected the request without processing it |
//! | `ERR` | an error of the endpoint |
//! | `INFO load` | health check that asks for a load report |
//! | `rif` or `inflight` | requests being handled |
//! | `q` or `queue` | requests waiting |
//! | `busy` or `util` | share of CPU time in use |
//! | `lat_ms` or `latency_ms` | recent service time, ms |
//! | `rate` or `qps` | requests per second |
//! | `fail_rate` or `eps` | errors per second |

/// The verb of requests whose class is safe to repeat.
pub const VERB_SAFE: &str = "SVC.QUERY";
/// The verb of all other requests.
pub const VERB_WITH_EFFECT: &str = "SVC.SUBMIT";
/// The words of a health check.
pub const LOAD_REPORT_REQUEST: [&str; 2] = ["INFO", "load"];

/// Name of the tenant in error answers.
pub const TENANT: &str = "customer";
/// Name of the request id in error answers.
pub const REQUEST_ID: &str = "id";
/// Name of the list of terms in error answers.
pub const TERMS: &str = "terms";
/// Name of the body in error answers.
pub const BODY: &str = "body";

/// The term for the class.
pub const CLASS: &str = "c";
/// The term for the plan.
pub const PLAN: &str = "t";
/// The term for the sender's timeout, ms.
pub const CLIENT_TIMEOUT_MS: &str = "d";
/// The term that marks a request as a client's retry, with the value [`RETRY_YES`].
pub const RETRY: &str = "r";
/// The term for the idempotency key.
pub const IDEMPOTENCY_KEY: &str = "k";
/// The term for the units taken from the quota.
pub const UNITS: &str = "units";
/// The term for the number of ingresses through which the tenant's requests arrive.
pub const SPREAD: &str = "spread";
/// The term for the number of the first of these ingresses.
pub const FIRST_INGRESS: &str = "first";

/// The value of [`RETRY`] for a retry.
pub const RETRY_YES: &str = "1";
/// The value of [`RETRY`] for a first request.
pub const RETRY_NO: &str = "0";

/// The name of the actual units in an answer's usage.
pub const SETTLED_UNITS: &str = "cost";

/// The first word of an error reply by which an endpoint rejects a request without processing it.
pub const REJECTED: &[u8] = b"BUSY";
/// The first word of any other error reply of an endpoint.
pub const ERROR: &[u8] = b"ERR";

/// Returns the longer name that some endpoints use for a column of their load report, or the
/// column's own name.
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
