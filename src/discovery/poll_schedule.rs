//! How often an ingress calls discovery and for how long it waits: every interval that bounds the age of its list.
//! It owns the back-off of small fleets and the turns of large ones. It must never let the calls of a fleet that
//! has no list exceed what discovery can serve, or depend on anything but settings, time and a random number.

/// The intervals of one ingress, ms.
///
/// Where lists are pushed the agent is of this machine, answers at once and costs nothing, so asking is short and
/// often. Where they come on request discovery is one service for the whole fleet, takes its calls in turn, and also
/// works on those that have been given up: calls that come faster than it works keep it overbooked for good.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Pace {
    /// A watch waits so long for news.
    pub watch: f64,
    /// An answer to a watch that is later than its wait by this will not come.
    pub grace: f64,
    /// Nor one to a call that is answered at once, by then. In turns such a call lasts until the first turn of this
    /// ingress that is at least this far off.
    pub answer: f64,
    /// A connection that is not up by then will not come up.
    pub dial: f64,
    /// When a failed call is made anew.
    pub retry: Retry,
    /// When a process that holds a list makes its first call.
    pub first: First,
}

/// When a failed call is made anew.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Retry {
    /// After a time that doubles with each failure in a row, from the first to the longest, spread by half of it.
    BackOff { first: f64, longest: f64 },
    /// At this ingress's next turn.
    Turns(Turns),
}

/// When a process that holds a list makes its first call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum First {
    /// At a random time within this, ms.
    Within(f64),
    /// At this ingress's next turn.
    Turn,
}

/// Turns by rank on the clock that all ingresses share: one call of each ingress in every round, evenly spaced.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Turns {
    /// From one turn of an ingress to its next, ms.
    pub round: f64,
    /// This ingress's number in its fleet, and its place in the round, ms.
    rank: u32,
    offset: f64,
}

impl Turns {
    fn of(round: f64, position: u32, ingresses: u32) -> Turns {
        // A position beyond the fleet, as during a change of its size, shares another one's turn.
        let rank = position % ingresses;
        Turns {
            round,
            rank,
            offset: round * f64::from(rank) / f64::from(ingresses),
        }
    }

    /// The number of the round whose turn is the first after this time.
    fn next_round(&self, now: f64) -> f64 {
        ((now - self.offset) / self.round).floor() + 1.0
    }

    /// The turn in the round of this number.
    fn turn(&self, number: f64) -> f64 {
        self.offset + number * self.round
    }

    /// The first turn after this time, both in ms of Unix time.
    pub fn next(&self, now: f64) -> f64 {
        self.turn(self.next_round(now))
    }

    /// The turn after a call that failed at `now`. An overbooked discovery is left a round, if that is not too long,
    /// and then gets the calls of a part of the fleet in each: half as many with each call in a row that it turned
    /// away.
    fn after_failure(&self, now: f64, turned_away: u32) -> f64 {
        let next = self.next_round(now);
        if turned_away == 0 {
            return self.turn(next);
        }
        let parts =
            f64::from(1u32 << turned_away.min(16)).min((LONGEST_ROUND_MS / self.round).floor());
        // Ingresses next to each other in rank are of different parts.
        let of_own_part =
            |number: f64| number + (-(number + f64::from(self.rank))).rem_euclid(parts);
        let spared = self.turn(of_own_part(next + 1.0));
        if spared - now <= LONGEST_ROUND_MS {
            spared
        } else {
            self.turn(of_own_part(next))
        }
    }
}

/// The calls that failed in a row.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Failures {
    pub count: u32,
    /// Of them the last ones that an overbooked discovery rejected.
    pub turned_away: u32,
}

impl Failures {
    /// One more, which discovery `refused` with a status after so long, ms, or did not answer.
    pub fn add(&mut self, refused_after: Option<f64>) {
        self.count = self.count.saturating_add(1);
        // At once it is away; late, the call has stood in its queue.
        let overbooked = refused_after.is_some_and(|ms| ms >= LATE_MS);
        self.turned_away = if overbooked {
            self.turned_away.saturating_add(1)
        } else {
            0
        };
    }
}

/// Pushed lists.
const PUSHED: Pace = Pace {
    watch: 2000.0,
    grace: 500.0,
    answer: 500.0,
    dial: 300.0,
    retry: Retry::BackOff {
        first: 20.0,
        longest: 100.0,
    },
    first: First::Within(0.0),
};
/// On request: so long for what comes behind a watch's wait, for an answer and for a connection.
const GRACE_MS: f64 = 1000.0;
const ANSWER_MS: f64 = 2000.0;
const DIAL_MS: f64 = 500.0;
/// The largest fleet whose ingresses call at any time: above it they take turns.
const FEW: u32 = 10;
/// The first back-off, for each ingress, ms.
const BACK_OFF_MS: f64 = 10.0;
/// The longest back-off is so many times the first one, and this at least, ms.
const LONGEST_FACTOR: f64 = 5.0;
const MIN_LONGEST_MS: f64 = 500.0;
/// The time that a call is taken to cost discovery, ms: a round has one for each ingress.
pub(super) const CALL_MS: f64 = 200.0;
/// Part of discovery's time that watches opened anew take, and the range of a watch's wait, ms.
const RENEWALS: f64 = 0.6;
const WATCH_MS: (f64, f64) = (2000.0, 20_000.0);
/// A change counts as told so long after discovery had it and could be reached, ms.
pub(super) const NOTIFIED_MS: f64 = 6000.0;
/// The shortest round: a call in its turn has the usual time for a connection and an answer before the next one.
const SHORTEST_ROUND_MS: f64 = DIAL_MS + ANSWER_MS;
/// The longest round with which every call reaches discovery before a change counts as told: behind a connection
/// that did not come up, with another one ahead of the call.
const PROMPT_ROUND_MS: f64 = NOTIFIED_MS - 2.0 * DIAL_MS;
/// A call that is rejected after this or later has stood in the queue of an overbooked discovery, ms.
const LATE_MS: f64 = 1000.0;
/// The longest round of all, and the longest pause for an overbooked discovery.
const LONGEST_ROUND_MS: f64 = 15_000.0;
/// In fleets beyond a prompt round the first call waits no longer, ms: what is new counts as told 6 s after the start.
const FIRST_MS: f64 = 4500.0;

impl Pace {
    pub fn of(on_request: bool, ingresses: u32, position: u32) -> Pace {
        if !on_request {
            return PUSHED;
        }
        let ingresses = ingresses.max(1);
        let work = CALL_MS * f64::from(ingresses);
        let watch = (work / RENEWALS).clamp(WATCH_MS.0, WATCH_MS.1);
        if ingresses <= FEW {
            let first = BACK_OFF_MS * f64::from(ingresses);
            let longest = (LONGEST_FACTOR * first).max(MIN_LONGEST_MS);
            return Pace {
                watch,
                grace: GRACE_MS,
                answer: ANSWER_MS,
                dial: DIAL_MS,
                retry: Retry::BackOff { first, longest },
                first: First::Within(0.0),
            };
        }
        // One call of each fits into the time after which a change counts as told, or cannot, in any order.
        let prompt = work <= NOTIFIED_MS;
        let longest = if prompt {
            PROMPT_ROUND_MS
        } else {
            LONGEST_ROUND_MS
        };
        let round = work.clamp(SHORTEST_ROUND_MS, longest);
        let spare = NOTIFIED_MS - DIAL_MS - round;
        Pace {
            watch,
            grace: GRACE_MS,
            answer: if prompt {
                spare.min(ANSWER_MS)
            } else {
                ANSWER_MS
            },
            dial: DIAL_MS,
            retry: Retry::Turns(Turns::of(round, position, ingresses)),
            first: if prompt {
                First::Turn
            } else {
                First::Within(FIRST_MS)
            },
        }
    }

    /// The turns of this ingress, if its fleet takes turns.
    pub fn turns(&self) -> Option<&Turns> {
        match &self.retry {
            Retry::Turns(turns) => Some(turns),
            Retry::BackOff { .. } => None,
        }
    }

    /// When the last of these calls, which failed at `now`, is made anew; `random` from 0 to 1 spreads ingresses
    /// that back off.
    pub fn again(&self, now: f64, failures: Failures, random: f64) -> f64 {
        match self.retry {
            Retry::BackOff { first, longest } => {
                let doublings = failures.count.saturating_sub(1).min(16);
                let back_off = (first * f64::from(1u32 << doublings)).min(longest);
                now + back_off * (0.5 + random)
            }
            Retry::Turns(turns) => turns.after_failure(now, failures.turned_away),
        }
    }

    /// When a process that holds a list and starts at `now` makes its first call; `random` is from 0 to 1.
    pub fn first_call(&self, now: f64, random: f64) -> f64 {
        match (self.first, self.turns()) {
            (First::Turn, Some(turns)) => turns.next(now),
            (First::Turn, None) => now,
            (First::Within(span), _) => now + span * random,
        }
    }
}
