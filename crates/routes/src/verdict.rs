//! What the rules decide about a request: forward it, with what the rules have set, reject it, or refuse it as invalid.

use crate::limit::LimitPermit;
use crate::pool_bits::ALL;

/// What the rules decide about a request.
#[derive(Debug)]
pub enum Verdict {
    /// It is served as this route says.
    Forward(Box<Route>),
    /// It is rejected. Nothing was forwarded, so that repeating it is safe.
    Reject {
        /// When the client may retry, ms from now.
        retry_after_ms: f64,
        /// The rule, or the pool, that rejects it.
        by: String,
    },
    /// It is invalid: a rule cannot be evaluated on it.
    Invalid {
        /// The rule; empty where no rule was evaluated.
        rule: String,
        /// What is wrong.
        why: String,
    },
}

/// What the rules have set for a request that is served.
#[derive(Debug)]
pub struct Route {
    /// The request of one of the service's classes, where a rule maps this one to it.
    pub command: Option<Mapped>,
    /// Pools that it may be sent to, one bit each; [`ALL`] for all endpoints.
    pub pools: u64,
    /// Notes for the endpoint, by name. Values are printable ASCII.
    pub notes: Vec<(String, String)>,
    /// Permits under limits of concurrent requests, released when dropped.
    pub permits: Vec<LimitPermit>,
}

impl Default for Route {
    /// The route of a request that no rule matches.
    fn default() -> Route {
        Route {
            command: None,
            pools: ALL,
            notes: Vec::new(),
            permits: Vec::new(),
        }
    }
}

/// A request of one of the service's classes to which a rule maps an HTTP request. What the rule does not set is the
/// client's own.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mapped {
    /// The class's index in the catalog.
    pub class: usize,
    /// The plan.
    pub plan: Option<String>,
    /// The tenant.
    pub partner: Option<String>,
    /// Units that the request counts.
    pub units: Option<f64>,
    /// The request id.
    pub id: Option<String>,
    /// How long the client waits, ms.
    pub deadline_ms: Option<i64>,
    /// The number of ingresses among which the tenant's requests are spread.
    pub spread: Option<i64>,
    /// The index of the first of them.
    pub first: Option<i64>,
    /// Further names and values for the endpoint.
    pub terms: Vec<(String, String)>,
}
