//! The wires: RESP and HTTP/1 of the platform, HTTP/2. Their words are mapped to the terms of the code here.
//!
//! | module | job |
//! | --- | --- |
//! | `wire_names` | the platform's words and the terms for them, in one table |
//! | `resp` | RESP: its grammar, requests on it |
//! | `http1` | HTTP/1 answers of the counter and discovery |
//! | `http2` | HTTP/2: header names, requests, answers, bodies |
//! | `attempt_outcome` | what an endpoint's answer proves of an attempt |
//! | `endpoint_report` | load reports and usage that come with answers |
//! | `parse` | what the grammars share |
//! | `retry_after` | Retry-After in whole milliseconds |

pub mod attempt_outcome;
pub mod endpoint_report;
pub mod http1;
pub mod http2;
mod parse;
pub mod resp;
pub mod retry_after;
pub mod wire_names;
