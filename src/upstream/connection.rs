//! One RESP connection to an endpoint: its socket, its ring buffers, and the reading of replies. A
//! connection carries one request at a time.

use crate::buffer::ring_buffer::{RingBuffer, RingBufferFull};
use crate::buffer::socket_io::{readable, uninterrupted, writable};
use crate::protocol::resp::{endpoint_reply, streamed_reply, Parsed, Reply, StreamedReply};
use crate::runtime::dispatcher::ByteBudget;
use crate::upstream::dead_connections::{IdleClass, NEW_CONNECTION};
use crate::upstream::pools::ConnectionSlot;
use crate::upstream::reply_error::ReplyError;
use crate::upstream::reply_pace::ReplyPace;
use std::cell::{Cell, RefCell, RefMut};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Maximum buffered bytes of one direction: enough for a reply with its value, usage and load
/// report.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// A reply of at most this many bytes counts against no budget.
const SMALL_REPLY_BYTES: usize = 8 * 1024;
/// Interval of the checks whether other replies have made room for a reply.
const MEMORY_POLL: Duration = Duration::from_millis(5);
/// Bytes of a streamed value that must arrive before streaming to the client starts. Guards against
/// a wrong length: until then the attempt can be repeated at another endpoint.
pub(super) const MIN_STREAMED_START_BYTES: usize = 4 * 1024;

/// A RESP connection to an endpoint.
pub(super) struct Connection {
    stream: TcpStream,
    addr: SocketAddr,
    input: RefCell<RingBuffer>,
    output: RefCell<RingBuffer>,
    /// Idle time before the connection was last taken from the pool.
    idle_class: Cell<IdleClass>,
    _slot: ConnectionSlot,
}

/// The result of reading a reply.
pub(super) enum Incoming<T> {
    /// A complete reply.
    Reply(T),
    /// The head of a reply whose value is to be streamed, and the first bytes of the value, none of
    /// them consumed.
    Streamed(StreamedReply),
}

/// The result of parsing the bytes of a reply that are here.
enum ParsedReply<T> {
    Incoming(Incoming<T>),
    /// Parse again once this many bytes are here.
    More(usize),
}

/// Waits until the budget has room for a reply of this size.
async fn reserve(memory: &ByteBudget, bytes: usize) {
    while !memory.try_add(bytes) {
        tokio::time::sleep(MEMORY_POLL).await;
    }
}

/// The connection has ended, or its ring buffer is full.
pub(super) struct ConnectionEnded;

impl Connection {
    /// Wraps the socket of a newly established connection.
    pub(super) fn new(stream: TcpStream, addr: SocketAddr, slot: ConnectionSlot) -> Connection {
        Connection {
            stream,
            addr,
            input: RingBuffer::new(MAX_BUFFERED_BYTES).into(),
            output: RingBuffer::new(MAX_BUFFERED_BYTES).into(),
            idle_class: Cell::new(NEW_CONNECTION),
            _slot: slot,
        }
    }

    /// The socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The address of the endpoint.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Idle time before the connection was last taken from the pool.
    pub(super) fn idle_class(&self) -> IdleClass {
        self.idle_class.get()
    }

    /// Records the idle time when the connection is taken from the pool.
    pub(super) fn set_idle_class(&self, class: IdleClass) {
        self.idle_class.set(class);
    }

    /// Whether received bytes have not been consumed.
    pub(super) fn has_unread_bytes(&self) -> bool {
        !self.input.borrow().is_empty()
    }

    /// The received bytes that have not been consumed.
    pub(super) fn input(&self) -> RefMut<'_, RingBuffer> {
        self.input.borrow_mut()
    }

    /// Lets the system end the connection if the endpoint's system takes no bytes for this long, so that
    /// bytes which wait in the send buffer are not delivered later. `None` removes the limit.
    pub(super) fn set_send_timeout(&self, limit: Option<Duration>) {
        // Fails only if the socket is closed.
        let _ = socket2::SockRef::from(&self.stream).set_tcp_user_timeout(limit);
    }

    /// Queues bytes for writing.
    ///
    /// # Errors
    /// The bytes exceed the free space of the ring buffer.
    pub(super) fn queue(&self, bytes: &[u8]) -> Result<(), RingBufferFull> {
        self.output.borrow_mut().push(bytes)
    }

    /// Writes the queued bytes. Returns false if the connection ended before the last byte was
    /// written, or if `may_write` no longer allowed it.
    pub(super) async fn write_queued(&self, may_write: impl Fn() -> bool) -> bool {
        loop {
            let written = {
                let mut output = self.output.borrow_mut();
                if output.is_empty() {
                    return true;
                }
                if !may_write() {
                    return false;
                }
                let written = uninterrupted(|| self.stream.try_write(output.first_slice()));
                if let Ok(n) = written {
                    output.consume(n);
                }
                written
            };
            match written {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if writable(&self.stream).await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
    }

    /// Reads available bytes into the ring buffer. Returns false if no bytes were available.
    ///
    /// # Errors
    /// The connection has ended, or the ring buffer is full.
    pub(super) fn read_available(&self) -> Result<bool, ConnectionEnded> {
        let mut input = self.input.borrow_mut();
        let free = input.free_slice().map_err(|_| ConnectionEnded)?;
        match uninterrupted(|| self.stream.try_read(free)) {
            Ok(0) => Err(ConnectionEnded),
            Ok(n) => {
                input.commit(n);
                Ok(true)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(ConnectionEnded),
        }
    }

    /// Reads one reply and interprets it. A reply of more than [`SMALL_REPLY_BYTES`] is read on once
    /// `memory` has room for it. A reply that stalls is reported by `on_stall` and awaited
    /// further: the caller ends the attempt at its deadline.
    ///
    /// # Errors
    /// The connection ended, or the reply cannot be interpreted.
    pub(super) async fn read_reply<T>(
        &self,
        mut pace: ReplyPace,
        memory: &ByteBudget,
        on_stall: impl Fn(),
        interpret: impl Fn(Reply) -> Option<T>,
    ) -> Result<Incoming<T>, ReplyError> {
        let mut min_bytes = 1;
        let mut reserved = false;
        loop {
            if self.read_available().map_err(|_| ReplyError::Ended)? {
                pace.bytes_arrived(Instant::now());
            } else if !self
                .readable_until(pace.next_change(Instant::now()))
                .await?
            {
                if pace.take_stall(Instant::now()) {
                    on_stall();
                }
            } else {
                continue;
            }
            let streams_early = pace.streams_early(Instant::now());
            if self.input.borrow().len() < min_bytes && !streams_early {
                continue;
            }
            match self.parse_reply(streams_early, &interpret)? {
                ParsedReply::Incoming(incoming) => return Ok(incoming),
                ParsedReply::More(bytes) => min_bytes = bytes,
            }
            if min_bytes > SMALL_REPLY_BYTES && !reserved {
                reserve(memory, min_bytes).await;
                reserved = true;
            }
        }
    }

    /// Parses the bytes that are here. With `streams_early`, one byte of a long value suffices to
    /// stream it.
    fn parse_reply<T>(
        &self,
        streams_early: bool,
        interpret: impl Fn(Reply) -> Option<T>,
    ) -> Result<ParsedReply<T>, ReplyError> {
        let mut input = self.input.borrow_mut();
        match endpoint_reply(input.contiguous()) {
            Ok(Parsed::Complete(reply, length)) => {
                let value = interpret(reply).ok_or(ReplyError::Malformed)?;
                input.consume(length);
                Ok(ParsedReply::Incoming(Incoming::Reply(value)))
            }
            Ok(Parsed::More(missing)) => Ok(ParsedReply::More(input.len() + missing)),
            // Too long to be buffered completely, or malformed.
            Err(_) => {
                let streamed = streamed_reply(input.contiguous()).ok_or(ReplyError::Malformed)?;
                let start_bytes = if streams_early {
                    1
                } else {
                    MIN_STREAMED_START_BYTES
                };
                Ok(if input.len() >= streamed.head_bytes + start_bytes {
                    ParsedReply::Incoming(Incoming::Streamed(streamed))
                } else {
                    ParsedReply::More(streamed.head_bytes + MIN_STREAMED_START_BYTES)
                })
            }
        }
    }

    /// Waits until the socket is readable. Returns false if `until` passed first.
    ///
    /// # Errors
    /// The connection ended.
    async fn readable_until(&self, until: Option<Instant>) -> Result<bool, ReplyError> {
        let result = match until {
            Some(until) => match timeout_at(until, readable(&self.stream)).await {
                Ok(result) => result,
                Err(_) => return Ok(false),
            },
            None => readable(&self.stream).await,
        };
        result.map(|()| true).map_err(|_| ReplyError::Ended)
    }
}
