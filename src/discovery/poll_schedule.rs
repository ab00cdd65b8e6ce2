//! Poll intervals, time-outs and retry times of one ingress. Together they bound the age of its
//! endpoint list.
//!
//! The schedule depends only on settings, time and a random number. It keeps the polls of a fleet
//! that has no list within what discovery can serve.
//!
//! With pushed lists, the agent runs on this machine and answers at once at no cost, so polls are
//! short and frequent. With lists on request, discovery is one service for the whole fleet. It
//! serves calls one after the other and also works on abandoned calls, so calls that arrive faster
//! than it works keep it overloaded permanently. A fleet of more than [`MAX_FLEET_WITH_BACKOFF`]
//! ingresses therefore polls in time slots on their shared clock: each ingress has one slot per
//! round, ordered by rank, so that calls reach discovery one by one.

/// Wait of a watch with pushed lists, ms. A longer wait costs nothing, but a connection that has
/// died unnoticed is detected only at its end.
const PUSHED_WATCH_MS: f64 = 2000.0;
/// With pushed lists: time for the answer to a watch after its wait, and for an immediate answer,
/// ms. With a longer time-out, an agent that has recovered may be reached only after a change
/// already counts as notified.
const PUSHED_ANSWER_TIMEOUT_MS: f64 = 500.0;
/// Time limit of a connect with pushed lists, ms.
const PUSHED_CONNECT_TIMEOUT_MS: f64 = 300.0;
/// First and longest backoff with pushed lists, ms. Polls cost the agent nothing, so short backoffs
/// keep the list current.
const PUSHED_FIRST_BACKOFF_MS: f64 = 20.0;
const PUSHED_LONGEST_BACKOFF_MS: f64 = 100.0;

/// With lists on request: time for the answer to a watch after its wait, ms, since some calls may
/// be queued ahead of it. A longer time leaves an ingress with a dead connection without updates
/// for longer.
const WATCH_GRACE_MS: f64 = 1000.0;
/// With lists on request: time limit of an immediate answer, ms: ten calls of [`ASSUMED_CALL_MS`].
/// A shorter one abandons calls that discovery still works on.
const ANSWER_TIMEOUT_MS: f64 = 2000.0;
/// Time limit of a connect with lists on request, ms.
const CONNECT_TIMEOUT_MS: f64 = 500.0;
/// Largest fleet whose ingresses poll with random backoff; larger fleets use time slots. Random
/// polls of a larger fleet can overload discovery after an outage.
const MAX_FLEET_WITH_BACKOFF: u32 = 10;
/// The first backoff per ingress of the fleet, ms.
const FIRST_BACKOFF_PER_INGRESS_MS: f64 = 10.0;
/// Ratio of the longest backoff to the first one; the longest is at least
/// [`MIN_LONGEST_BACKOFF_MS`].
const LONGEST_BACKOFF_FACTOR: f64 = 5.0;
/// Lower bound of the longest backoff, ms.
const MIN_LONGEST_BACKOFF_MS: f64 = 500.0;
/// Most doublings of a backoff or of the number of ingress groups: far beyond the longest pause,
/// and small enough not to overflow.
const MAX_DOUBLINGS: u32 = 16;
/// Assumed duration of one call at discovery, ms: a round has this much time for each ingress. If
/// calls take longer, discovery is overloaded until late rejections spread the calls.
pub(super) const ASSUMED_CALL_MS: f64 = 200.0;
/// Share of discovery's time for reopened watches. The rest is for ingresses that have no list.
const WATCH_SHARE: f64 = 0.6;
/// The shortest and the longest wait of a watch with lists on request, ms. A longer wait delays the
/// detection of a dead connection.
const MIN_WATCH_MS: f64 = 2000.0;
const MAX_WATCH_MS: f64 = 20_000.0;
/// A change counts as notified this long after discovery had it and was reachable, ms; the ingress
/// must apply it from then on. The platform defines this value.
pub(super) const NOTIFIED_AFTER_MS: f64 = 6000.0;
/// The shortest round, ms: a call in its slot has the full time to connect and to be answered
/// before the next round.
const MIN_ROUND_MS: f64 = CONNECT_TIMEOUT_MS + ANSWER_TIMEOUT_MS;
/// The longest round with which every call reaches discovery before a change counts as notified,
/// ms: a failed connect may precede the round, and another connect follows it.
const MAX_PROMPT_ROUND_MS: f64 = NOTIFIED_AFTER_MS - 2.0 * CONNECT_TIMEOUT_MS;
/// A call that is rejected after at least this long has waited in the queue of an overloaded
/// discovery, ms.
const LATE_REJECTION_MS: f64 = 1000.0;
/// Upper bound of a round, and of the pause for an overloaded discovery, ms. A higher bound
/// relieves discovery of a larger fleet, but makes lists older.
const MAX_ROUND_MS: f64 = 15_000.0;
/// Fleets too large for a prompt round spread their first polls over this time, ms: changes count
/// as notified [`NOTIFIED_AFTER_MS`] after the start.
const FIRST_POLL_SPREAD_MS: f64 = 4500.0;

/// The poll intervals of one ingress, ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PollSchedule {
    /// How long a watch waits for a change.
    pub watch_ms: f64,
    /// A watch without an answer this long after its wait has failed.
    pub watch_grace_ms: f64,
    /// Time limit of a call that is answered at once. With time slots, such a call is abandoned at
    /// the first slot of this ingress that is at least this far ahead.
    pub answer_timeout_ms: f64,
    /// A connect that takes longer than this has failed.
    pub connect_timeout_ms: f64,
    /// When a failed poll is retried.
    pub retry: RetrySchedule,
    /// When a process that already holds a list makes its first poll.
    pub first_poll: FirstPoll,
}

/// When a failed poll is retried.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum RetrySchedule {
    /// After a backoff that doubles with each failure in a row, from the first to the longest,
    /// randomized from 0.5 to 1.5 times its value.
    Backoff { first_ms: f64, longest_ms: f64 },
    /// In this ingress's next time slot.
    TimeSlots(TimeSlots),
}

/// When a process that already holds a list makes its first poll.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum FirstPoll {
    /// At a random time within this duration, ms.
    Within(f64),
    /// In this ingress's next time slot.
    InTimeSlot,
}

/// Time slots by rank on the clock that all ingresses share: each ingress has one slot in every
/// round, evenly spaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TimeSlots {
    /// Time from one slot of an ingress to its next, ms.
    pub round_ms: f64,
    /// This ingress's rank in its fleet.
    rank: u32,
    /// Offset of its slot within the round, ms.
    offset_ms: f64,
}

impl TimeSlots {
    fn new(round_ms: f64, position: u32, ingresses: u32) -> TimeSlots {
        // A position beyond the fleet size, as during a resize, shares the slot of another ingress.
        let rank = position % ingresses;
        TimeSlots {
            round_ms,
            rank,
            offset_ms: round_ms * f64::from(rank) / f64::from(ingresses),
        }
    }

    /// The first round whose slot is after `now`.
    fn next_round(&self, now: f64) -> f64 {
        ((now - self.offset_ms) / self.round_ms).floor() + 1.0
    }

    /// Time of the slot of a round, ms of Unix time.
    fn slot_at(&self, round: f64) -> f64 {
        self.offset_ms + round * self.round_ms
    }

    /// The first slot after `now`, both in ms of Unix time.
    pub fn next_slot_at(&self, now: f64) -> f64 {
        self.slot_at(self.next_round(now))
    }

    /// The slot for the retry of a call that failed at `now`.
    ///
    /// Guards against permanent overload of discovery, which shows as late rejections: the ingress
    /// skips a round, unless the pause would exceed [`MAX_ROUND_MS`]. The fleet is then divided
    /// into groups that poll in alternate rounds; each late rejection in a row doubles the number
    /// of groups. The queue of discovery thus drains, however long its calls take.
    fn slot_after_failure(&self, now: f64, late_rejections: u32) -> f64 {
        let next = self.next_round(now);
        if late_rejections == 0 {
            return self.slot_at(next);
        }
        let groups = f64::from(1u32 << late_rejections.min(MAX_DOUBLINGS))
            .min((MAX_ROUND_MS / self.round_ms).floor());
        // Ingresses with adjacent ranks are in different groups.
        let round_of_own_group =
            |round: f64| round + (-(round + f64::from(self.rank))).rem_euclid(groups);
        let after_skipped_round = self.slot_at(round_of_own_group(next + 1.0));
        if after_skipped_round - now <= MAX_ROUND_MS {
            after_skipped_round
        } else {
            self.slot_at(round_of_own_group(next))
        }
    }
}

/// Polls that failed in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Failures {
    /// Number of failures.
    pub count: u32,
    /// How many of the most recent failures were late rejections, which show that discovery is
    /// overloaded.
    pub late_rejections: u32,
}

impl Failures {
    /// Counts one failure: a rejection that took `rejected_after_ms`, or no answer (`None`).
    pub fn add(&mut self, rejected_after_ms: Option<f64>) {
        self.count = self.count.saturating_add(1);
        // An immediate rejection means that discovery is unavailable; a late one, that the call has
        // waited in its queue.
        let overloaded = rejected_after_ms.is_some_and(|ms| ms >= LATE_REJECTION_MS);
        self.late_rejections = if overloaded {
            self.late_rejections.saturating_add(1)
        } else {
            0
        };
    }
}

impl PollSchedule {
    /// The schedule of the ingress at `position` in a fleet of `ingresses`. Lists come on request,
    /// or are pushed.
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
        // Prompt: one call of each ingress fits into the time after which a change counts as
        // notified.
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

    /// When the poll that failed last, at `now`, is retried; `random`, from 0 to 1, randomizes the
    /// backoff.
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

    /// Time of the first poll of a process that starts at `now` and already holds a list; `random`
    /// is from 0 to 1.
    pub fn first_poll_at(&self, now: f64, random: f64) -> f64 {
        match (self.first_poll, self.time_slots()) {
            (FirstPoll::InTimeSlot, Some(slots)) => slots.next_slot_at(now),
            (FirstPoll::InTimeSlot, None) => now,
            (FirstPoll::Within(spread_ms), _) => now + spread_ms * random,
        }
    }
}

/// Time that discovery needs for one call of each ingress, ms.
fn work_ms(ingresses: u32) -> f64 {
    ASSUMED_CALL_MS * f64::from(ingresses)
}

/// Wait of a watch for a fleet of this size, with lists on request, ms.
fn watch_ms(ingresses: u32) -> f64 {
    (work_ms(ingresses) / WATCH_SHARE).clamp(MIN_WATCH_MS, MAX_WATCH_MS)
}

#[cfg(test)]
mod tests;
