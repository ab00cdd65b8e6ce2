//! A value that is passed on while it comes: one capped ring between the endpoint that gives it and the client that
//! takes it. It owns the bytes on the way and the word on how the value ended. It must never hold more than its ring,
//! know either side's wire, or let one side wait for another that is gone.

use crate::buffer::ring_buffer::RingBuffer;
use std::cell::{Cell, RefCell, RefMut};
use std::fmt;
use std::rc::Rc;
use tokio::sync::Notify;

/// Most bytes on the way, and where there are many values on the way.
const MAX_ON_WAY: (usize, usize) = (64 * 1024, 16 * 1024);

struct BodyStream {
    open: Rc<Cell<usize>>,
    ring: RefCell<RingBuffer>,
    size: usize,
    /// Bytes that have not been taken in yet.
    left: Cell<usize>,
    /// The end that bytes come in by is gone.
    ended: Cell<bool>,
    gone: Cell<bool>,
    came: Notify,
    went: Notify,
}

impl Drop for BodyStream {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
    }
}

/// The end that bytes come in by. Dropped before the value is whole, the value has broken off.
pub struct BodySender(Rc<BodyStream>);

/// The end that bytes go out by. Dropped, nobody wants the rest.
pub struct BodyReceiver(Rc<BodyStream>);

/// All values on their way, and the memory for them: guards against many clients that read slowly.
#[derive(Debug)]
pub struct BodyStreams {
    open: Rc<Cell<usize>>,
    max: usize,
}

impl BodyStreams {
    /// None yet; beyond `most` bytes in all, further ones get a small ring each.
    pub fn new(max: usize) -> BodyStreams {
        BodyStreams {
            open: Rc::default(),
            max,
        }
    }

    /// A further value.
    pub fn open(&self, size: usize) -> (BodySender, BodyReceiver) {
        let roomy = (self.open.get() + 1) * MAX_ON_WAY.0 <= self.max;
        flow(
            size,
            if roomy { MAX_ON_WAY.0 } else { MAX_ON_WAY.1 },
            &self.open,
        )
    }
}

/// A value of so many bytes, of which none has come.
fn flow(size: usize, cap: usize, open: &Rc<Cell<usize>>) -> (BodySender, BodyReceiver) {
    open.set(open.get() + 1);
    let flow = Rc::new(BodyStream {
        open: open.clone(),
        ring: RingBuffer::fixed(cap.min(size)).into(),
        size,
        left: Cell::new(size),
        ended: Cell::new(false),
        gone: Cell::new(false),
        came: Notify::new(),
        went: Notify::new(),
    });
    (BodySender(flow.clone()), BodyReceiver(flow))
}

impl BodySender {
    /// Bytes still to come.
    pub fn left(&self) -> usize {
        self.0.left.get()
    }

    /// Nobody wants the rest.
    pub fn gone(&self) -> bool {
        self.0.gone.get()
    }

    /// Takes in what `read` writes to the room that there is, no more than the value's rest; none: there is no room.
    pub fn fill<E>(
        &self,
        read: impl FnOnce(&mut [u8]) -> Result<usize, E>,
    ) -> Option<Result<usize, E>> {
        let mut ring = self.0.ring.borrow_mut();
        let spare = ring.spare().ok()?;
        let max = spare.len().min(self.0.left.get());
        let read = read(&mut spare[..max]);
        if let Ok(n) = read {
            ring.filled(n);
            self.0.left.set(self.0.left.get() - n);
            if n > 0 {
                self.0.came.notify_one();
            }
        }
        Some(read)
    }

    /// Takes in bytes that are here already; how many there was room for.
    pub fn push(&self, bytes: &[u8]) -> usize {
        let mut done = 0;
        while done < bytes.len() && self.left() > 0 {
            let copy = |room: &mut [u8]| {
                let n = room.len().min(bytes.len() - done);
                room[..n].copy_from_slice(&bytes[done..done + n]);
                Ok::<_, std::convert::Infallible>(n)
            };
            match self.fill(copy) {
                Some(Ok(n)) => done += n,
                None => break,
            }
        }
        done
    }

    /// Waits until there is room again, or nobody wants more.
    pub async fn room(&self) {
        self.0.went.notified().await;
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        self.0.ended.set(true);
        self.0.came.notify_one();
    }
}

impl BodyReceiver {
    /// Bytes of the whole value.
    pub fn size(&self) -> usize {
        self.0.size
    }

    /// What can be taken out now; to be followed by [`BodyReceiver::took`].
    pub fn bytes(&self) -> RefMut<'_, RingBuffer> {
        self.0.ring.borrow_mut()
    }

    /// Notes that so many bytes of [`BodyReceiver::bytes`] were taken.
    pub fn took(&self, n: usize) {
        self.0.ring.borrow_mut().consume(n);
        self.0.went.notify_one();
    }

    /// Whether all of it has been taken out.
    pub fn over(&self) -> bool {
        self.0.left.get() == 0 && self.dry()
    }

    /// Whether it will never be whole. What has come before is worth nothing to the client.
    pub fn broken(&self) -> bool {
        self.0.ended.get() && self.0.left.get() > 0
    }

    /// Whether nothing can be taken out until more has come.
    pub fn dry(&self) -> bool {
        self.0.ring.borrow().is_empty()
    }

    /// Waits until more has come, or nothing more will.
    pub async fn more(&self) {
        self.0.came.notified().await;
    }
}

impl Drop for BodyReceiver {
    fn drop(&mut self) {
        self.0.gone.set(true);
        self.0.went.notify_one();
    }
}

impl fmt::Debug for BodyReceiver {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "Outlet({} bytes, {} to come)",
            self.0.size,
            self.0.left.get()
        )
    }
}

/// Two are the same only if they are one.
impl PartialEq for BodyReceiver {
    fn eq(&self, other: &BodyReceiver) -> bool {
        Rc::ptr_eq(&self.0, &other.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_value_goes_through_a_ring_far_smaller_than_itself() {
        let value: Vec<u8> = (0..1_000_000u32).map(|i| (i % 251) as u8).collect();
        let ways = BodyStreams::new(1_000_000);
        let (intake, outlet) = ways.open(value.len());
        let (mut sent, mut got) = (0, Vec::new());
        while !outlet.over() {
            sent += intake.push(&value[sent..]);
            assert!(outlet.bytes().len() <= MAX_ON_WAY.0 && !outlet.broken());
            let n = 777.min(outlet.bytes().front().len());
            got.extend_from_slice(&outlet.bytes().front()[..n]);
            outlet.took(n);
        }
        assert!(got == value && intake.left() == 0);
        drop(intake);
        assert!(outlet.over() && !outlet.broken());
    }

    #[test]
    fn either_side_learns_that_the_other_is_gone() {
        let ways = BodyStreams::new(0);
        let (intake, outlet) = ways.open(10);
        assert_eq!(intake.push(b"abcdefghijkl"), 10, "nothing beyond the value");
        drop(outlet);
        assert!(intake.gone());
        drop(intake);
        let (intake, outlet) = ways.open(10);
        intake.push(b"abc");
        drop(intake);
        assert!(outlet.broken() && !outlet.over() && outlet.bytes().front() == b"abc");
        drop(outlet);
        assert_eq!(ways.open.get(), 0);
    }
}
