//! One request in flight, its attempts, and the rules on repeating it.
//!
//! A request may be sent again, and its client may be asked to retry, only where that can do no harm. What that
//! means depends on the idempotency of its class:
//!
//! | class | sent again by this ingress | client asked to retry |
//! | --- | --- | --- |
//! | safe | always | always |
//! | keyed | if the next endpoint discards it as a repeat of each attempt that may have run | if none may have run |
//! | unsafe | if no attempt may have run | if none may have run |
//!
//! An endpoint discards a keyed request as a repeat if it shares its keys with the endpoint of the earlier attempt
//! (the class's deduplication scope), and gets the request within the class's idempotency window.
//!
//! The decision module keeps to the same rule when it chooses (`decision::retry`); here it holds whatever that asks for.
//! The margins differ: this guard adds the time in which a connection may come up.
//!
//! An attempt may have run from the moment that it is sent until its outcome proves that it did not
//! (`attempt::may_have_run`).

use crate::decision::{Class, DeduplicationScope, Idempotency, Outcome};
use crate::request::attempt::may_have_run;
use crate::request::ClientRequest;
use crate::units::MS_PER_S;
use std::rc::Rc;

/// Where an endpoint stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Location {
    /// Its zone.
    pub(super) zone: u32,
    /// Its cell.
    pub(super) cell: u32,
}

impl Location {
    /// Whether an endpoint here knows the keys that one at `other` has seen.
    fn shares_keys_with(self, other: Location, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self == other,
        }
    }
}

/// An attempt that is about to be sent.
pub(super) struct NextAttempt {
    /// The time, ms on the ingress's clock.
    pub(super) now_ms: f64,
    /// Where its endpoint stands.
    pub(super) location: Location,
    /// How long its connection may take to come up, ms: it may be written that much later.
    pub(super) connect_timeout_ms: f64,
}

#[derive(Clone, Copy)]
struct Attempt {
    running: bool,
    may_have_run: bool,
    sent_ms: f64,
    /// Where its endpoint stood when it was sent.
    location: Location,
}

/// One request in flight.
pub(super) struct InFlightRequest {
    pub(super) request: Rc<ClientRequest>,
    /// When its client's timeout ends, ms on the ingress's clock.
    pub(super) give_up_ms: f64,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// A request without attempts.
    pub(super) fn new(request: Rc<ClientRequest>, give_up_ms: f64) -> InFlightRequest {
        InFlightRequest {
            request,
            give_up_ms,
            answered: false,
            attempts: Vec::new(),
        }
    }

    /// Whether its client has had its answer, or has gone.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Notes that its client has had its answer, or has gone.
    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }

    /// Whether nothing is owed any more: it is answered, and no attempt is running.
    pub(super) fn is_over(&self) -> bool {
        self.answered && !self.has_running_attempt()
    }

    /// How many attempts it has had, those that were not sent among them; the number of the next one.
    pub(super) fn attempts(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether an attempt is running.
    pub(super) fn has_running_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.running)
    }

    /// Whether the attempt of this number is running.
    pub(super) fn is_running(&self, number: u32) -> bool {
        self.attempts
            .get(number as usize)
            .is_some_and(|attempt| attempt.running)
    }

    /// The numbers of the running attempts.
    pub(super) fn running_attempts(&self) -> Vec<u32> {
        (0..)
            .zip(&self.attempts)
            .filter(|(_, attempt)| attempt.running)
            .map(|(number, _)| number)
            .collect()
    }

    /// Notes an attempt that is sent now.
    pub(super) fn add_sent_attempt(&mut self, now_ms: f64, location: Location) {
        self.attempts.push(Attempt {
            running: true,
            may_have_run: true,
            sent_ms: now_ms,
            location,
        });
    }

    /// Notes an attempt that was asked for and is not sent.
    pub(super) fn add_unsent_attempt(&mut self, now_ms: f64) {
        self.attempts.push(Attempt {
            running: false,
            may_have_run: false,
            sent_ms: now_ms,
            location: Location::default(),
        });
    }

    /// Notes the end of a running attempt; false: it was not running.
    pub(super) fn end_attempt(&mut self, number: u32, outcome: Outcome) -> bool {
        let attempt = self
            .attempts
            .get_mut(number as usize)
            .filter(|attempt| attempt.running);
        let Some(attempt) = attempt else {
            return false;
        };
        attempt.running = false;
        attempt.may_have_run = may_have_run(outcome);
        true
    }

    /// Whether asking the client to retry can do no harm. Its next request may come through another ingress,
    /// which knows of no attempt made here: so neither a key nor the attempts' endpoints help.
    pub(super) fn client_may_retry(&self, class: &Class) -> bool {
        class.idempotency == Idempotency::Safe || self.attempts_that_may_have_run().next().is_none()
    }

    /// Whether sending it once more can do no harm; see the module's table.
    pub(super) fn may_be_sent_again(&self, class: &Class, next: &NextAttempt) -> bool {
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => self.attempts_that_may_have_run().next().is_none(),
            Idempotency::Keyed => self
                .attempts_that_may_have_run()
                .all(|attempt| is_discarded_as_repeat(class, attempt, next)),
        }
    }

    fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run)
    }
}

/// Whether the next attempt's endpoint discards the request by its key, if the earlier attempt has run.
fn is_discarded_as_repeat(class: &Class, earlier: &Attempt, next: &NextAttempt) -> bool {
    let knows_key = next
        .location
        .shares_keys_with(earlier.location, class.deduplication_scope);
    let written_by_ms = next.now_ms - earlier.sent_ms + next.connect_timeout_ms;
    knows_key && written_by_ms < MS_PER_S * class.idempotency_window
}

#[cfg(test)]
mod tests;
