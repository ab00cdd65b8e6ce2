//! Streaming of a response body through a ring buffer, from the endpoint that sends it to the
//! client that receives it. A stream uses no more memory than its buffer and is independent of the
//! protocols on both sides. When one side is dropped, the other one stops waiting.

use crate::buffer::ring_buffer::RingBuffer;
use std::cell::{Cell, RefCell, RefMut};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Buffer size of a streamed body, in bytes: large enough that neither side waits for every single
/// read of the other.
const BUFFER_BYTES: usize = 64 * 1024;
/// Buffer size of a streamed body when many streams are open, in bytes. Streams become slower, but
/// none is refused.
const SMALL_BUFFER_BYTES: usize = 16 * 1024;

struct BodyStream {
    /// Number of open streams, this one included.
    open_streams: Rc<Cell<usize>>,
    buffer: RefCell<RingBuffer>,
    size: usize,
    /// Bytes that the sender has not written yet.
    unsent: Cell<usize>,
    sender_dropped: Cell<bool>,
    receiver_dropped: Cell<bool>,
    /// Notified when bytes are written or the sender is dropped.
    sent: Notify,
    /// Notified when bytes are consumed or the receiver is dropped.
    received: Notify,
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        self.open_streams.set(self.open_streams.get() - 1);
    }
}

/// The endpoint's side of a stream. Dropping the sender before the body is complete truncates the
/// body.
pub struct BodySender(Rc<BodyStream>);

/// The client's side of a stream. Dropping the receiver means that the rest of the body is not
/// needed.
pub struct BodyReceiver(Rc<BodyStream>);

/// All streamed bodies and their memory limit, which bounds the memory when many clients read
/// slowly.
#[derive(Debug)]
pub struct BodyStreams {
    open_streams: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl BodyStreams {
    /// Creates a set without streams. Once large buffers would take more than half of `max` bytes, new
    /// streams get small buffers.
    pub fn new(max: usize) -> BodyStreams {
        BodyStreams {
            open_streams: Rc::default(),
            max_bytes: max,
        }
    }

    /// Opens a stream for a body of `size` bytes.
    pub fn open(&self, size: usize) -> (BodySender, BodyReceiver) {
        let open_streams = self.open_streams.get() + 1;
        self.open_streams.set(open_streams);
        let buffer_bytes = if open_streams * BUFFER_BYTES <= self.max_bytes / 2 {
            BUFFER_BYTES
        } else {
            SMALL_BUFFER_BYTES
        };
        let stream = Rc::new(BodyStream {
            open_streams: self.open_streams.clone(),
            buffer: RingBuffer::fixed(buffer_bytes.min(size)).into(),
            size,
            unsent: Cell::new(size),
            sender_dropped: Cell::new(false),
            receiver_dropped: Cell::new(false),
            sent: Notify::new(),
            received: Notify::new(),
        });
        (BodySender(stream.clone()), BodyReceiver(stream))
    }
}

impl BodySender {
    /// Bytes of the body that have not been written yet.
    pub fn unsent_bytes(&self) -> usize {
        self.0.unsent.get()
    }

    /// Whether the receiver has been dropped, so that the rest of the body is not needed.
    pub fn is_receiver_dropped(&self) -> bool {
        self.0.receiver_dropped.get()
    }

    /// Lets `read` fill the free part of the buffer, at most up to the end of the body. Returns
    /// none if the buffer is full.
    ///
    /// # Errors
    /// Returns the errors of `read`.
    pub fn write_with<E>(
        &self,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Option<Result<usize, E>> {
        let mut buffer = self.0.buffer.borrow_mut();
        let free = buffer.free_slice().ok()?;
        let max = free.len().min(self.0.unsent.get());
        let read = read(&mut free[..max]);
        if let Ok(n) = read {
            buffer.commit(n);
            self.0.unsent.set(self.0.unsent.get() - n);
            if n > 0 {
                self.0.sent.notify_one();
            }
        }
        Some(read)
    }

    /// Writes as many of the bytes as the buffer has space for, and returns their number.
    pub fn write(&self, bytes: &[u8]) -> usize {
        let mut done = 0;
        while done < bytes.len() && self.unsent_bytes() > 0 {
            let copy = |free: &mut [u8]| {
                let n = free.len().min(bytes.len() - done);
                free[..n].copy_from_slice(&bytes[done..done + n]);
                Ok::<_, std::convert::Infallible>(n)
            };
            match self.write_with(copy) {
                Some(Ok(n)) => done += n,
                None => break,
            }
        }
        done
    }

    /// Waits until the buffer has space or the receiver is dropped.
    pub async fn wait_for_space(&self) {
        self.0.received.notified().await;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.0.sender_dropped.set(true);
        self.0.sent.notify_one();
    }
}

impl BodyReceiver {
    /// Size of the complete body, in bytes.
    pub fn size(&self) -> usize {
        self.0.size
    }

    /// The bytes that can be read now. Call [`BodyReceiver::consume`] after reading them.
    pub fn buffer(&self) -> RefMut<'_, RingBuffer> {
        self.0.buffer.borrow_mut()
    }

    /// Removes `n` bytes that were read from [`BodyReceiver::buffer`].
    pub fn consume(&self, n: usize) {
        self.0.buffer.borrow_mut().consume(n);
        self.0.received.notify_one();
    }

    /// Whether the complete body has been consumed.
    pub fn is_complete(&self) -> bool {
        self.0.unsent.get() == 0 && self.is_empty()
    }

    /// Whether the sender was dropped before the body was complete.
    pub fn is_broken_off(&self) -> bool {
        self.0.sender_dropped.get() && self.0.unsent.get() > 0
    }

    /// Whether no bytes can be read at present.
    pub fn is_empty(&self) -> bool {
        self.0.buffer.borrow().is_empty()
    }

    /// Waits until more bytes arrive or the sender is dropped.
    pub async fn wait_for_bytes(&self) {
        self.0.sent.notified().await;
    }
}

impl Drop for BodyReceiver {
    fn drop(&mut self) {
        self.0.receiver_dropped.set(true);
        self.0.received.notify_one();
    }
}

impl fmt::Debug for BodyReceiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "BodyReceiver({} bytes, {} not yet written)",
            self.0.size,
            self.0.unsent.get()
        )
    }
}

/// Two receivers are equal only if they belong to the same stream.
impl PartialEq for BodyReceiver {
    fn eq(&self, other: &BodyReceiver) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

#[cfg(test)]
mod tests;
