//! The result of routing a request: forward it with the values that the rules have set, reject it,
//! or refuse it as invalid.

use crate::limit::LimitPermit;
use crate::pool_bits::ALL;

/// The decision of the rules about a request.
#[derive(Debug)]
pub enum Verdict {
    /// The request is forwarded along this route.
    Forward(Box<Route>),
    /// The request is rejected. It was not forwarded, so repeating it is safe.
    Reject {
        /// Time after which the client may retry, in ms.
        retry_after_ms: f64,
        /// The name of the rule or pool that rejects the request.
        by: String,
    },
    /// The request is invalid: a rule cannot be evaluated on it, or a field is too long.
    Invalid {
        /// The name of the rule; empty if no rule was evaluated.
        rule: String,
        /// Why the request is invalid.
        why: String,
    },
}

/// The values that the rules have set for a request that is forwarded.
#[derive(Debug)]
pub struct Route {
    /// The request of one of the service's classes that a rule maps this request to, if one does.
    pub command: Option<Mapped>,
    /// The pools that may serve the request, one bit each; [`ALL`] for all endpoints.
    pub pools: u64,
    /// Notes for the endpoint, by name. Values are printable ASCII.
    pub notes: Vec<(String, String)>,
    /// Permits of concurrency limits, which are released when dropped.
    pub permits: Vec<LimitPermit>,
}

impl Default for Route {
    /// Creates the route of a request that no rule matches.
    fn default() -> Route {
        Route {
            command: None,
            pools: ALL,
            notes: Vec::new(),
            permits: Vec::new(),
        }
    }
}

/// A request of one of the service's classes to which a rule maps an HTTP request. For values that
/// the rule does not set, those of the client apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Mapped {
    /// The index of the class in the catalog.
    pub class: usize,
    /// The name of the plan.
    pub plan: Option<String>,
    /// The tenant.
    pub partner: Option<String>,
    /// The units that the request counts.
    pub units: Option<f64>,
    /// The id of the request.
    pub id: Option<String>,
    /// The client's time limit, in ms.
    pub deadline_ms: Option<i64>,
    /// The number of ingresses over which the tenant's requests are spread.
    pub spread: Option<i64>,
    /// The index of the first of these ingresses.
    pub first: Option<i64>,
    /// Further names and values for the endpoint.
    pub terms: Vec<(String, String)>,
}
