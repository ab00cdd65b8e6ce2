//! An ingress under test, with its settings, a clock and the actions of the last event.
#![allow(dead_code)]

use driftgap::decision::*;

pub fn class(idempotency: Idempotency, deduplication_scope: DeduplicationScope) -> Class {
    Class {
        latency_objective: 0.5,
        deadline: 2.0,
        idempotency,
        deduplication_scope,
        idempotency_window: 1.0,
        late_weight_share: 0.0,
        priority_weight: 1.0,
    }
}

pub fn plan(rate: f64, burst: f64) -> Plan {
    Plan {
        rate,
        burst,
        max_in_flight: 0,
        excess_weight_share: 0.0,
        excess_cost_share: 1.0,
        ceiling_rate: 0.0,
        ceiling_burst: 0.0,
    }
}

/// Settings with the classes 0 safe, 1 keyed (cell), 2 unsafe, 3 keyed (all), and the plans 0
/// without a quota, 1 with a small one.
pub fn settings() -> Settings {
    Settings {
        ingresses: 2,
        ingress_index: 0,
        zone: 0,
        classes: vec![
            class(Idempotency::Safe, DeduplicationScope::All),
            class(Idempotency::Keyed, DeduplicationScope::Cell),
            class(Idempotency::Unsafe, DeduplicationScope::All),
            class(Idempotency::Keyed, DeduplicationScope::All),
        ],
        plans: vec![plan(0.0, 0.0), plan(10.0, 20.0)],
        load_report_fields: vec![LoadReportField::Queue],
        load_reports_by_health_check: false,
        endpoint_list_is_polled: false,
        health_checks_allowed: true,
        cancellation_allowed: true,
        hedging: true,
        counter: true,
        counter_timeout: 0.1,
        settles_units_later: false,
        max_units: 4.0,
        max_attempts: 4,
        max_retry_after: 2.0,
        resolution: 0.002,
        initial_capacity_share: 0.2,
        warm_up: 15.0,
        overload_factor: 3.0,
        overload_tolerance: 2.0,
    }
}

pub fn endpoint(endpoint: EndpointId) -> EndpointEntry {
    let cell = endpoint / 4;
    EndpointEntry {
        id: endpoint,
        zone: cell % 2,
        cell,
        state: EndpointState::Ready,
        capacity: 1.0,
        started_at: 0.0,
        pools: ALL_ENDPOINTS,
    }
}

pub struct TestIngress {
    pub engine: DecisionEngine,
    pub settings: Settings,
    pub now: f64,
    /// Actions that the last event returned.
    pub actions: Vec<Action>,
    next_request_id: RequestId,
}

impl TestIngress {
    /// Creates an ingress that has run for 60 s.
    pub fn new(settings: Settings, endpoints: u32) -> TestIngress {
        let mut ingress = TestIngress::just_started(settings, endpoints);
        ingress.now += 60.0;
        ingress
    }

    /// Creates an ingress that has just started.
    pub fn just_started(settings: Settings, endpoints: u32) -> TestIngress {
        let engine = DecisionEngine::new(settings.clone(), 1).expect("valid settings");
        let mut ingress = TestIngress {
            engine,
            settings,
            now: 1000.0,
            actions: Vec::new(),
            next_request_id: 1,
        };
        ingress.handle(Event::EndpointList {
            kind: ListKind::Full,
            entries: (0..endpoints).map(endpoint).collect(),
        });
        ingress
    }

    pub fn handle(&mut self, event: Event) -> &[Action] {
        self.actions.clear();
        self.engine.handle(self.now, event, &mut self.actions);
        &self.actions
    }

    /// Sends a request through two ingresses. Returns its id.
    pub fn request(
        &mut self,
        class: usize,
        plan: usize,
        tenant: TenantId,
        units: f64,
    ) -> RequestId {
        self.request_through(class, plan, tenant, units, 2)
    }

    /// Sends a request of a tenant whose traffic is spread over `spread` ingresses, from the first
    /// on. Returns its id.
    pub fn request_through(
        &mut self,
        class: usize,
        plan: usize,
        tenant: u64,
        units: f64,
        spread: u32,
    ) -> RequestId {
        let id = self.next_id();
        let give_up = self.now + 2.0;
        let (first, repeat) = (0, false);
        let request = Request {
            id,
            gives_up_at: give_up,
            class,
            plan,
            tenant,
            units,
            ingress_count: spread,
            first_ingress: first,
            is_retry: repeat,
            pools: ALL_ENDPOINTS,
        };
        self.handle(Event::RequestArrived(request));
        id
    }

    /// Sends a request without a quota whose client has already waited for `waited` seconds in
    /// earlier attempts. Returns its id.
    pub fn request_after_waiting(&mut self, class: usize, waited: f64) -> RequestId {
        let id = self.next_id();
        let request = Request {
            id,
            gives_up_at: self.now + self.settings.classes[class].deadline - waited,
            class,
            plan: 0,
            tenant: 1,
            units: 1.0,
            ingress_count: 2,
            first_ingress: 0,
            is_retry: false,
            pools: ALL_ENDPOINTS,
        };
        self.handle(Event::RequestArrived(request));
        id
    }

    fn next_id(&mut self) -> RequestId {
        let id = self.next_request_id;
        self.next_request_id += 1;
        id
    }

    /// Sends `n` requests in sequence, which stay pending. Returns the endpoint of each attempt.
    pub fn request_all(&mut self, class: usize, n: usize) -> Vec<(RequestId, EndpointId)> {
        let mut sent = Vec::new();
        for _ in 0..n {
            let id = self.request(class, 0, 1, 1.0);
            sent.extend(
                self.endpoints_sent_to(id)
                    .into_iter()
                    .map(|endpoint| (id, endpoint)),
            );
        }
        sent
    }

    /// Sends one request of a tenant with a quota. Returns the requests that were sent at once.
    pub fn request_unit(&mut self, tenant: TenantId) -> Vec<RequestId> {
        self.request(0, 1, tenant, 1.0);
        self.requests_sent()
    }

    /// Returns the requests for which the last event sent attempts.
    pub fn requests_sent(&self) -> Vec<RequestId> {
        let to = |a: &Action| match a {
            Action::Send { id, .. } => Some(*id),
            _ => None,
        };
        self.actions.iter().filter_map(to).collect()
    }

    pub fn end_attempt(&mut self, id: RequestId, attempt: u32, outcome: Outcome) {
        let finished = outcome == Outcome::Ok;
        let end = AttemptEnd {
            id,
            attempt,
            outcome,
            request_finished: finished,
            settled_units: None,
            report: vec![],
        };
        self.handle(Event::AttemptEnded(end));
    }

    pub fn tick(&mut self, after: f64) {
        self.now += after;
        self.handle(Event::Timer { token: 0 });
    }

    /// Ends the counter call for the total with this name.
    pub fn answer_counter(&mut self, name: u64, outcome: Outcome, total: f64) {
        self.handle(Event::CounterAnswered {
            name,
            outcome,
            total,
        });
    }

    /// Returns the endpoints to which the last event sent attempts of this request.
    pub fn endpoints_sent_to(&self, id: RequestId) -> Vec<EndpointId> {
        let to = |a: &Action| match a {
            Action::Send {
                id: i, endpoint, ..
            } if *i == id => Some(*endpoint),
            _ => None,
        };
        self.actions.iter().filter_map(to).collect()
    }

    /// Returns the names and amounts of the counter calls of the last event.
    pub fn counter_calls(&self) -> Vec<(u64, f64)> {
        let call = |a: &Action| match a {
            Action::AddToCounter { name, amount, .. } => Some((*name, *amount)),
            _ => None,
        };
        self.actions.iter().filter_map(call).collect()
    }

    pub fn is_rejected(&self, id: RequestId) -> bool {
        self.actions
            .iter()
            .any(|a| matches!(a, Action::Reject { id: i, .. } if *i == id))
    }

    pub fn is_failed(&self, id: RequestId) -> bool {
        self.actions.contains(&Action::Fail { id })
    }
}
