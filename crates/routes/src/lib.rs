//! Ordered routing rules, evaluated before anything else is decided about a request: which of the service's classes an
//! HTTP request is mapped to, which pool of endpoints may serve it, which local limits it must pass, which notes it
//! carries, and whether it is rejected at once.
//!
//! [`Rules::read`] checks a whole file and reports every fault; [`Rules::read_table`] takes over unchanged rules from
//! those in force. [`Router::route`] takes a request and a time. The rules are expressions of `driftgap-expr`, so that
//! the highest cost of a request is known when the file is read, and so are the classes that it can be mapped to: a rule
//! by which a request that must not run twice could be retried is refused.
//!
//! The modules by concern, each on top of the ones before:
//!
//! - reading: `document` cuts a file into rules, `reader` reads TOML values, `expression_reader`, `mapped_request` and
//!   `rule_reader` check a rule, `effect` proves its idempotency, `file_reader` reads a file, `takeover` finds what is
//!   unchanged, `read` is the entry;
//! - in memory: `rule`, `rules`, `pool`, `limit`, `cost`, `content_hash`;
//! - serving: `request` is the input, `evaluation` applies the rules to it, `pool_bits` finds its pool, `router` holds
//!   the rules in force, `verdict` is the result;
//! - at a terminal: `explain`.
//!
//! The crate does no I/O and reads no clock. It must not choose an endpoint: that is the decision module's, among the
//! endpoints of the pool.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod content_hash;
mod cost;
mod document;
mod effect;
mod environment;
mod evaluation;
mod explain;
mod expression_reader;
mod fault;
mod file_reader;
mod limit;
mod mapped_request;
mod names;
mod pool;
mod pool_bits;
mod read;
mod read_options;
mod reader;
mod request;
mod router;
mod rule;
mod rule_reader;
mod rules;
mod takeover;
mod verdict;

pub use effect::{Effect, COMMANDS};
pub use environment::Catalog;
pub use explain::{Explainer, RuleExplanation};
pub use fault::Fault;
pub use limit::{Allowance, KeyHash, Limit, LimitExceeded, LimitPermit, LimitStatistics};
pub use pool::{ANY, MAX_POOLS};
pub use pool_bits::{PoolBitsExhausted, ALL};
pub use read_options::{ReadOptions, DEFAULT_MAX_BYTES};
pub use request::{
    bound, endpoint_schema, request_schema, Endpoint, Headers, NoHeaders, Request, MAX_HEADER,
    MAX_HEADERS, MAX_LABELS, MAX_NAME, MAX_PATH,
};
pub use router::{Replaced, Router};
pub use rules::{ReadReport, Rules};
pub use verdict::{Mapped, Route, Verdict};
