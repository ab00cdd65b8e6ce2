//! A request in flight, its attempts, and the rules for sending it again.
//!
//! A request may be sent again, and its client may be asked to retry, only if the request cannot
//! run twice with an effect. The conditions depend on the idempotency of the request's class:
//!
//! | class | sent again by this ingress | client asked to retry |
//! | --- | --- | --- |
//! | safe | always | always |
//! | keyed | if the next endpoint discards it as a repeat of each attempt that may have run | if none may have run |
//! | unsafe | if no attempt may have run | if none may have run |
//!
//! An endpoint discards a keyed request as a repeat if it shares idempotency keys with the endpoint
//! of the earlier attempt (the class's deduplication scope) and receives the request within the
//! class's idempotency window.
//!
//! The decision module applies the same rule when it chooses a retry (`decision::retry`); this
//! module enforces the rule whatever the decision module asks for. The margins differ: this check
//! adds the time that establishing a connection may take. An attempt that is sent also carries the end
//! of the window as the time by which it must be written completely.
//!
//! An attempt counts as one that may have run from the moment it is sent until its outcome proves
//! that it did not (`attempt::may_have_run`).

use crate::decision::{Class, DeduplicationScope, Idempotency, Outcome};
use crate::request::attempt::may_have_run;
use crate::request::recent_ids::RequestIdHash;
use crate::request::ClientRequest;
use crate::units::MS_PER_S;
use std::rc::Rc;

/// The location of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Location {
    /// The endpoint's zone.
    pub(super) zone: u32,
    /// The endpoint's cell.
    pub(super) cell: u32,
}

impl Location {
    /// Whether an endpoint here recognizes idempotency keys that an endpoint at `other` has
    /// received.
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
    /// The current time, ms on the ingress's clock.
    pub(super) now_ms: f64,
    /// The location of the attempt's endpoint.
    pub(super) location: Location,
    /// How long establishing the connection may take, ms: the request may be written that much
    /// later.
    pub(super) connect_timeout_ms: f64,
}

#[derive(Clone, Copy)]
struct Attempt {
    running: bool,
    may_have_run: bool,
    sent_ms: f64,
    /// The location of the endpoint when the attempt was sent.
    location: Location,
}

/// A request in flight and its attempts.
pub(super) struct InFlightRequest {
    pub(super) request: Rc<ClientRequest>,
    pub(super) id_hash: RequestIdHash,
    /// The earlier of the client's timeout and the class's deadline, ms on the ingress's clock.
    pub(super) request_deadline_ms: f64,
    answered: bool,
    attempts: Vec<Attempt>,
}

impl InFlightRequest {
    /// Creates an entry without attempts.
    pub(super) fn new(
        request: Rc<ClientRequest>,
        id_hash: RequestIdHash,
        request_deadline_ms: f64,
    ) -> InFlightRequest {
        InFlightRequest {
            request,
            id_hash,
            request_deadline_ms,
            answered: false,
            attempts: Vec::new(),
        }
    }

    /// Whether the client has been answered or has disconnected.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Records that the client has been answered or has disconnected.
    pub(super) fn mark_answered(&mut self) {
        self.answered = true;
    }

    /// Whether the request is answered and none of its attempts is running.
    pub(super) fn is_finished(&self) -> bool {
        self.answered && !self.has_running_attempt()
    }

    /// The number of attempts so far, those that were not sent included; also the number of the
    /// next attempt.
    pub(super) fn attempts(&self) -> u32 {
        self.attempts.len() as u32
    }

    /// Whether an attempt is running.
    pub(super) fn has_running_attempt(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.running)
    }

    /// Whether the attempt with this number is running.
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

    /// Records an attempt that is sent now.
    pub(super) fn add_sent_attempt(&mut self, now_ms: f64, location: Location) {
        self.attempts.push(Attempt {
            running: true,
            may_have_run: true,
            sent_ms: now_ms,
            location,
        });
    }

    /// Records an attempt that was requested but is not sent.
    pub(super) fn add_unsent_attempt(&mut self, now_ms: f64) {
        self.attempts.push(Attempt {
            running: false,
            may_have_run: false,
            sent_ms: now_ms,
            location: Location::default(),
        });
    }

    /// Records the end of a running attempt. Returns false if the attempt was not running.
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

    /// Whether the client may be asked to retry without a risk that the request takes effect twice.
    /// The client's next request may arrive at another ingress, which has no record of the attempts
    /// made here, so neither a key nor the location of the attempts' endpoints makes a retry safe.
    pub(super) fn client_may_retry(&self, class: &Class) -> bool {
        class.idempotency == Idempotency::Safe || !self.may_have_run()
    }

    /// Whether the request may be sent again without a risk that it takes effect twice; see the
    /// table above.
    pub(super) fn may_be_sent_again(&self, class: &Class, next: &NextAttempt) -> bool {
        match class.idempotency {
            Idempotency::Safe => true,
            Idempotency::Unsafe => !self.may_have_run(),
            Idempotency::Keyed => self
                .attempts_that_may_have_run()
                .all(|attempt| is_discarded_as_repeat(class, attempt, next)),
        }
    }

    /// The end of the window in which an endpoint discards a further attempt as a repeat, ms; none if
    /// no endpoint needs to.
    pub(super) fn repeat_window_end_ms(&self, class: &Class) -> Option<f64> {
        if class.idempotency != Idempotency::Keyed {
            return None;
        }
        self.attempts_that_may_have_run()
            .map(|attempt| attempt.sent_ms + MS_PER_S * class.idempotency_window)
            .min_by(f64::total_cmp)
    }

    /// Whether an endpoint may have run the request.
    pub(super) fn may_have_run(&self) -> bool {
        self.attempts_that_may_have_run().next().is_some()
    }

    fn attempts_that_may_have_run(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run)
    }
}

/// Whether the endpoint of the next attempt would discard the request by its key, if the earlier
/// attempt has run.
fn is_discarded_as_repeat(class: &Class, earlier: &Attempt, next: &NextAttempt) -> bool {
    let shares_keys = next
        .location
        .shares_keys_with(earlier.location, class.deduplication_scope);
    let written_by_ms = next.now_ms - earlier.sent_ms + next.connect_timeout_ms;
    shares_keys && written_by_ms < MS_PER_S * class.idempotency_window
}

#[cfg(test)]
mod tests;
