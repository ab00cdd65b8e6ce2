//! The frontends: how clients reach the dispatcher. Each owns its listener, its connections and the words of its
//! protocol; none decides anything about a request, or knows another's protocol.

pub mod http2;
pub mod resp;
