//! The protocols: RESP and HTTP/1 of the platform, and HTTP/2. Their names on the wire are mapped
//! to the code's terms here.
//!
//! | module | job |
//! | --- | --- |
//! | `wire_names` | the platform's names on the wire and the code's terms for them |
//! | `resp` | RESP: grammar and requests |
//! | `http1` | HTTP/1 answers of the counter and of discovery |
//! | `http2` | HTTP/2: header names, requests, answers, bodies |
//! | `attempt_outcome` | the outcome of an attempt, by the endpoint's answer |
//! | `endpoint_report` | load reports and usage in endpoints' answers |
//! | `parse` | helpers that the parsers share |
//! | `retry_after` | Retry-After in whole milliseconds |

pub mod attempt_outcome;
pub mod endpoint_report;
pub mod http1;
pub mod http2;
mod parse;
pub mod resp;
pub mod retry_after;
pub mod wire_names;
