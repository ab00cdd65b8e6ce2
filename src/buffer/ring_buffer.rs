//! The byte buffer of one direction of one connection. Its memory is small at first, doubled as needed up to
//! a cap, and given back when it is empty after a large message. It never grows past its cap, never blocks,
//! and does not know what the bytes mean.

/// Size of a ring buffer at its first byte: most requests fit.
const INITIAL_BYTES: usize = 1024;
/// An empty ring buffer above this size gives its memory back: one large message must not cost its connection
/// that much for good.
const MAX_EMPTY_BYTES: usize = 16 * 1024;

/// The ring buffer is at its cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection's buffer is full")]
pub struct RingBufferFull;

/// A ring buffer.
#[derive(Debug, Default)]
pub struct RingBuffer {
    bytes: Vec<u8>,
    /// Where the first byte is.
    head: usize,
    /// Bytes held.
    len: usize,
    /// Most bytes that it holds.
    cap: usize,
    /// It has the size of its cap from the first byte on, and keeps it: for a stream of bytes.
    fixed: bool,
}

impl RingBuffer {
    /// An empty ring buffer that never holds more than `cap` bytes, and one at the least.
    pub fn new(cap: usize) -> RingBuffer {
        RingBuffer {
            cap: cap.max(1),
            ..RingBuffer::default()
        }
    }

    /// An empty ring buffer that is as large as `cap` bytes once it is used, and stays so.
    pub fn fixed(cap: usize) -> RingBuffer {
        RingBuffer {
            fixed: true,
            ..RingBuffer::new(cap)
        }
    }

    /// Bytes held.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Makes its memory hold `min_bytes` at the least.
    fn grow(&mut self, min_bytes: usize) -> Result<(), RingBufferFull> {
        if min_bytes > self.cap {
            return Err(RingBufferFull);
        }
        if min_bytes <= self.bytes.len() {
            return Ok(());
        }
        // The bytes must lie in one piece before the memory is lengthened behind them.
        self.contiguous();
        let wanted = if self.fixed { self.cap } else { min_bytes };
        let size = wanted.max(INITIAL_BYTES).next_power_of_two();
        self.bytes.resize(size.min(self.cap), 0);
        Ok(())
    }

    /// Room to read into, in one piece; hand what was filled to [`RingBuffer::commit`].
    ///
    /// # Errors
    /// The ring buffer is full at its cap.
    pub fn free_slice(&mut self) -> Result<&mut [u8], RingBufferFull> {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1)?;
        }
        let size = self.bytes.len();
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { size };
        Ok(&mut self.bytes[tail..end])
    }

    /// Takes in `n` bytes that were written to [`RingBuffer::free_slice`].
    pub fn commit(&mut self, n: usize) {
        self.len = (self.len + n).min(self.bytes.len());
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// They would take the ring buffer past its cap; nothing was appended.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), RingBufferFull> {
        self.grow(self.len + bytes.len())?;
        while !bytes.is_empty() {
            let spare = self.free_slice()?;
            let n = spare.len().min(bytes.len());
            spare[..n].copy_from_slice(&bytes[..n]);
            self.commit(n);
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// All bytes in one piece.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// The first bytes, as many as lie in one piece.
    pub fn first_slice(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > MAX_EMPTY_BYTES && !self.fixed {
                self.bytes = Vec::new();
            }
        } else {
            self.head = (self.head + n) % self.bytes.len();
        }
    }
}

#[cfg(test)]
mod tests;
