//! Requests on their way in, and what the request table wants done on its way out.

use super::{ActionExecutor, Dispatcher, PendingAnswer, ResponseSink};
use crate::decision::driver::{EndpointId, RequestId};
use crate::plugin::PluginVerdict;
use crate::request::{Action, ClientRequest, FinalAnswer, RequestTable};
use driftgap_admin::DrainState;
use driftgap_routes::LimitPermit;
use std::rc::{Rc, Weak};

/// Retry-After for requests that a drained or ending ingress rejects, ms: by then the client's next connection goes
/// to another ingress.
const DRAINED_RETRY_AFTER_MS: f64 = 500.0;

impl Dispatcher {
    /// Names who carries actions out from now on; the first one named stays.
    pub fn set_executor(&self, executor: &Rc<dyn ActionExecutor>) {
        let _ = self.executor.set(Rc::downgrade(executor));
    }

    /// Lets the request table act, then carries out what it wants done. `act` gets the time, ms.
    pub fn with_requests(&self, act: impl FnOnce(&mut RequestTable, f64)) {
        act(&mut self.requests.borrow_mut(), self.clock.now());
        self.carry_out_actions();
    }

    /// Whether an endpoint may be sent requests right now. To be asked again just before a request is written: the
    /// endpoint may have begun to drain while its connection was opened.
    pub fn accepts_requests(&self, endpoint: EndpointId) -> bool {
        self.requests.borrow().accepts_requests(endpoint)
    }

    /// Takes a request in. `client` gets the answer under its mark `ticket`; `limit_tickets` are held until then.
    /// `on_id` gets the request's number before any answer can come.
    pub fn arrive(
        &self,
        request: ClientRequest,
        client: Rc<dyn ResponseSink>,
        ticket: u64,
        limit_tickets: Vec<LimitPermit>,
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
            _limit_tickets: limit_tickets,
        };
        self.pending.borrow_mut().insert(id, pending);
        on_id(id);
        self.carry_out_actions();
    }

    /// Asks the plug-in, if there is one, then the request table.
    fn decide(&self, now: f64, mut request: ClientRequest) -> RequestId {
        let plugin = self.plugin.as_ref();
        let verdict = plugin.map(|plugin| plugin.decide(now, &self.platform, &request));
        match verdict {
            Some(PluginVerdict::Reject(retry_after_ms)) => {
                return self.requests.borrow_mut().reject(retry_after_ms);
            }
            Some(PluginVerdict::Pass(notes)) if !notes.is_empty() => {
                tracing::debug!(id = request.id, ?notes, "notes of the plug-in");
                request.notes.extend(notes);
            }
            Some(PluginVerdict::Pass(_)) | None => {}
        }
        self.requests.borrow_mut().request_arrived(now, request)
    }

    /// Rejects a request before any decision: a rule says so, or the ingress is drained.
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
            _limit_tickets: Vec::new(),
        };
        self.pending.borrow_mut().insert(id, pending);
        on_id(id);
        self.carry_out_actions();
    }

    /// An id for a request whose client names none, unique within this ingress.
    pub fn generate_request_id(&self) -> String {
        self.generated_ids.set(self.generated_ids.get() + 1);
        let (start, number) = (self.started_ms as u64, self.generated_ids.get());
        format!("r{start:x}-{number:x}")
    }

    /// The client of this request has gone: its answer is not wanted any more.
    pub fn client_gone(&self, id: RequestId) {
        self.pending.borrow_mut().remove(&id);
        self.with_requests(|requests, now| requests.client_gone(now, id));
    }

    /// The process ends: everything that is unanswered gets its final answer now.
    pub fn answer_all_now(&self) {
        self.with_requests(|requests, now| requests.answer_all_now(now, DRAINED_RETRY_AFTER_MS));
    }

    /// Carries out actions until there are none. What an action causes meanwhile (a client's next request, an
    /// attempt that ends at once) only adds actions, for the loop that runs already: the request table is never
    /// entered twice, and actions keep their order.
    fn carry_out_actions(&self) {
        if self.carrying_out.replace(true) {
            return;
        }
        loop {
            let action = self.requests.borrow_mut().next_action();
            match action {
                Some(Action::Reply(id, answer)) => self.reply(id, answer),
                Some(action) => {
                    // Without an executor, as during start-up, there is nobody to act.
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
        // A client that has gone is not in the table any more.
        if let Some(pending) = pending {
            pending.client.answer(pending.ticket, answer);
        }
    }
}
