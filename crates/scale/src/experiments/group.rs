//! What a group costs by its number of followers: three members, and followers that are each
//! connected to one of them over links in memory.

use crate::experiment::{Experiment, ExperimentError, Measurement, Unit};
use crate::hollow::group::{Delay, GroupWorld, Load, WorldError};
use crate::probe::measure;
use driftgap_group::{DocumentKind, Proposal};

const MEMBERS: usize = 3;
const SIZES: [u64; 6] = [10, 30, 100, 300, 1_000, 2_500];
const QUICK_SIZES: [u64; 4] = [10, 30, 100, 300];
/// Numbers of followers that each hold a document; fewer, since all of them share one process'
/// memory.
const DOCUMENT_SIZES: [u64; 5] = [10, 30, 100, 300, 1_000];
/// Duration of the idle measurement, s.
const IDLE_SECONDS: u64 = 10;
/// Time after the start in which every follower receives its replica, ms.
const SETTLING_MS: f64 = 2_000.0;
/// Time limit for a change to reach every follower, ms.
pub(super) const REPLICATION_TIMEOUT_MS: f64 = 20_000.0;
/// Size of a rule document, bytes.
pub(super) const DOCUMENT_BYTES: usize = 100_000;

impl From<WorldError> for ExperimentError {
    fn from(error: WorldError) -> ExperimentError {
        ExperimentError::Refused(error.to_string())
    }
}

/// Starts a group with followers and lets it settle.
pub(super) fn start(followers: usize, seed: u64) -> Result<GroupWorld, ExperimentError> {
    let mut world = GroupWorld::start(MEMBERS, followers, seed)?;
    world.run(SETTLING_MS)?;
    Ok(world)
}

/// The loads of all nodes at one time.
pub(super) struct LoadSnapshot {
    pub(super) members: Vec<Load>,
    pub(super) followers: Vec<Load>,
}

impl LoadSnapshot {
    pub(super) fn take(world: &GroupWorld) -> LoadSnapshot {
        LoadSnapshot {
            members: world.member_loads().to_vec(),
            followers: world.follower_loads().to_vec(),
        }
    }

    /// Returns the loads since an earlier snapshot.
    pub(super) fn since(self, earlier: &LoadSnapshot) -> LoadSnapshot {
        let since = |now: Vec<Load>, then: &[Load]| {
            now.iter()
                .zip(then)
                .map(|(now, then)| now.since(*then))
                .collect()
        };
        LoadSnapshot {
            members: since(self.members, &earlier.members),
            followers: since(self.followers, &earlier.followers),
        }
    }

    /// Returns the load of the member, other than the leader, that has sent most bytes.
    pub(super) fn busiest_other_member(&self, leader: usize) -> Load {
        let others = self
            .members
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != leader)
            .map(|(_, load)| *load);
        others
            .max_by_key(|load| load.sent.bytes)
            .unwrap_or_default()
    }
}

/// Returns one node's load as quantities, each divided by `divisor` (seconds or repeats).
pub(super) fn load(role: &str, load: Load, divisor: u64) -> Vec<Measurement> {
    loads(role, &[load], divisor)
}

/// Returns the mean of the nodes' loads as quantities, each divided by `divisor` (seconds or
/// repeats).
pub(super) fn loads(role: &str, loads: &[Load], divisor: u64) -> Vec<Measurement> {
    let denominator = (loads.len().max(1) as u64 * divisor) as f64;
    let mean = |figure: &dyn Fn(&Load) -> f64| loads.iter().map(figure).sum::<f64>() / denominator;
    let counted = |name: &str, unit, figure: &dyn Fn(&Load) -> f64| {
        Measurement::counted(format!("{role}_{name}"), unit, mean(figure))
    };
    vec![
        counted("sent_messages", Unit::Messages, &|load| {
            load.sent.messages as f64
        }),
        counted("sent_bytes", Unit::Bytes, &|load| load.sent.bytes as f64),
        counted("received_messages", Unit::Messages, &|load| {
            load.received.messages as f64
        }),
        counted("received_bytes", Unit::Bytes, &|load| {
            load.received.bytes as f64
        }),
        Measurement::timed(
            format!("{role}_cpu"),
            Unit::Microseconds,
            mean(&|load| load.cpu.as_secs_f64() * 1e6),
        ),
    ]
}

/// Returns the largest commit delay of all changes, and the median and the largest delay until the
/// last follower has a change.
pub(super) fn delays(delays: &[Delay]) -> Vec<Measurement> {
    let mut last_follower: Vec<f64> = delays.iter().map(|delay| delay.last_follower_ms).collect();
    last_follower.sort_by(f64::total_cmp);
    let largest_commit = delays
        .iter()
        .map(|delay| delay.commit_ms)
        .fold(0.0, f64::max);
    let counted = |name: &str, value| Measurement::counted(name, Unit::Milliseconds, value);
    vec![
        counted("change_agreed_delay_max", largest_commit),
        counted(
            "change_last_follower_delay_median",
            last_follower
                .get(last_follower.len() / 2)
                .copied()
                .unwrap_or(0.0),
        ),
        counted(
            "change_last_follower_delay_max",
            last_follower.last().copied().unwrap_or(0.0),
        ),
    ]
}

/// Returns the heap of each node: what dropping the node frees, plus the size of the node itself.
fn heap_of<T>(nodes: Vec<T>) -> Vec<f64> {
    let freed = |node: T| -(measure(|| drop(node)).1.heap as f64) + std::mem::size_of::<T>() as f64;
    nodes.into_iter().map(freed).collect()
}

/// Returns the heap of the leader, the largest heap of the other members and the mean heap of the
/// followers.
pub(super) fn heaps(world: GroupWorld, leader: usize) -> Vec<Measurement> {
    let (members, followers) = world.into_nodes();
    let (members, followers) = (heap_of(members), heap_of(followers));
    let follower = followers.iter().sum::<f64>() / followers.len().max(1) as f64;
    let others = members
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != leader)
        .map(|(_, heap)| *heap);
    vec![
        Measurement::counted("leader_heap", Unit::Bytes, members[leader]),
        Measurement::counted("member_heap", Unit::Bytes, others.fold(0.0, f64::max)),
        Measurement::counted("follower_heap", Unit::Bytes, follower),
    ]
}

/// Measures an idle group by its number of followers.
pub struct IdleByFollowers;

impl Experiment for IdleByFollowers {
    fn name(&self) -> &'static str {
        "group-idle"
    }

    fn description(&self) -> &'static str {
        "A group of three members and its followers in an idle second: leader, busiest other member, mean follower"
    }

    fn axis(&self) -> &'static str {
        "followers"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_SIZES.to_vec()
        } else {
            SIZES.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut world = start(size as usize, seed)?;
        let before = LoadSnapshot::take(&world);
        world.run(1_000.0 * IDLE_SECONDS as f64)?;
        let idle = LoadSnapshot::take(&world).since(&before);
        let leader = world.leader()?;
        let max = world.followers_by_member().into_iter().max().unwrap_or(0);
        let mut results = vec![Measurement::counted(
            "most_followers_of_a_member",
            Unit::Count,
            max as f64,
        )];
        results.extend(load("leader_second", idle.members[leader], IDLE_SECONDS));
        results.extend(load(
            "member_second",
            idle.busiest_other_member(leader),
            IDLE_SECONDS,
        ));
        results.extend(loads("follower_second", &idle.followers, IDLE_SECONDS));
        results.extend(heaps(world, leader));
        Ok(results)
    }
}

/// Measures the distribution of one document by the number of followers.
pub struct DocumentByFollowers;

impl Experiment for DocumentByFollowers {
    fn name(&self) -> &'static str {
        "group-document"
    }

    fn description(&self) -> &'static str {
        "A document of 100 KB put in force in a group of three members and its followers, at 1 Gbit/s a machine"
    }

    fn axis(&self) -> &'static str {
        "followers"
    }

    fn sizes(&self, quick: bool) -> Vec<u64> {
        if quick {
            QUICK_SIZES.to_vec()
        } else {
            DOCUMENT_SIZES.to_vec()
        }
    }

    fn measure(&self, size: u64, seed: u64) -> Result<Vec<Measurement>, ExperimentError> {
        let mut world = start(size as usize, seed)?;
        world.take_largest_burst();
        let before = LoadSnapshot::take(&world);
        world.propose(Proposal::Write(
            DocumentKind::Rules,
            0,
            document(DOCUMENT_BYTES, 0),
        ))?;
        world.run_until_replicated(REPLICATION_TIMEOUT_MS)?;
        let change = LoadSnapshot::take(&world).since(&before);
        let leader = world.leader()?;
        let burst = world.take_largest_burst();
        let mut results = delays(&world.take_delays());
        results.push(Measurement::counted(
            "member_largest_burst",
            Unit::Bytes,
            burst as f64,
        ));
        results.extend(load("leader_document", change.members[leader], 1));
        results.extend(load(
            "member_document",
            change.busiest_other_member(leader),
            1,
        ));
        results.extend(loads("follower_document", &change.followers, 1));
        results.extend(heaps(world, leader));
        Ok(results)
    }
}

/// Returns a document of `length` bytes whose first line contains the number of the change.
pub(super) fn document(length: usize, change: u64) -> Vec<u8> {
    let mut bytes = vec![b'r'; length];
    let line = format!("change {change:08}\n");
    bytes[..line.len()].copy_from_slice(line.as_bytes());
    bytes
}
