//! A byte limit that is shared by all clients.

use std::cell::Cell;
use std::rc::Rc;

/// Bytes that a client may hold while all clients together exceed the limit: one answer.
const RESERVED_BYTES: usize = 80 * 1024;

/// One client's use of a byte limit that all clients share: unread answers, or incomplete requests.
///
/// Bounds memory when many clients each stay within a limit of their own: with thousands of
/// connections no limit per connection is both useful and safe. Dropping the budget releases the
/// bytes of its client.
pub struct ByteBudget {
    /// Bytes held for all clients together.
    total: Rc<Cell<usize>>,
    /// Limit for all clients together, bytes.
    max: usize,
    /// Bytes held for this client.
    held: Cell<usize>,
}

impl ByteBudget {
    /// Creates an empty budget. `total` is the counter that all clients share, `max` its limit in
    /// bytes.
    pub fn new(total: Rc<Cell<usize>>, max: usize) -> ByteBudget {
        ByteBudget {
            total,
            max,
            held: Cell::new(0),
        }
    }

    /// Adds bytes to this client's use. Returns false if all clients together exceed the limit; the
    /// bytes still count until they are released or the budget is dropped.
    pub fn add(&self, bytes: usize) -> bool {
        self.held.set(self.held.get() + bytes);
        self.total.set(self.total.get() + bytes);
        self.total.get() <= self.max
    }

    /// Whether this client is to give way: all clients together exceed the limit, and it holds more
    /// than one answer, or they exceed twice the limit and it holds anything. A client that
    /// takes its bytes at once holds nothing and never gives way to those that do not.
    pub fn must_give_way(&self) -> bool {
        let (total, held) = (self.total.get(), self.held.get());
        (total > self.max && held > RESERVED_BYTES) || (total > 2 * self.max && held > 0)
    }

    /// Adds bytes if all clients together then stay within the limit, or if no other client holds
    /// any. Returns whether they were added.
    pub fn try_add(&self, bytes: usize) -> bool {
        let others = self.total.get() - self.held.get();
        let allowed = others == 0 || self.total.get() + bytes <= self.max;
        if allowed {
            self.add(bytes);
        }
        allowed
    }

    /// Replaces this client's use. Returns false if all clients together exceed the limit.
    pub fn set(&self, bytes: usize) -> bool {
        self.release(usize::MAX);
        self.add(bytes)
    }

    /// Releases bytes, at most as many as this client holds.
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
