//! The simulated group: followers connect, changes reach all of them, and the same seed gives the
//! same traffic.

use driftgap_group::{DocumentKind, Proposal};
use driftgap_scale::hollow::group::GroupWorld;
use driftgap_scale::hollow::Traffic;

const MEMBERS: usize = 3;

fn traffic(world: &GroupWorld) -> Vec<(Traffic, Traffic)> {
    let loads = world.member_loads().iter().chain(world.follower_loads());
    loads.map(|load| (load.sent, load.received)).collect()
}

fn idle(seed: u64) -> Vec<(Traffic, Traffic)> {
    let mut world = GroupWorld::start(MEMBERS, 20, seed).unwrap();
    world.run(5_000.0).unwrap();
    traffic(&world)
}

#[test]
fn traffic_depends_on_the_seed() {
    assert_eq!(idle(1), idle(1));
    assert_ne!(idle(1), idle(2));
}

#[test]
fn followers_spread_over_members_and_receive_heartbeats() {
    let mut world = GroupWorld::start(MEMBERS, 300, 3).unwrap();
    let spread = world.followers_by_member();
    assert!(
        spread.iter().all(|count| (60..=160).contains(count)),
        "{spread:?}"
    );
    let before = world.follower_loads()[7];
    world.run(10_000.0).unwrap();
    let load = world.follower_loads()[7].since(before);
    // In each half second a follower receives a heartbeat and a keep-alive frame, and sends one
    // frame.
    assert!((36..=40).contains(&load.received.messages), "{load:?}");
    assert!((19..=21).contains(&load.sent.messages), "{load:?}");
}

#[test]
fn a_change_and_a_document_reach_every_follower() {
    let mut world = GroupWorld::start(MEMBERS, 50, 4).unwrap();
    world
        .propose(Proposal::Suspend("endpoint-1".into()))
        .unwrap();
    world.run_until_replicated(2_000.0).unwrap();
    world
        .propose(Proposal::Write(DocumentKind::Rules, 0, vec![b'r'; 100_000]))
        .unwrap();
    world.run_until_replicated(4_000.0).unwrap();
    let delays = world.take_delays();
    assert_eq!(delays.len(), 2);
    assert!(
        delays
            .iter()
            .all(|delay| 0.0 < delay.commit_ms && delay.commit_ms < delay.last_follower_ms),
        "{delays:?}"
    );
    assert!(
        world.take_largest_burst() > 10 * 100_000,
        "a member sends the document to all its followers in one iteration"
    );
    let received: u64 = world
        .follower_loads()
        .iter()
        .map(|load| load.received.bytes)
        .sum();
    assert!(received > 50 * 100_000);
    let (_, followers) = world.into_nodes();
    assert!(followers
        .iter()
        .all(|follower| follower.holds("endpoint-1", 1)));
}

#[test]
fn oversized_document_is_not_counted_as_a_change() {
    let mut world = GroupWorld::start(MEMBERS, 3, 5).unwrap();
    let bytes = vec![b'r'; driftgap_group::MAX_DOCUMENT + 1];
    world
        .propose(Proposal::Write(DocumentKind::Rules, 0, bytes))
        .unwrap();
    world.run_until_replicated(2_000.0).unwrap();
    assert!(world.take_delays().is_empty());
}
