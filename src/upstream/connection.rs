//! One RESP connection to an endpoint: its socket, its ring buffers, and how a reply is read from it. It carries one
//! request at a time.

use crate::buffer::ring_buffer::{RingBuffer, RingBufferFull};
use crate::protocol::resp::{endpoint_reply, streamed_reply, Parsed, Reply, StreamedReply};
use crate::upstream::dead_connections::{IdleClass, NEW_CONNECTION};
use crate::upstream::pools::ConnectionSlot;
use std::cell::{Cell, RefCell, RefMut};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

/// Most bytes of one direction that wait in memory: a reply with its value, its usage and its load report.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;
/// This much of a streamed value must have come before it is streamed to the client. Guards against a wrong length:
/// until then the attempt can be made elsewhere.
const MIN_STREAMED_START_BYTES: usize = 4 * 1024;

/// A RESP connection.
pub(super) struct Connection {
    stream: TcpStream,
    addr: SocketAddr,
    input: RefCell<RingBuffer>,
    output: RefCell<RingBuffer>,
    /// How long it had been idle when it was last taken.
    idle_class: Cell<IdleClass>,
    _slot: ConnectionSlot,
}

/// What a connection brought.
pub(super) enum Incoming<T> {
    /// A complete reply.
    Reply(T),
    /// The head of a reply whose value is to be streamed, and the first bytes of the value; all unread.
    Streamed(StreamedReply),
}

/// The connection has ended, or brought more than its ring buffer holds.
pub(super) struct ConnectionEnded;

impl Connection {
    /// A new connection.
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

    /// Its socket.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// The address that it goes to.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// How long it had been idle when it was last taken.
    pub(super) fn idle_class(&self) -> IdleClass {
        self.idle_class.get()
    }

    /// Notes how long it had been idle as it is taken.
    pub(super) fn set_idle_class(&self, class: IdleClass) {
        self.idle_class.set(class);
    }

    /// Whether bytes have come that nobody has read.
    pub(super) fn has_unread_bytes(&self) -> bool {
        !self.input.borrow().is_empty()
    }

    /// The bytes that have come.
    pub(super) fn input(&self) -> RefMut<'_, RingBuffer> {
        self.input.borrow_mut()
    }

    /// Queues bytes to be written.
    ///
    /// # Errors
    /// They are more than the ring buffer holds.
    pub(super) fn queue(&self, bytes: &[u8]) -> Result<(), RingBufferFull> {
        self.output.borrow_mut().push(bytes)
    }

    /// Writes what is queued; false: the connection ended before the last byte was written.
    pub(super) async fn write_queued(&self) -> bool {
        loop {
            let written = {
                let mut output = self.output.borrow_mut();
                if output.is_empty() {
                    return true;
                }
                let written = self.stream.try_write(output.first_slice());
                if let Ok(n) = written {
                    output.consume(n);
                }
                written
            };
            match written {
                Ok(_) => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if self.stream.writable().await.is_err() {
                        return false;
                    }
                }
                Err(_) => return false,
            }
        }
    }

    /// Reads what has come into the ring buffer; false: nothing has.
    ///
    /// # Errors
    /// The connection has ended, or the ring buffer is full.
    pub(super) fn read_available(&self) -> Result<bool, ConnectionEnded> {
        let mut input = self.input.borrow_mut();
        let spare = input.free_slice().map_err(|_| ConnectionEnded)?;
        match self.stream.try_read(spare) {
            Ok(0) => Err(ConnectionEnded),
            Ok(n) => {
                input.commit(n);
                Ok(true)
            }
            Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(false),
            Err(_) => Err(ConnectionEnded),
        }
    }

    /// Reads one reply and interprets it; none: the connection ended or brought what cannot be interpreted,
    /// or a reply began and nothing more came for `stall_timeout`.
    pub(super) async fn read_reply<T>(
        &self,
        stall_timeout: Duration,
        interpret: impl Fn(Reply) -> Option<T>,
    ) -> Option<Incoming<T>> {
        let mut min_bytes = 1;
        // The stall timeout runs from the first bytes of the reply on.
        let mut stalled_at: Option<Instant> = None;
        loop {
            if !self.read_available().ok()? {
                self.readable_until(stalled_at).await?;
                continue;
            }
            stalled_at = stalled_at.map(|_| Instant::now() + stall_timeout);
            let mut input = self.input.borrow_mut();
            if input.len() < min_bytes {
                continue;
            }
            match endpoint_reply(input.contiguous()) {
                Ok(Parsed::Complete(reply, length)) => {
                    let value = interpret(reply)?;
                    input.consume(length);
                    return Some(Incoming::Reply(value));
                }
                Ok(Parsed::More(missing)) => min_bytes = input.len() + missing,
                // Too long to be held whole, or malformed.
                Err(_) => {
                    let streamed = streamed_reply(input.contiguous())?;
                    min_bytes = streamed.head_bytes + MIN_STREAMED_START_BYTES;
                    if input.len() >= min_bytes {
                        return Some(Incoming::Streamed(streamed));
                    }
                }
            }
            stalled_at.get_or_insert_with(|| Instant::now() + stall_timeout);
        }
    }

    /// Waits until there is something to read; none: the connection ended, or it was not so in time.
    async fn readable_until(&self, until: Option<Instant>) -> Option<()> {
        match until {
            Some(until) => timeout_at(until, self.stream.readable()).await.ok()?.ok(),
            None => self.stream.readable().await.ok(),
        }
    }
}
