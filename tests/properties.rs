//! Invariants that hold for generated event sequences, with a fixed seed.

mod common;

use common::*;
use driftgap::decision::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

/// A step of a generated event sequence.
#[derive(Clone, Debug)]
enum Step {
    Request {
        class: usize,
        tenant: u64,
        units: u8,
    },
    /// Ends one of the attempts in flight, selected by index, with one of [`OUTCOMES`].
    EndAttempt {
        attempt: usize,
        outcome: usize,
    },
    /// Makes an endpoint drain or become ready again.
    Drain {
        endpoint: EndpointId,
        draining: bool,
    },
    /// Ends the last counter call with one of [`OUTCOMES`].
    AnswerCounter {
        outcome: usize,
    },
    Wait {
        ms: u16,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0u64..5, 1u8..5)
            .prop_map(|(class, tenant, units)| Step::Request { class, tenant, units }),
        6 => (any::<usize>(), 0usize..7)
            .prop_map(|(attempt, outcome)| Step::EndAttempt { attempt, outcome }),
        1 => (0u32..6, any::<bool>())
            .prop_map(|(endpoint, draining)| Step::Drain { endpoint, draining }),
        2 => (0usize..4).prop_map(|outcome| Step::AnswerCounter { outcome }),
        4 => (1u16..400).prop_map(|ms| Step::Wait { ms }),
    ]
}

struct ObservedAttempt {
    endpoint: EndpointId,
    sent_at: f64,
    /// `None` while the attempt is in flight.
    outcome: Option<Outcome>,
}

impl ObservedAttempt {
    fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
        )
    }
}

#[derive(Default)]
struct ObservedRequest {
    class: usize,
    give_up: f64,
    attempts: Vec<ObservedAttempt>,
    answers: u32,
}

const OUTCOMES: [Outcome; 7] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Timeout,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
];

/// Class indexes of the settings in `common`.
const KEYED_IN_CELL: usize = 1;
const UNSAFE: usize = 2;
const KEYED_EVERYWHERE: usize = 3;
/// Idempotency window of the keyed classes, s.
const IDEMPOTENCY_WINDOW: f64 = 1.0;

#[derive(Default)]
struct Environment {
    requests: BTreeMap<RequestId, ObservedRequest>,
    /// Due time, s, and token of each timer.
    timers: Vec<(f64, u64)>,
    /// Names and amounts of unanswered counter calls.
    calls: Vec<(u64, f64)>,
    draining: Vec<EndpointId>,
}

impl Environment {
    /// Executes the actions of the ingress and checks them against the invariants.
    fn execute_actions(&mut self, now: f64, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { id, endpoint, .. } => self.send(now, id, endpoint),
                Action::Reject { id, .. } => self.reject(id),
                Action::Fail { id } => self.requests.get_mut(&id).unwrap().answers += 1,
                Action::Timer { after, token } => self.timers.push((now + after, token)),
                Action::AddToCounter { name, amount, .. } => self.calls.push((name, amount)),
                _ => {}
            }
        }
        assert!(
            self.requests.values().all(|request| request.answers <= 1),
            "request answered twice"
        );
    }

    fn send(&mut self, now: f64, id: RequestId, endpoint: EndpointId) {
        assert!(
            !self.draining.contains(&endpoint),
            "sent to a draining endpoint"
        );
        let request = self.requests.get_mut(&id).unwrap();
        assert_eq!(request.answers, 0, "sent after the final answer");
        for earlier in request.attempts.iter().filter(|a| a.may_have_run()) {
            assert_ne!(
                request.class, UNSAFE,
                "unsafe request that may have run is retried"
            );
            if matches!(request.class, KEYED_IN_CELL | KEYED_EVERYWHERE) {
                assert!(
                    now - earlier.sent_at < IDEMPOTENCY_WINDOW,
                    "keyed request retried after its idempotency window"
                );
                assert!(
                    request.class == KEYED_EVERYWHERE || earlier.endpoint / 4 == endpoint / 4,
                    "keyed request retried in another cell"
                );
            }
        }
        request.attempts.push(ObservedAttempt {
            endpoint,
            sent_at: now,
            outcome: None,
        });
    }

    fn reject(&mut self, id: RequestId) {
        let request = self.requests.get_mut(&id).unwrap();
        request.answers += 1;
        let may_have_run = request.attempts.iter().any(ObservedAttempt::may_have_run);
        assert!(
            !(may_have_run && matches!(request.class, KEYED_IN_CELL | UNSAFE)),
            "request that may have run is rejected"
        );
    }

    fn apply(&mut self, ingress: &mut TestIngress, step: Step) {
        match step {
            Step::Request {
                class,
                tenant,
                units,
            } => self.request(ingress, class, tenant, units),
            Step::EndAttempt { attempt, outcome } => {
                self.end_attempt(ingress, attempt, OUTCOMES[outcome]);
            }
            Step::Drain { endpoint, draining } => self.drain(ingress, endpoint, draining),
            Step::AnswerCounter { outcome } => self.answer_counter(ingress, OUTCOMES[outcome]),
            Step::Wait { ms } => self.wait(ingress, f64::from(ms) / 1000.0),
        }
    }

    fn request(&mut self, ingress: &mut TestIngress, class: usize, tenant: u64, units: u8) {
        let id = self.requests.len() as RequestId + 1;
        let request = ObservedRequest {
            class,
            give_up: ingress.now + 2.0,
            ..ObservedRequest::default()
        };
        self.requests.insert(id, request);
        assert_eq!(ingress.request(class, 1, tenant, f64::from(units)), id);
        self.execute_actions(ingress.now, &ingress.actions);
    }

    fn end_attempt(&mut self, ingress: &mut TestIngress, index: usize, outcome: Outcome) {
        let in_flight = self.attempts_in_flight();
        if in_flight.is_empty() {
            return;
        }
        let (id, number) = in_flight[index % in_flight.len()];
        let request = self.requests.get_mut(&id).unwrap();
        request.attempts[number].outcome = Some(outcome);
        if outcome == Outcome::Ok && request.answers == 0 {
            request.answers = 1;
        }
        ingress.end_attempt(id, number as u32, outcome);
        self.execute_actions(ingress.now, &ingress.actions);
    }

    /// Returns the request id and attempt number of each attempt in flight.
    fn attempts_in_flight(&self) -> Vec<(RequestId, usize)> {
        let mut in_flight = Vec::new();
        for (id, request) in &self.requests {
            for (number, attempt) in request.attempts.iter().enumerate() {
                if attempt.outcome.is_none() {
                    in_flight.push((*id, number));
                }
            }
        }
        in_flight
    }

    fn drain(&mut self, ingress: &mut TestIngress, id: EndpointId, draining: bool) {
        self.draining.retain(|other| *other != id);
        let mut entry = endpoint(id);
        if draining {
            self.draining.push(id);
            entry.state = EndpointState::Draining;
        }
        ingress.handle(Event::EndpointList {
            kind: ListKind::Delta,
            entries: vec![entry],
        });
        self.execute_actions(ingress.now, &ingress.actions);
    }

    fn answer_counter(&mut self, ingress: &mut TestIngress, outcome: Outcome) {
        if let Some((name, amount)) = self.calls.pop() {
            ingress.answer_counter(name, outcome, amount);
            self.execute_actions(ingress.now, &ingress.actions);
        }
    }

    /// Advances time and fires the timers that become due.
    fn wait(&mut self, ingress: &mut TestIngress, seconds: f64) {
        let until = ingress.now + seconds;
        loop {
            self.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            if self.timers.first().is_none_or(|timer| timer.0 > until) {
                break;
            }
            let (due, token) = self.timers.remove(0);
            ingress.now = ingress.now.max(due);
            ingress.handle(Event::Timer { token });
            self.execute_actions(ingress.now, &ingress.actions);
        }
        ingress.now = until;
    }

    fn check_answered_in_time(&self, now: f64) {
        let answered = |request: &ObservedRequest| request.answers == 1 || request.give_up > now;
        assert!(
            self.requests.values().all(answered),
            "request not answered in time"
        );
    }
}

#[test]
fn event_sequences_preserve_request_invariants() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(step(), 1..200), |steps| {
        let mut ingress = TestIngress::new(settings(), 6);
        let mut environment = Environment::default();
        environment.execute_actions(ingress.now, &ingress.actions);
        for step in steps.into_iter().chain([Step::Wait { ms: 3000 }]) {
            environment.apply(&mut ingress, step);
            environment.check_answered_in_time(ingress.now);
        }
        Ok(())
    });
    result.unwrap();
}
