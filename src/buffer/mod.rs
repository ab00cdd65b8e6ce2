//! Bounded buffers between sockets: the bytes of one direction of a connection (`ring_buffer`), and
//! a response body that is streamed from an endpoint to a client (`body_stream`); and reads and writes
//! of sockets (`socket_io`).

pub mod body_stream;
pub mod ring_buffer;
pub mod socket_io;
