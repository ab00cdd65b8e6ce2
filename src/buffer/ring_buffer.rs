//! The byte buffer for one direction of one connection. Its memory starts small, doubles as needed
//! up to a cap, and is released when the buffer becomes empty after a large message. The buffer
//! never exceeds its cap, never blocks, and does not interpret the bytes.

/// Memory of a ring buffer when its first byte arrives, in bytes: most requests fit.
const INITIAL_BYTES: usize = 1024;
/// An empty ring buffer above this size, in bytes, releases its memory: one large message must not
/// occupy that memory for the lifetime of its connection.
const MAX_RETAINED_BYTES: usize = 4 * 1024;

/// The ring buffer has reached its cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection's buffer is full")]
pub struct RingBufferFull;

/// A ring buffer of bytes with a cap on its size.
#[derive(Debug, Default)]
pub struct RingBuffer {
    bytes: Vec<u8>,
    /// Position of the first byte.
    head: usize,
    /// Number of bytes in the buffer.
    len: usize,
    /// Largest number of bytes that the buffer may hold.
    cap: usize,
    /// Whether the buffer allocates its cap at the first byte and keeps that memory, as a stream of
    /// bytes needs.
    fixed: bool,
}

impl RingBuffer {
    /// Creates an empty ring buffer that holds at most `cap` bytes. A `cap` of 0 is raised to 1.
    pub fn new(cap: usize) -> RingBuffer {
        RingBuffer {
            cap: cap.max(1),
            ..RingBuffer::default()
        }
    }

    /// Creates an empty ring buffer that allocates `cap` bytes at first use and keeps them.
    pub fn fixed(cap: usize) -> RingBuffer {
        RingBuffer {
            fixed: true,
            ..RingBuffer::new(cap)
        }
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Grows the memory to at least `min_bytes`.
    fn grow(&mut self, min_bytes: usize) -> Result<(), RingBufferFull> {
        if min_bytes > self.cap {
            return Err(RingBufferFull);
        }
        if min_bytes <= self.bytes.len() {
            return Ok(());
        }
        // The bytes must be contiguous before the memory is extended at its end.
        self.contiguous();
        let required_bytes = if self.fixed { self.cap } else { min_bytes };
        let size = required_bytes.max(INITIAL_BYTES).next_power_of_two();
        self.bytes.resize(size.min(self.cap), 0);
        Ok(())
    }

    /// Returns contiguous free memory to read into. Report the bytes that were filled to
    /// [`RingBuffer::commit`].
    ///
    /// # Errors
    /// The buffer has reached its cap.
    pub fn free_slice(&mut self) -> Result<&mut [u8], RingBufferFull> {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1)?;
        }
        let size = self.bytes.len();
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { size };
        Ok(&mut self.bytes[tail..end])
    }

    /// Adds `n` bytes that were written to [`RingBuffer::free_slice`].
    pub fn commit(&mut self, n: usize) {
        self.len = (self.len + n).min(self.bytes.len());
    }

    /// Appends bytes, all or none.
    ///
    /// # Errors
    /// The bytes would exceed the cap; none was appended.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), RingBufferFull> {
        self.grow(self.len + bytes.len())?;
        while !bytes.is_empty() {
            let free = self.free_slice()?;
            let n = free.len().min(bytes.len());
            free[..n].copy_from_slice(&bytes[..n]);
            self.commit(n);
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// Returns all bytes as one slice, moving them if they wrap around the end of the memory.
    pub fn contiguous(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// Returns the first bytes, up to the end of the contiguous part.
    pub fn first_slice(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Releases the memory of an empty buffer.
    pub fn release(&mut self) {
        if self.is_empty() {
            self.bytes = Vec::new();
            self.head = 0;
        }
    }

    /// Removes the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > MAX_RETAINED_BYTES && !self.fixed {
                self.bytes = Vec::new();
            }
        } else {
            self.head = (self.head + n) % self.bytes.len();
        }
    }
}

#[cfg(test)]
mod tests;
