//! Invariants over generated event sequences, with a fixed seed.

mod common;

use common::*;
use driftgap::decision::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Step {
    Ask(usize, u64, u8),
    End(usize, usize),
    Drain(u32, bool),
    Count(usize),
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0usize..4, 0u64..5, 1u8..5).prop_map(|(c, k, u)| Step::Ask(c, k, u)),
        6 => (any::<usize>(), 0usize..7).prop_map(|(i, o)| Step::End(i, o)),
        1 => (0u32..6, any::<bool>()).prop_map(|(h, d)| Step::Drain(h, d)),
        2 => (0usize..4).prop_map(Step::Count),
        4 => (1u16..400).prop_map(Step::Wait),
    ]
}

#[derive(Default)]
struct Seen {
    class: usize,
    give_up: f64,
    sent: Vec<(EndpointId, f64, Option<Outcome>)>,
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

#[derive(Default)]
struct World {
    seen: BTreeMap<RequestId, Seen>,
    timers: Vec<(f64, u64)>,
    calls: Vec<(u64, f64)>,
    draining: Vec<EndpointId>,
}

fn proves_it_never_ran(o: Option<Outcome>) -> bool {
    matches!(
        o,
        Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    )
}

impl World {
    /// Carries out what the ingress asked for and checks it against the rules.
    fn carry_out(&mut self, now: f64, actions: &[Action]) {
        for action in actions {
            match *action {
                Action::Send { id, endpoint, .. } => {
                    assert!(
                        !self.draining.contains(&endpoint),
                        "sent to a draining host"
                    );
                    let seen = self.seen.get_mut(&id).unwrap();
                    assert_eq!(seen.answers, 0, "sent after the final answer");
                    let maybe: Vec<_> = seen
                        .sent
                        .iter()
                        .filter(|s| !proves_it_never_ran(s.2))
                        .collect();
                    match seen.class {
                        2 => assert!(maybe.is_empty(), "unsafe, and may have run"),
                        1 | 3 => {
                            for s in maybe {
                                assert!(now - s.1 < 1.0, "keyed, and its window is over");
                                assert!(
                                    seen.class == 3 || s.0 / 4 == endpoint / 4,
                                    "keyed, another cell"
                                );
                            }
                        }
                        _ => {}
                    }
                    seen.sent.push((endpoint, now, None));
                }
                Action::Reject { id, .. } => {
                    let seen = self.seen.get_mut(&id).unwrap();
                    seen.answers += 1;
                    let ran = seen.sent.iter().any(|s| !proves_it_never_ran(s.2));
                    assert!(
                        !(ran && matches!(seen.class, 1 | 2)),
                        "refused, and may have run"
                    );
                }
                Action::Fail { id } => self.seen.get_mut(&id).unwrap().answers += 1,
                Action::Timer { after, token } => self.timers.push((now + after, token)),
                Action::AddToCounter { name, amount, .. } => self.calls.push((name, amount)),
                _ => {}
            }
        }
        assert!(self.seen.values().all(|s| s.answers <= 1), "answered twice");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
fn one_answer_in_time_effects_and_drains_are_kept() {
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(step(), 1..200), |steps| {
        let mut bed = Bed::new(settings(), 6);
        let mut world = World::default();
        world.carry_out(bed.now, &bed.last);
        for step in steps.into_iter().chain([Step::Wait(3000)]) {
            match step {
                Step::Ask(class, tenant, units) => {
                    let give_up = bed.now + 2.0;
                    let next = world.seen.len() as RequestId + 1;
                    world.seen.insert(
                        next,
                        Seen {
                            class,
                            give_up,
                            ..Seen::default()
                        },
                    );
                    assert_eq!(bed.ask(class, 1, tenant, f64::from(units)), next);
                    world.carry_out(bed.now, &bed.last);
                }
                Step::End(i, o) => {
                    let mut open = Vec::new();
                    for (id, s) in &world.seen {
                        open.extend(
                            (0..s.sent.len())
                                .filter(|k| s.sent[*k].2.is_none())
                                .map(|k| (*id, k)),
                        );
                    }
                    if open.is_empty() {
                        continue;
                    }
                    let (id, k) = open[i % open.len()];
                    let seen = world.seen.get_mut(&id).unwrap();
                    seen.sent[k].2 = Some(OUTCOMES[o]);
                    if OUTCOMES[o] == Outcome::Ok && seen.answers == 0 {
                        seen.answers = 1;
                    }
                    bed.end(id, k as u32, OUTCOMES[o]);
                    world.carry_out(bed.now, &bed.last);
                }
                Step::Drain(h, drain) => {
                    world.draining.retain(|d| *d != h);
                    let mut entry = endpoint(h);
                    if drain {
                        world.draining.push(h);
                        entry.state = EndpointState::Draining;
                    }
                    bed.tell(Event::EndpointList {
                        kind: ListKind::Delta,
                        entries: vec![entry],
                    });
                    world.carry_out(bed.now, &bed.last);
                }
                Step::Count(o) => {
                    if let Some((name, amount)) = world.calls.pop() {
                        let outcome = OUTCOMES[o];
                        bed.tell(Event::CounterAnswered {
                            name,
                            outcome,
                            total: amount,
                        });
                        world.carry_out(bed.now, &bed.last);
                    }
                }
                Step::Wait(ms) => {
                    let until = bed.now + f64::from(ms) / 1000.0;
                    loop {
                        world.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
                        if world.timers.first().is_none_or(|t| t.0 > until) {
                            break;
                        }
                        let (at, token) = world.timers.remove(0);
                        bed.now = bed.now.max(at);
                        bed.tell(Event::Timer { token });
                        world.carry_out(bed.now, &bed.last);
                    }
                    bed.now = until;
                }
            }
            let now = bed.now;
            assert!(
                world
                    .seen
                    .values()
                    .all(|s| s.answers == 1 || s.give_up > now),
                "not answered in time"
            );
        }
        Ok(())
    });
    result.unwrap();
}
