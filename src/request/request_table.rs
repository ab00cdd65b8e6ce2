//! The state machine of all requests: events and a time go in, [`Action`]s come out. What the decision module
//! makes of them is carried out in `verdicts`, attempts are sent and ended in `attempts`.

mod attempts;
mod verdicts;

use crate::config::settings::Platform;
use crate::decision::driver::{CounterAdd, DecisionDriver, EndpointId, Observation, RequestId};
use crate::decision::{Class, EndpointEntry, ListKind, Outcome};
use crate::request::attempt_deadlines::AttemptDeadlines;
use crate::request::in_flight::InFlightRequest;
use crate::request::ready_endpoints::ReadyEndpoints;
use crate::request::{Action, AttemptResult, ClientRequest, RequestCounts};
use crate::units::MS_PER_S;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Retry-After of a request for which there is no memory, ms: until then requests in flight have ended.
const NO_MEMORY_RETRY_AFTER_MS: f64 = 500.0;

/// All requests of this ingress, from their arrival to the end of their last attempt.
pub struct RequestTable {
    platform: Rc<Platform>,
    driver: DecisionDriver,
    in_flight: HashMap<RequestId, InFlightRequest>,
    deadlines: AttemptDeadlines,
    ready: ReadyEndpoints,
    actions: VecDeque<Action>,
    next_id: RequestId,
    /// Memory that the requests in flight take.
    bytes: usize,
    max_bytes: usize,
    /// Requests that are still owed an answer.
    unanswered: usize,
    counts: RequestCounts,
}

impl RequestTable {
    /// No requests yet. `max_bytes` bounds the memory that requests in flight may take.
    pub fn new(platform: Rc<Platform>, driver: DecisionDriver, max_bytes: usize) -> RequestTable {
        RequestTable {
            platform,
            driver,
            in_flight: HashMap::new(),
            deadlines: AttemptDeadlines::default(),
            ready: ReadyEndpoints::default(),
            actions: VecDeque::new(),
            next_id: 1,
            bytes: 0,
            max_bytes,
            unanswered: 0,
            counts: RequestCounts::default(),
        }
    }

    /// Takes a request that was read at `now_ms`; its one answer comes as [`Action::Reply`].
    pub fn request_arrived(&mut self, now_ms: f64, request: ClientRequest) -> RequestId {
        let id = self.take_id();
        if !self.has_memory_for(&request) {
            self.reject_untried(id, NO_MEMORY_RETRY_AFTER_MS);
            return id;
        }
        // Guards memory: timers live until the deadline, which a client could put an hour away.
        let class_deadline_ms = MS_PER_S * self.class(&request).deadline;
        let give_up_ms = now_ms + request.client_timeout_ms.min(class_deadline_ms);
        self.bytes += request.memory_bytes();
        let request = Rc::new(request);
        self.in_flight
            .insert(id, InFlightRequest::new(request.clone(), give_up_ms));
        self.unanswered += 1;
        let verdict = self
            .driver
            .decide(now_ms, id, &request.attributes, give_up_ms);
        self.carry_out(now_ms, id, verdict);
        self.settle(now_ms);
        id
    }

    /// Rejects a request before any decision, as the operator's rules or plug-in say; its answer comes as for
    /// any other.
    pub fn reject(&mut self, retry_after_ms: f64) -> RequestId {
        let id = self.take_id();
        self.reject_untried(id, retry_after_ms);
        id
    }

    /// The client has gone: nothing is owed, and its attempts are abandoned.
    pub fn client_gone(&mut self, now_ms: f64, id: RequestId) {
        let Some(entry) = self.in_flight.get_mut(&id).filter(|e| !e.is_answered()) else {
            return;
        };
        entry.mark_answered();
        let running = entry.running_attempts();
        self.unanswered -= 1;
        self.counts.client_gone += 1;
        self.driver.observe(now_ms, Observation::ClientGone(id));
        for attempt in running {
            self.abandon(now_ms, id, attempt, Outcome::Cancelled);
        }
        self.remove_if_over(id);
        self.settle(now_ms);
    }

    /// The process ends before the deadlines of its requests: each gets its final answer now, a rejection with this
    /// Retry-After where coming again does no harm.
    pub fn answer_all_now(&mut self, now_ms: f64, retry_after_ms: f64) {
        let mut ids: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, entry)| !entry.is_answered())
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        for id in ids {
            self.give_up_request(now_ms, id, retry_after_ms);
        }
        self.settle(now_ms);
    }

    fn give_up_request(&mut self, now_ms: f64, id: RequestId, retry_after_ms: f64) {
        let Some(entry) = self.in_flight.get(&id) else {
            return;
        };
        let running = entry.running_attempts();
        let answer = self.rejection(id, retry_after_ms, true);
        // For the decision module it is as if the client had gone: it asks for no retry.
        self.driver.observe(now_ms, Observation::ClientGone(id));
        self.finish(id, answer);
        for attempt in running {
            self.abandon(now_ms, id, attempt, Outcome::Cancelled);
        }
    }

    /// An attempt has ended by itself.
    pub fn attempt_ended(
        &mut self,
        now_ms: f64,
        id: RequestId,
        attempt: u32,
        result: AttemptResult,
    ) {
        self.end_attempt(now_ms, id, attempt, result);
        self.settle(now_ms);
    }

    /// A counter call has ended; `total` counts if the outcome is [`Outcome::Ok`].
    pub fn counter_answered(&mut self, now_ms: f64, name: u64, outcome: Outcome, total: f64) {
        self.driver.observe(
            now_ms,
            Observation::CounterAnswered {
                name,
                outcome,
                total,
            },
        );
        self.settle(now_ms);
    }

    /// The total of a counter call that had timed out has come after all.
    pub fn counter_answered_late(&mut self, now_ms: f64, add: CounterAdd, total: f64) {
        self.driver.observe(
            now_ms,
            Observation::CounterAnsweredLate {
                name: add.name,
                amount: add.amount,
                total,
            },
        );
        self.settle(now_ms);
    }

    /// A health check has ended, with the load report that it brought; empty: none.
    pub fn health_check_ended(
        &mut self,
        now_ms: f64,
        endpoint: EndpointId,
        outcome: Outcome,
        load: Vec<f64>,
    ) {
        self.driver.observe(
            now_ms,
            Observation::ProbeEnded {
                endpoint,
                outcome,
                load_report: load,
            },
        );
        self.settle(now_ms);
    }

    /// The endpoint registry has an update.
    pub fn update_endpoints(&mut self, now_ms: f64, kind: ListKind, entries: Vec<EndpointEntry>) {
        let not_ready = self.ready.update(kind, &entries);
        self.actions
            .extend(not_ready.into_iter().map(Action::ReleaseEndpoint));
        self.driver
            .observe(now_ms, Observation::EndpointList(kind, entries));
        self.settle(now_ms);
    }

    /// Lets timers and deadlines come due.
    pub fn tick(&mut self, now_ms: f64) {
        self.driver.tick(now_ms);
        self.settle(now_ms);
        while let Some(deadline) = self.deadlines.pop_due(now_ms) {
            if self.is_running(deadline.request, deadline.attempt) {
                self.abandon(now_ms, deadline.request, deadline.attempt, Outcome::Timeout);
                self.settle(now_ms);
            }
        }
    }

    /// Whether an endpoint may be sent requests now.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.ready.location(endpoint).is_some()
    }

    /// When [`RequestTable::tick`] must be called at the latest, ms; none: not before the next event.
    pub fn next_due_ms(&mut self) -> Option<f64> {
        let in_flight = &self.in_flight;
        let deadline = self.deadlines.next_due_ms(|deadline| {
            in_flight
                .get(&deadline.request)
                .is_some_and(|entry| entry.is_running(deadline.attempt))
        });
        match (self.driver.next_due_ms(), deadline) {
            (Some(a), Some(b)) => Some(a.min(b)),
            (a, b) => a.or(b),
        }
    }

    /// The next action to carry out.
    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    /// Requests that are still owed an answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Counts since the start.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// How many endpoints may be sent requests.
    pub fn ready_endpoints(&self) -> usize {
        self.ready.len()
    }

    fn take_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1).max(1);
        self.counts.received += 1;
        id
    }

    /// Guards memory against more requests than the process can hold. Nothing has been forwarded by then, so
    /// rejecting the request does no harm, whatever its class.
    fn has_memory_for(&self, request: &ClientRequest) -> bool {
        self.in_flight.len() < self.platform.max_in_flight_requests
            && self.bytes + request.memory_bytes() <= self.max_bytes
    }

    fn class(&self, request: &ClientRequest) -> &Class {
        &self.platform.decision.classes[request.attributes.class]
    }
}
