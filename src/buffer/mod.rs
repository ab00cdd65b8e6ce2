//! Bounded memory between two sockets: the bytes of one direction of a connection (`ring_buffer`), and a
//! response body on its way from an endpoint to a client (`body_stream`).

pub mod body_stream;
pub mod ring_buffer;
