//! Bounded memory between two sockets.

pub mod body_stream;
pub mod ring_buffer;
