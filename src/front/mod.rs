//! The fronts: how service clients reach the core. Each owns the listening, the connections and the wording
//! of its wire; none decides anything or knows another's wire.

pub mod http2;
pub mod resp;

use crate::core::Answer;
use std::cell::Cell;
use std::rc::Rc;

/// One end of a front that is owed answers; `ticket` is the front's own mark for one command.
pub trait ServiceClient {
    /// Gives it the one final answer to a command.
    fn answer(&self, ticket: u64, answer: Answer);
}

/// Retry advice in whole milliseconds, never earlier than was meant; none: no advice.
pub fn advice(after_ms: f64) -> Option<u64> {
    (after_ms > 0.0).then(|| after_ms.ceil().min(1e9) as u64)
}

/// What one client has not read yet, out of what all clients together may leave unread. Guards memory against
/// clients that ask for much and read nothing: a cap for each of many connections is no bound.
pub struct Unsent {
    all: Rc<Cell<usize>>,
    most: usize,
    mine: Cell<usize>,
}

impl Unsent {
    /// Nothing yet; `all` is shared by all clients.
    pub fn new(all: Rc<Cell<usize>>, most: usize) -> Unsent {
        Unsent { all, most, mine: Cell::new(0) }
    }

    /// Notes bytes that wait to be sent; false: there are too many, and this client is to be cut off.
    pub fn add(&self, bytes: usize) -> bool {
        self.mine.set(self.mine.get() + bytes);
        self.all.set(self.all.get() + bytes);
        self.all.get() <= self.most
    }

    /// Notes bytes that were sent.
    pub fn sent(&self, bytes: usize) {
        let bytes = bytes.min(self.mine.get());
        self.mine.set(self.mine.get() - bytes);
        self.all.set(self.all.get() - bytes);
    }
}

impl Drop for Unsent {
    fn drop(&mut self) {
        self.sent(usize::MAX);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_clients_leave_unread_is_bounded_over_all_of_them() {
        let all = Rc::default();
        let (a, b) = (Unsent::new(Rc::clone(&all), 100), Unsent::new(Rc::clone(&all), 100));
        assert!(a.add(60) && b.add(40) && !b.add(1));
        a.sent(30);
        assert!(b.add(10) && !b.add(60));
        drop(b);
        assert_eq!(all.get(), 30);
    }

    #[test]
    fn advice_is_never_earlier_than_was_meant() {
        assert_eq!([0.0, 0.2, 250.0, 250.1].map(advice), [None, Some(1), Some(250), Some(251)]);
    }
}
