//! A bound on what all clients together make this process hold.

use std::cell::Cell;
use std::rc::Rc;

/// One client's part of a number of bytes that all clients together may make this process hold: answers that they do
/// not read, or requests of which a part has come.
///
/// Guards memory against many clients that each stay within a bound of their own: with thousands of connections no
/// bound per connection is both useful and safe. Dropping it returns the client's part.
pub struct ByteBudget {
    /// Bytes held for all clients.
    total: Rc<Cell<usize>>,
    /// Most bytes for all clients.
    max: usize,
    /// Bytes held for this client.
    held: Cell<usize>,
}

impl ByteBudget {
    /// Holds nothing yet. `total` is shared by all clients, `max` its bound, bytes.
    pub fn new(total: Rc<Cell<usize>>, max: usize) -> ByteBudget {
        ByteBudget {
            total,
            max,
            held: Cell::new(0),
        }
    }

    /// Adds bytes that are held for this client. False: all clients together hold too many. The bytes count all the
    /// same, until they are released or the client is cut off.
    pub fn add(&self, bytes: usize) -> bool {
        self.held.set(self.held.get() + bytes);
        self.total.set(self.total.get() + bytes);
        self.total.get() <= self.max
    }

    /// Sets the bytes that are held for this client. False: all clients together hold too many.
    pub fn set(&self, bytes: usize) -> bool {
        self.release(usize::MAX);
        self.add(bytes)
    }

    /// Takes off bytes that are held no more; at most what this client holds.
    pub fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.held.get());
        self.held.set(self.held.get() - bytes);
        self.total.set(self.total.get() - bytes);
    }
}

impl Drop for ByteBudget {
    fn drop(&mut self) {
        self.release(usize::MAX);
    }
}

#[cfg(test)]
mod tests;
