//! The byte buffer of one direction of one connection. It owns its memory: small at first, doubled as needed
//! up to a cap, given back when it has stood empty after a large message. It must never grow past its cap,
//! block, or know what the bytes mean.

/// Bytes that a fresh ring holds.
const FIRST: usize = 1024;
/// An empty ring above this gives its memory back.
const KEEP: usize = 16 * 1024;

/// The ring is at its cap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection's buffer is full")]
pub struct RingBufferFull;

/// A ring buffer.
#[derive(Debug, Default)]
pub struct RingBuffer {
    bytes: Vec<u8>,
    head: usize,
    len: usize,
    cap: usize,
    /// Its size is its cap from the first byte on, and is kept: for bytes that pass through without end.
    fixed: bool,
}

impl RingBuffer {
    /// An empty ring that never holds more than `cap` bytes.
    pub fn new(cap: usize) -> RingBuffer {
        RingBuffer {
            cap: cap.max(1),
            ..RingBuffer::default()
        }
    }

    /// An empty ring that is as large as `cap` once it is used, and stays so.
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

    fn grow(&mut self, min: usize) -> Result<(), RingBufferFull> {
        if min > self.cap {
            return Err(RingBufferFull);
        }
        if min > self.bytes.len() {
            self.whole();
            let min = if self.fixed { self.cap } else { min };
            let size = min.max(FIRST).next_power_of_two().min(self.cap);
            self.bytes.resize(size, 0);
        }
        Ok(())
    }

    /// Room to read into, in one piece; hand what was filled to [`RingBuffer::filled`].
    ///
    /// # Errors
    /// The ring is full at its cap.
    pub fn spare(&mut self) -> Result<&mut [u8], RingBufferFull> {
        if self.len == self.bytes.len() {
            self.grow(self.len + 1)?;
        }
        let size = self.bytes.len();
        let tail = (self.head + self.len) % size;
        let end = if tail < self.head { self.head } else { size };
        Ok(&mut self.bytes[tail..end])
    }

    /// Takes in `n` bytes that were written to [`RingBuffer::spare`].
    pub fn filled(&mut self, n: usize) {
        self.len = (self.len + n).min(self.bytes.len());
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// They would take the ring past its cap; nothing was appended.
    pub fn push(&mut self, mut bytes: &[u8]) -> Result<(), RingBufferFull> {
        self.grow(self.len + bytes.len())?;
        while !bytes.is_empty() {
            let spare = self.spare()?;
            let n = spare.len().min(bytes.len());
            spare[..n].copy_from_slice(&bytes[..n]);
            self.filled(n);
            bytes = &bytes[n..];
        }
        Ok(())
    }

    /// All bytes in one piece.
    pub fn whole(&mut self) -> &[u8] {
        if self.head + self.len > self.bytes.len() {
            self.bytes.rotate_left(self.head);
            self.head = 0;
        }
        &self.bytes[self.head..self.head + self.len]
    }

    /// The first bytes, as many as lie in one piece.
    pub fn front(&self) -> &[u8] {
        &self.bytes[self.head..(self.head + self.len).min(self.bytes.len())]
    }

    /// Drops the first `n` bytes.
    pub fn consume(&mut self, n: usize) {
        let n = n.min(self.len);
        self.len -= n;
        if self.len == 0 {
            self.head = 0;
            if self.bytes.len() > KEEP && !self.fixed {
                self.bytes = Vec::new();
            }
        } else {
            self.head = (self.head + n) % self.bytes.len();
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn bytes_come_out_in_order_across_the_seam_and_the_cap_holds() {
        let mut ring = RingBuffer::new(4096);
        let mut expect = 0u8;
        let mut next = 0u8;
        for round in 0..500 {
            let bytes: Vec<u8> = (0..37 + round % 5)
                .map(|i| next.wrapping_add(i as u8))
                .collect();
            ring.push(&bytes).unwrap();
            next = next.wrapping_add(bytes.len() as u8);
            if ring.len() > 900 {
                let got = ring.whole()[..850].to_vec();
                ring.consume(850);
                for b in got {
                    assert_eq!(b, expect);
                    expect = expect.wrapping_add(1);
                }
            }
        }
        ring.consume(usize::MAX);
        assert!(ring.is_empty());
        assert_eq!(ring.push(&[0; 4097]), Err(RingBufferFull));
        ring.push(&[1; 4096]).unwrap();
        assert_eq!(ring.spare().err(), Some(RingBufferFull));
    }
}
