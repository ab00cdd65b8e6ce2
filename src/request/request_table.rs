//! The state machine of all requests: events with a time go in, [`Action`]s come out. The submodule
//! `verdicts` carries out decisions, `attempts` sends and ends attempts.

mod attempts;
mod verdicts;

use crate::config::settings::Platform;
use crate::decision::driver::{CounterAdd, DecisionDriver, EndpointId, Observation, RequestId};
use crate::decision::{Class, EndpointEntry, ListKind, Outcome, RejectionCounts};
use crate::request::attempt_deadlines::AttemptDeadlines;
use crate::request::in_flight::InFlightRequest;
use crate::request::ready_endpoints::ReadyEndpoints;
use crate::request::recent_ids::{RecentIds, RequestIdHash};
use crate::request::{Action, AttemptResult, ClientRequest, RequestCounts, TableSizes};
use crate::units::MS_PER_S;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;

/// Retry-After of a request that is rejected for lack of memory, ms: by then, some requests in
/// flight have ended.
const NO_MEMORY_RETRY_AFTER_MS: f64 = 500.0;

/// All requests of this ingress, from arrival to the end of the last attempt.
pub struct RequestTable {
    platform: Rc<Platform>,
    driver: DecisionDriver,
    in_flight: HashMap<RequestId, InFlightRequest>,
    deadlines: AttemptDeadlines,
    ready: ReadyEndpoints,
    recent_ids: RecentIds,
    actions: VecDeque<Action>,
    next_id: RequestId,
    /// Memory that the requests in flight take, in bytes.
    bytes: usize,
    max_bytes: usize,
    /// Requests without an answer.
    unanswered: usize,
    counts: RequestCounts,
}

impl RequestTable {
    /// Creates a table without requests. `max_bytes` bounds the memory of the requests in flight.
    pub fn new(platform: Rc<Platform>, driver: DecisionDriver, max_bytes: usize) -> RequestTable {
        RequestTable {
            platform,
            driver,
            in_flight: HashMap::new(),
            deadlines: AttemptDeadlines::default(),
            ready: ReadyEndpoints::default(),
            recent_ids: RecentIds::default(),
            actions: VecDeque::new(),
            next_id: 1,
            bytes: 0,
            max_bytes,
            unanswered: 0,
            counts: RequestCounts::default(),
        }
    }

    /// Accepts a request that was read at `now_ms`. Its final answer follows as [`Action::Reply`].
    pub fn request_arrived(&mut self, now_ms: f64, request: ClientRequest) -> RequestId {
        let id = self.allocate_id();
        if !self.has_memory_for(&request) {
            self.counts.rejected_for_memory += 1;
            self.reject_unforwarded(id, NO_MEMORY_RETRY_AFTER_MS);
            return id;
        }
        let id_hash = RequestIdHash::of(&request.id);
        if !self.recent_ids.open(now_ms, id_hash) {
            self.fail_repeated(id, &request);
            return id;
        }
        // Bounds memory: timers live until the deadline, and a client may ask for a timeout of an
        // hour.
        let class_deadline_ms = MS_PER_S * self.class(&request).deadline;
        let request_deadline_ms = now_ms + request.client_timeout_ms.min(class_deadline_ms);
        self.bytes += request.memory_bytes();
        let request = Rc::new(request);
        self.in_flight.insert(
            id,
            InFlightRequest::new(request.clone(), id_hash, request_deadline_ms),
        );
        self.unanswered += 1;
        let verdict = self
            .driver
            .decide(now_ms, id, &request.attributes, request_deadline_ms);
        self.carry_out_verdict(now_ms, id, verdict);
        self.carry_out_pending(now_ms);
        id
    }

    /// Records the id of a request that another process of this ingress has received.
    pub fn add_foreign_id(&mut self, now_ms: f64, id: RequestIdHash) {
        self.recent_ids.add_foreign(now_ms, id);
    }

    /// Rejects a request before any decision, as the operator's rules or plug-in require. The
    /// answer follows as [`Action::Reply`].
    pub fn reject(&mut self, retry_after_ms: f64) -> RequestId {
        let id = self.allocate_id();
        self.counts.rejected_undecided += 1;
        self.reject_unforwarded(id, retry_after_ms);
        id
    }

    /// Handles a client's disconnect: the request gets no answer, and its attempts are abandoned.
    pub fn client_gone(&mut self, now_ms: f64, id: RequestId) {
        let Some(entry) = self.in_flight.get_mut(&id).filter(|e| !e.is_answered()) else {
            return;
        };
        entry.mark_answered();
        let running = entry.running_attempts();
        tracing::debug!(
            id = entry.request.id,
            running_attempts = running.len(),
            "client disconnected before the answer"
        );
        self.unanswered -= 1;
        self.counts.client_gone += 1;
        self.driver.observe(now_ms, Observation::ClientGone(id));
        for attempt in running {
            self.abandon(now_ms, id, attempt, Outcome::Cancelled);
        }
        self.remove_if_finished(now_ms, id);
        self.carry_out_pending(now_ms);
    }

    /// Answers every request now, because the process ends before their deadlines. Requests that
    /// cannot run twice with an effect are rejected with this Retry-After, the others fail.
    pub fn answer_all_now(&mut self, now_ms: f64, retry_after_ms: f64) {
        let mut ids: Vec<RequestId> = self
            .in_flight
            .iter()
            .filter(|(_, entry)| !entry.is_answered())
            .map(|(id, _)| *id)
            .collect();
        ids.sort_unstable();
        for id in ids {
            self.answer_at_shutdown(now_ms, id, retry_after_ms);
        }
        self.carry_out_pending(now_ms);
    }

    fn answer_at_shutdown(&mut self, now_ms: f64, id: RequestId, retry_after_ms: f64) {
        let Some(entry) = self.in_flight.get(&id) else {
            return;
        };
        let running = entry.running_attempts();
        let answer = self.rejection(id, retry_after_ms, true);
        // The decision module must not retry: to it, the client has disconnected.
        self.driver.observe(now_ms, Observation::ClientGone(id));
        self.finish(now_ms, id, answer);
        for attempt in running {
            self.abandon(now_ms, id, attempt, Outcome::Cancelled);
        }
    }

    /// Handles the end of an attempt that was not abandoned.
    pub fn attempt_ended(
        &mut self,
        now_ms: f64,
        id: RequestId,
        attempt: u32,
        result: AttemptResult,
    ) {
        self.end_attempt(now_ms, id, attempt, result);
        self.carry_out_pending(now_ms);
    }

    /// Handles an attempt whose answer has begun and makes no progress. The attempt goes on, unless
    /// the decision module sends a safe request to another endpoint instead.
    pub fn attempt_stalled(&mut self, now_ms: f64, id: RequestId, attempt: u32) {
        if !self.is_running(id, attempt) {
            return;
        }
        if let Some(retry) = self.driver.attempt_stalled(now_ms, id, attempt) {
            self.abandon(now_ms, id, attempt, Outcome::Reset);
            self.carry_out_verdict(now_ms, id, retry);
        }
        self.carry_out_pending(now_ms);
    }

    /// Handles the end of a counter call. `total` is valid only if the outcome is [`Outcome::Ok`].
    pub fn counter_answered(&mut self, now_ms: f64, name: u64, outcome: Outcome, total: f64) {
        self.driver.observe(
            now_ms,
            Observation::CounterAnswered {
                name,
                outcome,
                total,
            },
        );
        self.carry_out_pending(now_ms);
    }

    /// Handles the total of a counter call that arrived after the call had timed out.
    pub fn counter_answered_late(&mut self, now_ms: f64, add: CounterAdd, total: f64) {
        self.driver.observe(
            now_ms,
            Observation::CounterAnsweredLate {
                name: add.name,
                amount: add.amount,
                total,
            },
        );
        self.carry_out_pending(now_ms);
    }

    /// Handles the end of a health check. `load` is the endpoint's load report, empty if there was
    /// none.
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
        self.carry_out_pending(now_ms);
    }

    /// Applies an update of the endpoint registry.
    pub fn update_endpoints(&mut self, now_ms: f64, kind: ListKind, entries: Vec<EndpointEntry>) {
        let not_ready = self.ready.update(kind, &entries);
        self.actions
            .extend(not_ready.into_iter().map(Action::ReleaseEndpoint));
        self.driver
            .observe(now_ms, Observation::EndpointList(kind, entries));
        self.carry_out_pending(now_ms);
    }

    /// Runs the timers and deadlines that are due.
    pub fn tick(&mut self, now_ms: f64) {
        self.driver.tick(now_ms);
        self.carry_out_pending(now_ms);
        while let Some(deadline) = self.deadlines.pop_due(now_ms) {
            if self.is_running(deadline.request, deadline.attempt) {
                self.abandon(now_ms, deadline.request, deadline.attempt, Outcome::Timeout);
                self.carry_out_pending(now_ms);
            }
        }
    }

    /// Whether requests may be sent to this endpoint now.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.ready.location(endpoint).is_some()
    }

    /// The latest time at which [`RequestTable::tick`] must be called, ms; none if no timer is
    /// pending.
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

    /// Number of requests without an answer.
    pub fn unanswered(&self) -> usize {
        self.unanswered
    }

    /// Counts since the start of the process.
    pub fn counts(&self) -> RequestCounts {
        self.counts
    }

    /// Requests that the decision module rejected since the start, by cause.
    pub fn rejections(&self) -> RejectionCounts {
        self.driver.rejections()
    }

    /// Numbers of the entries that requests leave behind.
    pub fn table_sizes(&self) -> TableSizes {
        TableSizes {
            in_flight: self.in_flight.len(),
            request_bytes: self.bytes,
            tenants: self.driver.tenants(),
            awaited_calls: self.driver.awaited_calls(),
            recent_ids: self.recent_ids.len(),
        }
    }

    /// Number of endpoints that may receive requests.
    pub fn ready_endpoints(&self) -> usize {
        self.ready.len()
    }

    fn allocate_id(&mut self) -> RequestId {
        let id = self.next_id;
        self.next_id = self.next_id.wrapping_add(1).max(1);
        self.counts.received += 1;
        id
    }

    /// Bounds the number and the memory of requests in flight. This check precedes any forwarding,
    /// so the request can be rejected safely, whatever its class.
    fn has_memory_for(&self, request: &ClientRequest) -> bool {
        self.in_flight.len() < self.platform.max_in_flight_requests
            && self.bytes + request.memory_bytes() <= self.max_bytes
    }

    fn class(&self, request: &ClientRequest) -> &Class {
        &self.platform.decision.classes[request.attributes.class]
    }
}
