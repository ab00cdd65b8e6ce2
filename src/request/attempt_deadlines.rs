//! Deadlines of attempts, earliest first. A deadline stays queued when its attempt ends and is
//! skipped when it comes due: removing it earlier would need a search of the queue for each
//! attempt.

use crate::decision::driver::RequestId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Microseconds in a millisecond. Deadlines are queued as whole microseconds because floats have no
/// total order.
const US_PER_MS: f64 = 1e3;

/// The deadline of one attempt. Deadlines are ordered by time, then by request and attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct AttemptDeadline {
    due_us: u64,
    /// The id of the request.
    pub(super) request: RequestId,
    /// The attempt's number among the request's attempts.
    pub(super) attempt: u32,
}

impl AttemptDeadline {
    fn due_ms(self) -> f64 {
        self.due_us as f64 / US_PER_MS
    }
}

/// The queued deadlines of all attempts.
#[derive(Default)]
pub(super) struct AttemptDeadlines {
    queue: BinaryHeap<Reverse<AttemptDeadline>>,
}

impl AttemptDeadlines {
    /// Adds the deadline of an attempt, ms on the ingress's clock.
    pub(super) fn push(&mut self, due_ms: f64, request: RequestId, attempt: u32) {
        self.queue.push(Reverse(AttemptDeadline {
            due_us: (due_ms * US_PER_MS) as u64,
            request,
            attempt,
        }));
    }

    /// Removes the earliest deadline that is due by `now_ms`.
    pub(super) fn pop_due(&mut self, now_ms: f64) -> Option<AttemptDeadline> {
        let Reverse(earliest) = self.queue.peek()?;
        if earliest.due_us as f64 > now_ms * US_PER_MS {
            return None;
        }
        self.queue.pop().map(|Reverse(deadline)| deadline)
    }

    /// Returns the time of the earliest deadline whose attempt is still running, ms. Drops earlier
    /// deadlines, since each would cause a needless wake-up.
    pub(super) fn next_due_ms(
        &mut self,
        is_running: impl Fn(AttemptDeadline) -> bool,
    ) -> Option<f64> {
        while let Some(Reverse(earliest)) = self.queue.peek() {
            if is_running(*earliest) {
                return Some(earliest.due_ms());
            }
            self.queue.pop();
        }
        None
    }
}
