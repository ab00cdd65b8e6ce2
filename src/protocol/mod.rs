//! The wires: RESP and HTTP/1 of the platform, HTTP/2. Their words are mapped to the terms of the code here.

pub mod attempt_outcome;
pub mod endpoint_report;
pub mod http1;
pub mod http2;
mod parse;
pub mod resp;
pub mod wire_names;
