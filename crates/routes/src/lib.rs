//! Evaluates the operator's routing rules on requests, before any other decision about them.
//!
//! The rules are evaluated in order. They determine the class that an HTTP request is mapped to,
//! the pool of endpoints that may serve it, the local limits that it must pass, the notes that it
//! carries, and whether it is rejected.
//!
//! [`Rules::read`] checks a whole file and reports every fault; [`Rules::read_table`] also reuses
//! unchanged rules of those in force. [`Router::route`] routes a request at a given time. The rules
//! are expressions of `driftgap-expr`, so the highest cost of a request and the classes that it can
//! be mapped to are known when the file is read. A rule that would allow retries of a request that
//! must not run twice is refused.
//!
//! The modules by concern, each built on those before:
//!
//! - reading: `document` splits a file into rules, `reader` reads TOML values, `expression_reader`,
//!   `mapped_request` and `rule_reader` check a rule, `effect` proves its idempotency,
//!   `file_reader` reads a file, `takeover` finds unchanged rules, `read` is the entry point;
//! - in memory: `rule`, `rules`, `pool`, `limit`, `cost`, `content_hash`;
//! - serving: `request` is the input, `evaluation` applies the rules to it, `pool_bits` resolves
//!   its pool, `router` holds the rules in force, `verdict` is the result;
//! - at a terminal: `explain`.
//!
//! The crate does no I/O and reads no clock. It chooses no endpoint: the decision module does,
//! among the endpoints of the pool.

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
