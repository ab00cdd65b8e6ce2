//! Every order of events of 2 and 3 ingresses with clocks of different rates: messages that come late, twice or never,
//! stalls between the last look at the clock and the act, members that die. The keepers are the real ones.

use driftgap_leases::{lease, Act, Duty, Holder, Keeper, Outcome, Rules, Table, Wish};
use stateright::{Checker, HasDiscoveries, Model, Property};
use std::hash::{Hash, Hasher};

/// The true time of one step, ms; a lease is two.
const STEP: f64 = 1000.0;
const LEASE: u32 = 2000;
const DUTY: &str = "d";

#[derive(Clone, Debug, PartialEq)]
struct Node {
    keeper: Keeper,
    /// What it knows of the agreed table.
    knows: Table,
    up: bool,
    /// It has looked at its clock, and is about to act by this token: it may stall here for as long as it likes.
    armed: Option<u64>,
    passed: bool,
}

/// All there is.
#[derive(Clone, Debug, PartialEq)]
struct World {
    tick: u32,
    nodes: Vec<Node>,
    table: Table,
    index: u64,
    /// Wishes on their way, and how often each may still be carried out.
    net: Vec<(Wish, u8)>,
    /// Acts on their way to what receives them.
    acts: Vec<u64>,
    /// Tokens of the acts that it took, the highest last unless something is wrong.
    taken: Vec<u64>,
}

impl Eq for World {}

impl Hash for World {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        // Times are floats: their text is as good as they are.
        format!("{self:?}").hash(hasher);
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// Time goes on for all.
    Tick,
    /// An ingress's turn: it wishes for what is due.
    Turn(usize),
    /// The group agrees on a wish that was sent.
    Agree(usize),
    /// An ingress hears of all that is agreed.
    Hear(usize),
    Arm(usize),
    Send(usize),
    Receive(usize),
    Die(usize),
}

struct Group {
    rates: Vec<f64>,
    ticks: u32,
    rules: Rules,
    fence: bool,
    deaths: bool,
    /// How often one wish may be agreed on.
    doubles: u8,
}

impl Group {
    fn now(&self, world: &World, i: usize) -> f64 {
        f64::from(world.tick) * STEP * self.rates[i]
    }
}

impl Model for Group {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let node = |i: usize| {
            let who = Holder {
                name: format!("m{i}"),
                life: i as u64,
            };
            let duty = Duty {
                name: DUTY.into(),
                lease_ms: LEASE,
                place: 0,
            };
            let keeper = Keeper::new(who, [duty], 0.0).by(self.rules);
            Node {
                keeper,
                knows: Table::default(),
                up: true,
                armed: None,
                passed: false,
            }
        };
        let nodes = (0..self.rates.len()).map(node).collect();
        let (net, acts, taken) = Default::default();
        vec![World {
            tick: 0,
            nodes,
            table: Table::default(),
            index: 0,
            net,
            acts,
            taken,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.tick < self.ticks {
            steps.push(Step::Tick);
        }
        for (i, node) in world.nodes.iter().enumerate().filter(|(_, node)| node.up) {
            if !node.passed {
                steps.push(Step::Turn(i));
            }
            if node.knows != world.table {
                steps.push(Step::Hear(i));
            }
            if node.armed.is_none() && node.keeper.token(self.now(world, i), DUTY).is_some() {
                steps.push(Step::Arm(i));
            }
            if node.armed.is_some() {
                steps.push(Step::Send(i));
            }
            if self.deaths {
                steps.push(Step::Die(i));
            }
        }
        steps.extend((0..world.net.len()).map(Step::Agree));
        steps.extend((0..world.acts.len()).map(Step::Receive));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Tick => {
                world.tick += 1;
                world.nodes.iter_mut().for_each(|node| node.passed = false);
            }
            Step::Turn(i) => {
                let now = self.now(&world, i);
                let node = &mut world.nodes[i];
                node.passed = true;
                let wishes = node.keeper.pass(now, &node.knows);
                node.keeper.changes();
                world
                    .net
                    .extend(wishes.into_iter().map(|wish| (wish, self.doubles)));
            }
            Step::Agree(at) => {
                world.index += 1;
                let (wish, left) = &mut world.net[at];
                *left -= 1;
                let outcome = world.table.apply(world.index, wish);
                if *left == 0 {
                    world.net.remove(at);
                }
                if matches!(outcome, Outcome::Changed | Outcome::Renewed(0)) {
                    // Nothing came of it: the log's place alone is no new state.
                    world.index -= 1;
                }
            }
            Step::Hear(i) => {
                let now = self.now(&world, i);
                let node = &mut world.nodes[i];
                node.knows = world.table.clone();
                node.keeper.see(now, &node.knows);
                node.keeper.changes();
            }
            Step::Arm(i) => {
                let now = self.now(&world, i);
                world.nodes[i].armed = world.nodes[i].keeper.token(now, DUTY);
            }
            Step::Send(i) => world.acts.extend(world.nodes[i].armed.take()),
            Step::Receive(at) => {
                let token = world.acts.remove(at);
                // What receives acts remembers the highest token that it has seen.
                let fits = world.taken.last().is_none_or(|highest| token >= *highest);
                if fits || !self.fence {
                    world.taken.push(token);
                    // Of those before it only the highest is of interest.
                    let highest = world.taken.iter().copied().max().unwrap_or(0);
                    world.taken = if token < highest {
                        vec![highest, token]
                    } else {
                        vec![token]
                    };
                }
            }
            Step::Die(i) => {
                world.nodes[i].up = false;
                world.nodes[i].armed = None;
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "two never may act at one moment, each by its own clock",
                |group: &Group, world: &World| {
                    let may = |i: &usize| {
                        let node = &world.nodes[*i];
                        node.up && node.keeper.token(group.now(world, *i), DUTY).is_some()
                    };
                    (0..world.nodes.len()).filter(may).count() <= 1
                },
            ),
            Property::always(
                "acts are taken in the order of their tokens",
                |_, world: &World| world.taken.is_sorted(),
            ),
            Property::sometimes("another one acts after the first", |_, world: &World| {
                world.taken.last().is_some_and(|token| *token >= 2)
            }),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.net.len() <= 2 && world.acts.len() <= 1
    }
}

/// What is found wrong with a group by these rules, and how many states were looked at.
fn checked(group: Group) -> (Vec<&'static str>, usize) {
    let checker = group
        .checker()
        .threads(4)
        .finish_when(HasDiscoveries::AnyFailures)
        .spawn_bfs()
        .join();
    (
        checker.discoveries().into_keys().collect(),
        checker.unique_state_count(),
    )
}

fn two(rules: Rules, fence: bool, rates: [f64; 2]) -> Group {
    Group {
        rates: rates.into(),
        ticks: 3,
        rules,
        fence,
        deaths: false,
        doubles: 1,
    }
}

/// That another one comes to act is no fault: it shows that the model goes so far.
const HELD: [&str; 1] = ["another one acts after the first"];
const EXTREMES: [[f64; 2]; 4] = [
    [1.0 - lease::BOUND, 1.0 + lease::BOUND],
    [1.0 + lease::BOUND, 1.0 - lease::BOUND],
    [1.0, 1.0],
    [1.0 + lease::BOUND, 1.0 + lease::BOUND],
];

#[test]
fn two_ingresses_in_every_order_never_act_against_each_other() {
    // All ends of the bound: the long one below.
    for rates in &EXTREMES[..1] {
        let (found, states) = checked(two(Rules::SOUND, true, *rates));
        println!("{rates:?}: {states} states");
        assert_eq!(found, HELD, "{rates:?}");
    }
}

#[test]
fn faults_that_are_built_in_are_found() {
    let slow_then_fast = EXTREMES[0];
    let found = |rules, fence| checked(two(rules, fence, slow_then_fast)).0;
    let both = found(
        Rules {
            from_sending: false,
            ..Rules::SOUND
        },
        true,
    );
    assert!(
        both.iter().any(|f| f.starts_with("two never")),
        "counted from the reply: {both:?}"
    );
    let both = found(
        Rules {
            bound: 0.0,
            ..Rules::SOUND
        },
        true,
    );
    assert!(
        both.iter().any(|f| f.starts_with("two never")),
        "no wait for the clock bound: {both:?}"
    );
    let order = found(Rules::SOUND, false);
    assert!(
        order.iter().any(|f| f.starts_with("acts are")),
        "no fence: {order:?}"
    );
}

#[test]
fn the_table_itself_judges_acts_by_their_token() {
    let mut table = Table::default();
    let who = |life| Holder {
        name: "m".into(),
        life,
    };
    let take = |life, seen| Wish::Take {
        duty: DUTY.into(),
        who: who(life),
        seen,
        lease_ms: 5,
        number: 1,
    };
    assert_eq!(table.apply(7, &take(1, 0)), Outcome::Granted(1));
    assert_eq!(table.apply(8, &take(2, 0)), Outcome::Changed);
    assert_eq!(table.judge(DUTY, 1), Act::Accepted);
    assert_eq!(table.apply(9, &take(2, 7)), Outcome::Granted(2));
    assert_eq!(
        (table.judge(DUTY, 1), table.judge(DUTY, 2)),
        (Act::Stale, Act::Accepted)
    );
    let give = |token| Wish::Give {
        duty: DUTY.into(),
        token,
    };
    assert_eq!(table.apply(10, &give(1)), Outcome::Changed);
    assert_eq!(table.apply(11, &give(2)), Outcome::Given);
    assert_eq!(table.held(DUTY).unwrap().holder, None);
}

#[test]
#[ignore = "long: figures are in the commits"]
fn three_ingresses_and_doubled_messages_in_every_order() {
    for rates in EXTREMES {
        let (found, states) = checked(two(Rules::SOUND, true, rates));
        println!("{rates:?}: {states} states");
        assert_eq!(found, HELD, "{rates:?}");
    }
    let (slow, fast) = (1.0 - lease::BOUND, 1.0 + lease::BOUND);
    for (rates, ticks, doubles, deaths) in [
        (vec![slow, fast, 1.0], 3, 1, false),
        (vec![slow, fast], 3, 2, false),
        (vec![slow, fast], 4, 1, true),
    ] {
        let name = format!("{rates:?}, {ticks} steps, {doubles} times each, deaths: {deaths}");
        let group = Group {
            rates,
            ticks,
            rules: Rules::SOUND,
            fence: true,
            deaths,
            doubles,
        };
        let (found, states) = checked(group);
        println!("{name}: {states} states");
        assert_eq!(found, HELD, "{name}");
    }
}
