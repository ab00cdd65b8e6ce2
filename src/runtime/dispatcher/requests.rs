//! Request arrival, and execution of the request table's actions.

use super::{ActionExecutor, Dispatcher, PendingAnswer, ResponseSink};
use crate::decision::driver::{EndpointId, RequestId};
use crate::plugin::PluginVerdict;
use crate::request::{Action, ClientRequest, FinalAnswer, RequestIdHash, RequestTable};
use driftgap_admin::DrainState;
use driftgap_routes::LimitPermit;
use std::rc::{Rc, Weak};

/// Retry-after of requests that a drained or stopping ingress rejects, ms. After this time a new
/// connection of the client reaches another ingress.
const DRAINED_RETRY_AFTER_MS: f64 = 500.0;

/// The request ids that all processes of this ingress share.
pub trait SharedRequestIds {
    /// Makes an id known to the other processes.
    fn record(&self, id: RequestIdHash);

    /// Returns the ids that other processes have recorded since the last call.
    fn take_new(&self) -> Vec<RequestIdHash>;
}

impl Dispatcher {
    /// Shares the ids of requests with other processes of this ingress. Only the first call has an
    /// effect.
    pub fn share_request_ids(&self, shared_ids: Rc<dyn SharedRequestIds>) {
        let _ = self.shared_ids.set(shared_ids);
    }

    /// Sets the executor of actions. Only the first call has an effect.
    pub fn set_executor(&self, executor: &Rc<dyn ActionExecutor>) {
        let _ = self.executor.set(Rc::downgrade(executor));
    }

    /// Calls `act` with the request table and the current time in ms, then executes the resulting
    /// actions.
    pub fn with_requests(&self, act: impl FnOnce(&mut RequestTable, f64)) {
        act(&mut self.requests.borrow_mut(), self.clock.now());
        self.carry_out_actions();
    }

    /// Returns whether an endpoint accepts new requests now. Check it again just before writing a
    /// request: the endpoint may have begun to drain while its connection was opened.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.requests.borrow().accepts_requests(endpoint)
    }

    /// Admits a request, or rejects it if the ingress is drained. `client` gets the answer under
    /// its own identifier `ticket`; the permits are held until then. `on_id` gets the request's
    /// number before any answer is delivered.
    pub fn arrive(
        &self,
        request: ClientRequest,
        client: Rc<dyn ResponseSink>,
        ticket: u64,
        limit_permits: Vec<LimitPermit>,
        on_id: impl FnOnce(RequestId),
    ) {
        let now = self.clock.now();
        if self.drain.borrow().state(now) == DrainState::Drained {
            return self.reject(DRAINED_RETRY_AFTER_MS, client, ticket, on_id);
        }
        let id = self.decide(now, request);
        let pending = PendingAnswer {
            client,
            ticket,
            _limit_permits: limit_permits,
        };
        self.pending.borrow_mut().insert(id, pending);
        on_id(id);
        self.carry_out_actions();
    }

    /// Consults the plug-in, if there is one, then the request table.
    fn decide(&self, now: f64, mut request: ClientRequest) -> RequestId {
        let plugin = self.plugin.as_ref();
        let verdict = plugin.map(|plugin| plugin.decide(now, &self.platform, &request));
        match verdict {
            Some(PluginVerdict::Reject(retry_after_ms)) => {
                return self.requests.borrow_mut().reject(retry_after_ms);
            }
            Some(PluginVerdict::Pass(notes)) if !notes.is_empty() => {
                tracing::debug!(id = request.id, ?notes, "plug-in added notes to a request");
                request.notes.extend(notes);
            }
            Some(PluginVerdict::Pass(_)) | None => {}
        }
        let mut requests = self.requests.borrow_mut();
        if let Some(shared_ids) = self.shared_ids.get() {
            // Of two processes that receive one id at the same time, at least one learns of it.
            shared_ids.record(RequestIdHash::of(&request.id));
            for id in shared_ids.take_new() {
                requests.add_foreign_id(now, id);
            }
        }
        requests.request_arrived(now, request)
    }

    /// Rejects a request before any decision: by a rule, or because the ingress is drained.
    pub fn reject(
        &self,
        retry_after_ms: f64,
        client: Rc<dyn ResponseSink>,
        ticket: u64,
        on_id: impl FnOnce(RequestId),
    ) {
        let id = self.requests.borrow_mut().reject(retry_after_ms);
        let pending = PendingAnswer {
            client,
            ticket,
            _limit_permits: Vec::new(),
        };
        self.pending.borrow_mut().insert(id, pending);
        on_id(id);
        self.carry_out_actions();
    }

    /// Generates a request id, unique within this ingress, for a client that sent none.
    pub fn generate_request_id(&self) -> String {
        self.generated_ids.set(self.generated_ids.get() + 1);
        let (start, number) = (self.started_ms as u64, self.generated_ids.get());
        format!("r{start:x}-{number:x}")
    }

    /// Records that the client of a request has disconnected: its answer is dropped.
    pub fn client_gone(&self, id: RequestId) {
        self.pending.borrow_mut().remove(&id);
        self.with_requests(|requests, now| requests.client_gone(now, id));
    }

    /// Gives every unanswered request its final answer now. Called at the end of a shutdown.
    pub fn answer_all_now(&self) {
        self.with_requests(|requests, now| requests.answer_all_now(now, DRAINED_RETRY_AFTER_MS));
    }

    /// Executes actions until none is left. An action may cause further ones, such as the client's
    /// next request or an attempt that ends at once; the loop that already runs executes them, so
    /// the request table is never entered twice and actions keep their order.
    fn carry_out_actions(&self) {
        if self.carrying_out.replace(true) {
            return;
        }
        loop {
            let action = self.requests.borrow_mut().next_action();
            match action {
                Some(Action::Reply(id, answer)) => self.reply(id, answer),
                Some(action) => {
                    // During start-up there is no executor yet: the action is dropped.
                    if let Some(executor) = self.executor.get().and_then(Weak::upgrade) {
                        executor.carry_out(action);
                    }
                }
                None => break,
            }
        }
        self.carrying_out.set(false);
    }

    fn reply(&self, id: RequestId, answer: FinalAnswer) {
        let pending = self.pending.borrow_mut().remove(&id);
        // The entry of a client that has disconnected is already removed.
        if let Some(pending) = pending {
            pending.client.answer(pending.ticket, answer);
        }
    }
}
