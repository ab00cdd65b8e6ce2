//! The pace at which a reply arrives: when it counts as stalled, and when a long value is streamed to
//! the client though little of it is here.
//!
//! A pause alone does not end an attempt: the endpoint may still answer within the client's time. A
//! stall is reported, so that a request that is safe to repeat can be sent to another endpoint.

use std::time::Duration;
use tokio::time::Instant;

/// Longest time for which the first bytes of a long value are held back. The rest of the guard
/// against wrong lengths, [`super::connection::MIN_STREAMED_START_BYTES`], then no longer applies.
const MAX_HOLD_BACK: Duration = Duration::from_millis(1000);
/// Time before the attempt's deadline by which a long value that is arriving must be streamed, so
/// that its first bytes reach the client in time.
const STREAM_START_MARGIN: Duration = Duration::from_millis(25);

/// The pace of one reply.
pub(super) struct ReplyPace {
    stall_timeout: Duration,
    /// The time of the attempt's deadline, less [`STREAM_START_MARGIN`].
    stream_by: Instant,
    arrival: Option<Arrival>,
}

/// The arrival of a reply that has begun.
#[derive(Clone, Copy)]
struct Arrival {
    begun: Instant,
    last_bytes: Instant,
    /// When the reply counts as stalled, or as stalled once more.
    next_stall: Instant,
}

impl ReplyPace {
    /// The pace of a reply that has not begun. Without bytes for `stall_timeout` it is stalled.
    pub(super) fn new(stall_timeout: Duration, deadline: Instant) -> ReplyPace {
        ReplyPace {
            stall_timeout,
            stream_by: deadline
                .checked_sub(STREAM_START_MARGIN)
                .unwrap_or(deadline),
            arrival: None,
        }
    }

    /// Records the arrival of bytes.
    pub(super) fn bytes_arrived(&mut self, now: Instant) {
        self.arrival = Some(Arrival {
            begun: self.arrival.map_or(now, |arrival| arrival.begun),
            last_bytes: now,
            next_stall: now + self.stall_timeout,
        });
    }

    /// The time of the next change while no bytes arrive; none before the reply has begun.
    pub(super) fn next_change(&self, now: Instant) -> Option<Instant> {
        let arrival = self.arrival?;
        let stream_at = self.stream_at(arrival);
        Some(if now < stream_at {
            arrival.next_stall.min(stream_at)
        } else {
            arrival.next_stall
        })
    }

    /// Whether the reply has stalled since this was last asked.
    pub(super) fn take_stall(&mut self, now: Instant) -> bool {
        let Some(arrival) = self.arrival.as_mut().filter(|a| now >= a.next_stall) else {
            return false;
        };
        arrival.next_stall = now + self.stall_timeout;
        true
    }

    /// Whether a long value is to be streamed now, even if few of its bytes are here: they have been
    /// held back for long enough, and more are arriving.
    pub(super) fn streams_early(&self, now: Instant) -> bool {
        self.arrival.is_some_and(|arrival| {
            now >= self.stream_at(arrival) && now - arrival.last_bytes < self.stall_timeout
        })
    }

    fn stream_at(&self, arrival: Arrival) -> Instant {
        self.stream_by.min(arrival.begun + MAX_HOLD_BACK)
    }
}

#[cfg(test)]
mod tests;
