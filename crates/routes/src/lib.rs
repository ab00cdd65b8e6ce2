//! Ordered rules that decide where a request belongs before anything else is decided about it: which command it
//! is, which pool of endpoints may serve it, which local limits it must pass, what is noted on it, and whether
//! it is turned away at once.
//!
//! [`Rules::read`] judges a file whole and names every fault; [`Rules::read_part`] takes over what rules in force
//! have already. [`Router::route`] takes a request and a time. The rules are expressions of `driftgap-expr`, so that what a request can cost is known when the file is read, and
//! so is which class it can get: a rule that could make a request with an effect safe to repeat is refused.
//!
//! It does no I/O and reads no clock. Which endpoint of a pool serves a request is not decided here.

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
mod limit;
mod mapped_request;
mod names;
mod pool;
mod pool_bits;
mod read;
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
pub use explain::{Explained, Explainer};
pub use fault::Fault;
pub use limit::{Allowance, KeyHash, Limit, LimitExceeded, LimitStatistics, Ticket};
pub use pool::{ANY, MAX_POOLS};
pub use pool_bits::{TooSoon, ALL};
pub use read::{ReadOptions, DEFAULT_MAX_BYTES};
pub use request::{
    bound, endpoint_schema, request_schema, Endpoint, Headers, NoHeaders, Request, MAX_HEADER,
    MAX_HEADERS, MAX_LABELS, MAX_NAME, MAX_PATH,
};
pub use router::{Replaced, Router};
pub use rules::{ReadReport, Rules};
pub use verdict::{Mapped, Route, Verdict};
