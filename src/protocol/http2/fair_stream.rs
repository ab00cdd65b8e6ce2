//! A TCP stream that yields after a number of bytes, so that one peer that sends at full speed does
//! not keep the connections of others waiting.
//!
//! `h2` parses frames until its socket has no more bytes. Most frames are small and answered without
//! the frontend, so a peer that sends them without a pause would hold the thread for long.

use crate::buffer::socket_io::{discard_unsent, uninterrupted};
use std::cell::Cell;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

/// Bytes that are read before other tasks run: some hundreds of the smallest frames. Compressed heads
/// of this size may take a hundred times their size in memory until their streams are served.
const BYTES_PER_TURN: usize = 4 * 1024;

/// A TCP stream that yields after some bytes of input.
pub struct FairStream {
    stream: TcpStream,
    /// Bytes read since other tasks ran.
    read_in_turn: usize,
    /// Receives once other tasks have run.
    end_of_turn: Option<oneshot::Receiver<()>>,
    discards_unsent: Rc<Cell<bool>>,
}

impl FairStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> FairStream {
        FairStream {
            stream,
            read_in_turn: 0,
            end_of_turn: None,
            discards_unsent: Rc::default(),
        }
    }

    /// A switch that `h2`'s owner keeps: once it is set, the end of the stream discards the bytes that
    /// the system has not sent.
    pub fn discard_switch(&self) -> Rc<Cell<bool>> {
        self.discards_unsent.clone()
    }
}

impl Drop for FairStream {
    fn drop(&mut self) {
        if self.discards_unsent.get() {
            discard_unsent(&self.stream);
        }
    }
}

/// Returns a receiver that is notified after the runtime has polled the sockets and the tasks that are
/// ready. A wake-up at once would not let it poll the sockets, and `h2` may read again within one
/// poll of its task.
fn after_other_tasks() -> oneshot::Receiver<()> {
    let (sender, receiver) = oneshot::channel();
    spawn_local(async move {
        tokio::task::yield_now().await;
        // The receiver is gone if the connection has ended.
        let _ = sender.send(());
    });
    receiver
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_in_turn >= BYTES_PER_TURN {
            self.read_in_turn = 0;
            self.end_of_turn = Some(after_other_tasks());
        }
        if let Some(end_of_turn) = &mut self.end_of_turn {
            let _ = ready!(Pin::new(end_of_turn).poll(cx));
            self.end_of_turn = None;
        }
        let max = buf.remaining().min(BYTES_PER_TURN - self.read_in_turn);
        loop {
            let ready = self.stream.poll_read_ready(cx);
            if ready.is_pending() {
                // Other tasks run now.
                self.read_in_turn = 0;
            }
            ready!(ready)?;
            let free = buf.initialize_unfilled_to(max);
            match uninterrupted(|| self.stream.try_read(free)) {
                Ok(count) => {
                    buf.advance(count);
                    self.read_in_turn += count;
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl FairStream {
    /// Writes once the socket takes bytes.
    fn poll_try_write(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn() -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(cx))?;
            match uninterrupted(&write) {
                Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, || self.stream.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_try_write(cx, || self.stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
