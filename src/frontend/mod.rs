//! The frontends, through which clients reach the dispatcher. Each frontend owns its listener, its
//! connections and the encoding of its protocol. None decides about a request or depends on another
//! frontend.

mod accept_error;
pub mod http2;
pub mod resp;
