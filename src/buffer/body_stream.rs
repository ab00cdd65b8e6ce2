//! A response body that is streamed: one ring buffer between the endpoint that sends it and the client that
//! receives it. It never holds more than that buffer, knows neither side's wire, and lets neither side wait
//! for the other once that one is gone.

use crate::buffer::ring_buffer::RingBuffer;
use std::cell::{Cell, RefCell, RefMut};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Buffer of one streamed body, in bytes: enough that neither side waits for each read of the other.
const BUFFER_BYTES: usize = 64 * 1024;
/// Buffer of one streamed body where many are open, in bytes: they get slower, and none is refused.
const SMALL_BUFFER_BYTES: usize = 16 * 1024;

struct BodyStream {
    /// How many streams are open, this one among them.
    open_streams: Rc<Cell<usize>>,
    buffer: RefCell<RingBuffer>,
    size: usize,
    /// Bytes that the sender has not put in yet.
    unsent: Cell<usize>,
    sender_gone: Cell<bool>,
    receiver_gone: Cell<bool>,
    /// Bytes were put in, or the sender is gone.
    sent: Notify,
    /// Bytes were taken out, or the receiver is gone.
    received: Notify,
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        self.open_streams.set(self.open_streams.get() - 1);
    }
}

/// The endpoint's end. Dropped before the body is complete, the body is broken off.
pub struct BodySender(Rc<BodyStream>);

/// The client's end. Dropped, nobody wants the rest.
pub struct BodyReceiver(Rc<BodyStream>);

/// All streamed bodies and the memory for them. Guards memory against many clients that read slowly.
#[derive(Debug)]
pub struct BodyStreams {
    open_streams: Rc<Cell<usize>>,
    max_bytes: usize,
}

impl BodyStreams {
    /// None yet; where all buffers together would pass `max` bytes, further ones are small.
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
        let buffer_bytes = if open_streams * BUFFER_BYTES <= self.max_bytes {
            BUFFER_BYTES
        } else {
            SMALL_BUFFER_BYTES
        };
        let stream = Rc::new(BodyStream {
            open_streams: self.open_streams.clone(),
            buffer: RingBuffer::fixed(buffer_bytes.min(size)).into(),
            size,
            unsent: Cell::new(size),
            sender_gone: Cell::new(false),
            receiver_gone: Cell::new(false),
            sent: Notify::new(),
            received: Notify::new(),
        });
        (BodySender(stream.clone()), BodyReceiver(stream))
    }
}

impl BodySender {
    /// Bytes of the body that have not been put in yet.
    pub fn unsent_bytes(&self) -> usize {
        self.0.unsent.get()
    }

    /// Whether the receiver is gone: nobody wants the rest.
    pub fn is_receiver_gone(&self) -> bool {
        self.0.receiver_gone.get()
    }

    /// Puts in what `read` writes to the free part of the buffer, no more than the body's rest; none: the
    /// buffer is full.
    ///
    /// # Errors
    /// Those of `read`.
    pub fn write_with<E>(
        &self,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Option<Result<usize, E>> {
        let mut buffer = self.0.buffer.borrow_mut();
        let spare = buffer.free_slice().ok()?;
        let max = spare.len().min(self.0.unsent.get());
        let read = read(&mut spare[..max]);
        if let Ok(n) = read {
            buffer.commit(n);
            self.0.unsent.set(self.0.unsent.get() - n);
            if n > 0 {
                self.0.sent.notify_one();
            }
        }
        Some(read)
    }

    /// Puts in bytes; how many there was room for.
    pub fn write(&self, bytes: &[u8]) -> usize {
        let mut done = 0;
        while done < bytes.len() && self.unsent_bytes() > 0 {
            let copy = |room: &mut [u8]| {
                let n = room.len().min(bytes.len() - done);
                room[..n].copy_from_slice(&bytes[done..done + n]);
                Ok::<_, std::convert::Infallible>(n)
            };
            match self.write_with(copy) {
                Some(Ok(n)) => done += n,
                None => break,
            }
        }
        done
    }

    /// Waits until there is room in the buffer, or the receiver is gone.
    pub async fn wait_for_room(&self) {
        self.0.received.notified().await;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.0.sender_gone.set(true);
        self.0.sent.notify_one();
    }
}

impl BodyReceiver {
    /// Bytes of the complete body.
    pub fn size(&self) -> usize {
        self.0.size
    }

    /// What can be taken out now; to be followed by [`BodyReceiver::consume`].
    pub fn buffer(&self) -> RefMut<'_, RingBuffer> {
        self.0.buffer.borrow_mut()
    }

    /// Notes that so many bytes of [`BodyReceiver::buffer`] were taken.
    pub fn consume(&self, n: usize) {
        self.0.buffer.borrow_mut().consume(n);
        self.0.received.notify_one();
    }

    /// Whether all of it has been taken out.
    pub fn is_complete(&self) -> bool {
        self.0.unsent.get() == 0 && self.is_empty()
    }

    /// Whether it is broken off: the sender is gone, and the body will never be complete.
    pub fn is_broken_off(&self) -> bool {
        self.0.sender_gone.get() && self.0.unsent.get() > 0
    }

    /// Whether nothing can be taken out until more has come.
    pub fn is_empty(&self) -> bool {
        self.0.buffer.borrow().is_empty()
    }

    /// Waits until more has come, or the sender is gone.
    pub async fn wait_for_bytes(&self) {
        self.0.sent.notified().await;
    }
}

impl Drop for BodyReceiver {
    fn drop(&mut self) {
        self.0.receiver_gone.set(true);
        self.0.received.notify_one();
    }
}

impl fmt::Debug for BodyReceiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "BodyReceiver({} bytes, {} to come)",
            self.0.size,
            self.0.unsent.get()
        )
    }
}

/// Two are equal only if they are ends of the same stream.
impl PartialEq for BodyReceiver {
    fn eq(&self, other: &BodyReceiver) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

#[cfg(test)]
mod tests;
