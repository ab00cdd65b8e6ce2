//! An HTTP/2 connection that carries many attempts at the same time.
//!
//! `h2` queues a stream above the endpoint's limit and sends its head when a place is free, also after
//! the stream was reset. A request would then be sent without another look at its deadline, its window
//! and the drain of its endpoint. Therefore attempts wait for a place here.

use bytes::Bytes;
use h2::client::SendRequest;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// An HTTP/2 connection to an endpoint.
pub(super) struct SharedConnection {
    pub(super) send: SendRequest<Bytes>,
    pub(super) addr: SocketAddr,
    /// Time of the endpoint's last answer on this connection, ms; minus infinity before the first.
    pub(super) last_received_ms: Cell<f64>,
    /// Time when an attempt last used this connection, ms.
    pub(super) last_used_ms: Cell<f64>,
    /// Whether the connection accepts further streams. Also known to the task that runs it.
    pub(super) alive: Rc<Cell<bool>>,
    open_streams: Cell<usize>,
    stream_closed: Notify,
    /// Whether the endpoint answers nothing any more, so that nothing may reach it later.
    silent: Cell<bool>,
    discard_unsent: Rc<Cell<bool>>,
    /// Ends the task that runs the connection.
    end: Rc<Notify>,
}

/// A place for one stream, free again when dropped.
pub(super) struct StreamSlot(Rc<SharedConnection>);

impl SharedConnection {
    /// Wraps a connection that was established at `now_ms`. `discard_unsent` is the switch of its
    /// stream.
    pub(super) fn new(
        send: SendRequest<Bytes>,
        addr: SocketAddr,
        discard_unsent: Rc<Cell<bool>>,
        now_ms: f64,
    ) -> Rc<SharedConnection> {
        Rc::new(SharedConnection {
            send,
            addr,
            last_received_ms: Cell::new(f64::NEG_INFINITY),
            last_used_ms: Cell::new(now_ms),
            alive: Rc::new(Cell::new(true)),
            open_streams: Cell::default(),
            stream_closed: Notify::new(),
            silent: Cell::default(),
            discard_unsent,
            end: Rc::default(),
        })
    }

    /// Records that the endpoint answers nothing any more. Once no attempt uses the connection, it ends
    /// at once, and what was not sent is discarded.
    pub(super) fn mark_silent(&self) {
        self.silent.set(true);
    }

    /// Notified when the task that runs the connection must end it.
    pub(super) fn end(&self) -> Rc<Notify> {
        self.end.clone()
    }

    /// Whether further streams can be opened to this address.
    pub(super) fn is_usable(&self, addr: SocketAddr) -> bool {
        self.alive.get() && self.addr == addr
    }

    /// Waits for a place among the streams that the endpoint allows.
    pub(super) async fn stream_slot(self: &Rc<Self>) -> StreamSlot {
        while self.open_streams.get() >= self.send.current_max_send_streams() {
            self.stream_closed.notified().await;
        }
        self.open_streams.set(self.open_streams.get() + 1);
        StreamSlot(self.clone())
    }
}

impl Drop for SharedConnection {
    fn drop(&mut self) {
        if self.silent.get() {
            self.discard_unsent.set(true);
            self.end.notify_one();
        }
    }
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        self.0.open_streams.set(self.0.open_streams.get() - 1);
        self.0.stream_closed.notify_one();
    }
}
