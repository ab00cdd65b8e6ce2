//! How often an ingress polls discovery and for how long it waits: every interval that bounds the age of its endpoint
//! list. It owns the backoff of small fleets and the time slots of large ones. It must never let the polls of a fleet
//! that has no list exceed what discovery can serve, or depend on anything but settings, time and a random number.
//!
//! Where lists are pushed, the agent is on this machine, answers at once and costs nothing, so polls are short and
//! often. Where they come on request, discovery is one service for the whole fleet, serves its calls one after the
//! other, and also works on those that have been given up: calls that come faster than it works keep it overloaded
//! for good. A fleet of more than [`MAX_FLEET_WITH_BACKOFF`] therefore polls in time slots: each ingress has one, by
//! its rank, in every round of the clock that all share, so that calls reach discovery one by one.

/// How long a watch waits for a change where lists are pushed, ms. A longer one would cost nothing, but a connection
/// that died unnoticed is found only at its end.
const PUSHED_WATCH_MS: f64 = 2000.0;
/// How long after its wait the answer to a watch may come, and how long an immediate answer may take, where lists are
/// pushed, ms. The agent is on this machine; with more, one that comes back may be reached only after a change counts
/// as notified.
const PUSHED_ANSWER_TIMEOUT_MS: f64 = 500.0;
/// How long a connect may take where lists are pushed, ms.
const PUSHED_CONNECT_TIMEOUT_MS: f64 = 300.0;
/// First and longest backoff where lists are pushed, ms: polls cost the agent nothing, so the list is soon current.
const PUSHED_FIRST_BACKOFF_MS: f64 = 20.0;
const PUSHED_LONGEST_BACKOFF_MS: f64 = 100.0;

/// How long after its wait the answer to a watch may come, on request, ms: some calls may be ahead of it. More leaves
/// an ingress with a dead connection uninformed for longer.
const WATCH_GRACE_MS: f64 = 1000.0;
/// How long an immediate answer may take, on request, ms: ten calls at [`ASSUMED_CALL_MS`]. Less gives up calls that
/// discovery works on all the same.
const ANSWER_TIMEOUT_MS: f64 = 2000.0;
/// How long a connect may take, on request, ms.
const CONNECT_TIMEOUT_MS: f64 = 500.0;
/// The largest fleet whose ingresses poll at any time; larger ones take time slots. More would, after an outage,
/// overload discovery by chance.
const MAX_FLEET_WITH_BACKOFF: u32 = 10;
/// The first backoff for each ingress of the fleet, ms.
const FIRST_BACKOFF_PER_INGRESS_MS: f64 = 10.0;
/// The longest backoff is so many times the first one, and [`MIN_LONGEST_BACKOFF_MS`] at least.
const LONGEST_BACKOFF_FACTOR: f64 = 5.0;
/// The longest backoff of the smallest fleet, ms.
const MIN_LONGEST_BACKOFF_MS: f64 = 500.0;
/// So many doublings at most, of a backoff or of the parts that take turns: far beyond the longest pause, and no
/// overflow.
const MAX_DOUBLINGS: u32 = 16;
/// The time that a call is taken to cost discovery, ms: a round has one for each ingress. Where it costs more,
/// discovery is overloaded until late rejections spread the calls.
pub(super) const ASSUMED_CALL_MS: f64 = 200.0;
/// The share of discovery's time that watches opened anew may take. The rest is for ingresses that have no list.
const WATCH_SHARE: f64 = 0.6;
/// The shortest and the longest wait of a watch, on request, ms: a longer one hides a dead connection for as long.
const MIN_WATCH_MS: f64 = 2000.0;
const MAX_WATCH_MS: f64 = 20_000.0;
/// A change counts as notified this long after discovery had it and could be reached, ms: from then on the ingress
/// has to act on it. The platform's figure.
pub(super) const NOTIFIED_AFTER_MS: f64 = 6000.0;
/// The shortest round, ms: a call in its slot has the usual time for a connection and an answer before the next one.
const MIN_ROUND_MS: f64 = CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS;
/// The longest round with which every call reaches discovery before a change counts as notified, ms: behind a
/// connection that did not come up, with another one ahead of the call.
const MAX_PROMPT_ROUND_MS: f64 = NOTIFIED_AFTER_MS - 2.0 * CONNECT_TIMEOUT_MS;
/// A call that is rejected after this or later has stood in the queue of an overloaded discovery, ms.
const LATE_REJECTION_MS: f64 = 1000.0;
/// The longest round of all, and the longest pause for an overloaded discovery, ms. Longer ones would spare a larger
/// fleet's discovery, at the price of older lists.
const MAX_ROUND_MS: f64 = 15_000.0;
/// Fleets too large for a prompt round make their first polls within this, ms: what is new counts as notified
/// [`NOTIFIED_AFTER_MS`] after the start.
const FIRST_POLL_SPREAD_MS: f64 = 4500.0;

/// The intervals of one ingress, ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PollSchedule {
    /// How long a watch waits for a change.
    pub watch_ms: f64,
    /// An answer to a watch that is later than its wait by this will not come.
    pub watch_grace_ms: f64,
    /// Nor one to a call that is answered at once, by then. In time slots such a call lasts until the first slot of
    /// this ingress that is at least this far off.
    pub answer_timeout_ms: f64,
    /// A connection that is not up by then will not come up.
    pub connect_timeout_ms: f64,
    /// When a failed poll is made anew.
    pub retry: RetrySchedule,
    /// When a process that holds a list makes its first poll.
    pub first_poll: FirstPoll,
}

/// When a failed poll is made anew.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RetrySchedule {
    /// After a time that doubles with each failure in a row, from the first to the longest, spread by half of it.
    Backoff { first_ms: f64, longest_ms: f64 },
    /// In this ingress's next time slot.
    TimeSlots(TimeSlots),
}

/// When a process that holds a list makes its first poll.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FirstPoll {
    /// At a random time within this, ms.
    Within(f64),
    /// In this ingress's next time slot.
    InTimeSlot,
}

/// Time slots by rank on the clock that all ingresses share: one of each ingress in every round, evenly spaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TimeSlots {
    /// From one slot of an ingress to its next, ms.
    pub round_ms: f64,
    /// This ingress's number in its fleet.
    rank: u32,
    /// Its slot's place in the round, ms.
    offset_ms: f64,
}

impl TimeSlots {
    fn new(round_ms: f64, position: u32, ingresses: u32) -> TimeSlots {
        // A position beyond the fleet, as during a change of its size, shares another one's slot.
        let rank = position % ingresses;
        TimeSlots {
            round_ms,
            rank,
            offset_ms: round_ms * f64::from(rank) / f64::from(ingresses),
        }
    }

    /// The number of the round whose slot is the first after this time.
    fn next_round(&self, now: f64) -> f64 {
        ((now - self.offset_ms) / self.round_ms).floor() + 1.0
    }

    /// When this round's slot is, ms of Unix time.
    fn slot_at(&self, round: f64) -> f64 {
        self.offset_ms + round * self.round_ms
    }

    /// The first slot after this time, both in ms of Unix time.
    pub fn next_slot_at(&self, now: f64) -> f64 {
        self.slot_at(self.next_round(now))
    }

    /// The slot after a call that failed at `now`.
    ///
    /// Guards against a discovery that stays overloaded, which shows as rejections that come late: it is left a
    /// round, if that is not too long, and then gets the calls of a part of the fleet in each round, half as many
    /// with each late rejection in a row. Its queue thus empties, however long its calls take.
    fn slot_after_failure(&self, now: f64, late_rejections: u32) -> f64 {
        let next = self.next_round(now);
        if late_rejections == 0 {
            return self.slot_at(next);
        }
        let parts = f64::from(1u32 << late_rejections.min(MAX_DOUBLINGS))
            .min((MAX_ROUND_MS / self.round_ms).floor());
        // Ingresses next to each other in rank are of different parts.
        let of_own_part = |round: f64| round + (-(round + f64::from(self.rank))).rem_euclid(parts);
        let behind_a_round = self.slot_at(of_own_part(next + 1.0));
        if behind_a_round - now <= MAX_ROUND_MS {
            behind_a_round
        } else {
            self.slot_at(of_own_part(next))
        }
    }
}

/// The polls that failed in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Failures {
    /// How many.
    pub count: u32,
    /// Of them the last ones that an overloaded discovery rejected.
    pub late_rejections: u32,
}

impl Failures {
    /// One more, which discovery rejected with a status after so long, ms, or did not answer.
    pub fn add(&mut self, rejected_after_ms: Option<f64>) {
        self.count = self.count.saturating_add(1);
        // Rejected at once: it is away. Late: the call has stood in its queue.
        let overloaded = rejected_after_ms.is_some_and(|ms| ms >= LATE_REJECTION_MS);
        self.late_rejections = if overloaded {
            self.late_rejections.saturating_add(1)
        } else {
            0
        };
    }
}

impl PollSchedule {
    /// The schedule of the ingress at `position` of a fleet, by whether lists come on request or are pushed.
    pub fn new(on_request: bool, ingresses: u32, position: u32) -> PollSchedule {
        let ingresses = ingresses.max(1);
        if !on_request {
            PollSchedule::pushed()
        } else if ingresses <= MAX_FLEET_WITH_BACKOFF {
            PollSchedule::with_backoff(ingresses)
        } else {
            PollSchedule::with_time_slots(ingresses, position)
        }
    }

    fn pushed() -> PollSchedule {
        PollSchedule {
            watch_ms: PUSHED_WATCH_MS,
            watch_grace_ms: PUSHED_ANSWER_TIMEOUT_MS,
            answer_timeout_ms: PUSHED_ANSWER_TIMEOUT_MS,
            connect_timeout_ms: PUSHED_CONNECT_TIMEOUT_MS,
            retry: RetrySchedule::Backoff {
                first_ms: PUSHED_FIRST_BACKOFF_MS,
                longest_ms: PUSHED_LONGEST_BACKOFF_MS,
            },
            first_poll: FirstPoll::Within(0.0),
        }
    }

    fn with_backoff(ingresses: u32) -> PollSchedule {
        let first_ms = FIRST_BACKOFF_PER_INGRESS_MS * f64::from(ingresses);
        let longest_ms = (LONGEST_BACKOFF_FACTOR * first_ms).max(MIN_LONGEST_BACKOFF_MS);
        PollSchedule {
            watch_ms: watch_ms(ingresses),
            watch_grace_ms: WATCH_GRACE_MS,
            answer_timeout_ms: ANSWER_TIMEOUT_MS,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            retry: RetrySchedule::Backoff {
                first_ms,
                longest_ms,
            },
            first_poll: FirstPoll::Within(0.0),
        }
    }

    fn with_time_slots(ingresses: u32, position: u32) -> PollSchedule {
        let work_ms = work_ms(ingresses);
        // One call of each fits into the time after which a change counts as notified, or cannot, in any order.
        let is_prompt = work_ms <= NOTIFIED_AFTER_MS;
        let max_round_ms = if is_prompt {
            MAX_PROMPT_ROUND_MS
        } else {
            MAX_ROUND_MS
        };
        let round_ms = work_ms.clamp(MIN_ROUND_MS, max_round_ms);
        let spare_ms = NOTIFIED_AFTER_MS - CONNECT_TIMEOUT_MS - round_ms;
        let (answer_timeout_ms, first_poll) = if is_prompt {
            (spare_ms.min(ANSWER_TIMEOUT_MS), FirstPoll::InTimeSlot)
        } else {
            (ANSWER_TIMEOUT_MS, FirstPoll::Within(FIRST_POLL_SPREAD_MS))
        };
        PollSchedule {
            watch_ms: watch_ms(ingresses),
            watch_grace_ms: WATCH_GRACE_MS,
            answer_timeout_ms,
            connect_timeout_ms: CONNECT_TIMEOUT_MS,
            retry: RetrySchedule::TimeSlots(TimeSlots::new(round_ms, position, ingresses)),
            first_poll,
        }
    }

    /// The time slots of this ingress, if its fleet polls in them.
    pub fn time_slots(&self) -> Option<&TimeSlots> {
        match &self.retry {
            RetrySchedule::TimeSlots(slots) => Some(slots),
            RetrySchedule::Backoff { .. } => None,
        }
    }

    /// When the last of these polls, which failed at `now`, is made anew; `random` from 0 to 1 spreads ingresses
    /// that back off.
    pub fn retry_at(&self, now: f64, failures: Failures, random: f64) -> f64 {
        match self.retry {
            RetrySchedule::Backoff {
                first_ms,
                longest_ms,
            } => {
                let doublings = failures.count.saturating_sub(1).min(MAX_DOUBLINGS);
                let backoff_ms = (first_ms * f64::from(1u32 << doublings)).min(longest_ms);
                now + backoff_ms * (0.5 + random)
            }
            RetrySchedule::TimeSlots(slots) => {
                slots.slot_after_failure(now, failures.late_rejections)
            }
        }
    }

    /// When a process that holds a list and starts at `now` makes its first poll; `random` is from 0 to 1.
    pub fn first_poll_at(&self, now: f64, random: f64) -> f64 {
        match (self.first_poll, self.time_slots()) {
            (FirstPoll::InTimeSlot, Some(slots)) => slots.next_slot_at(now),
            (FirstPoll::InTimeSlot, None) => now,
            (FirstPoll::Within(spread_ms), _) => now + spread_ms * random,
        }
    }
}

/// What one call of each ingress costs discovery, ms.
fn work_ms(ingresses: u32) -> f64 {
    ASSUMED_CALL_MS * f64::from(ingresses)
}

/// How long the watches of such a fleet wait, on request, ms.
fn watch_ms(ingresses: u32) -> f64 {
    (work_ms(ingresses) / WATCH_SHARE).clamp(MIN_WATCH_MS, MAX_WATCH_MS)
}

#[cfg(test)]
mod tests;
