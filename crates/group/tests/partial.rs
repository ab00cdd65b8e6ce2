//! Partial partitions: members that reach only some of the others still elect a leader and commit.

mod world;

use world::{CallKind, World};

/// Makes calls at every member until one is committed. Returns how long that took, ms, or `None`
/// after 20 s.
fn time_to_commit(world: &mut World) -> Option<f64> {
    let began = world.now_ms;
    let mut calls = Vec::new();
    while world.now_ms - began < 20_000.0 {
        for i in 0..world.nodes.len() {
            calls.extend(world.call(i, CallKind::Suspend(format!("{}-{i}", world.now_ms))));
        }
        for _ in 0..300 {
            world.run(1.0);
            if calls.iter().any(|c| world.records[*c].ended_ms.is_some()) {
                return Some(world.now_ms - began);
            }
        }
    }
    None
}

fn cut_links(world: &mut World, a: usize, b: usize) {
    world.cut_links.extend([(a, b), (b, a)]);
}

/// A complete group, its leader and the other members.
fn ready_group(size: usize, seed: u64) -> (World, usize, Vec<usize>) {
    let mut world = World::new(size, seed);
    world.run_until(20_000.0, World::is_ready);
    let leader = world.leader().unwrap();
    let others = (0..size).filter(|i| *i != leader).collect();
    (world, leader, others)
}

/// Cuts all links but those of one member.
fn cut_to_star(world: &mut World, hub: usize) {
    for a in 0..world.nodes.len() {
        for b in (0..a).filter(|b| a != hub && *b != hub) {
            cut_links(world, a, b);
        }
    }
}

/// Links between members are cut so that the leader, or the only member that reaches a majority, is
/// not the one that the consensus library needs. As long as members reach each other in two hops, a
/// call must be committed within seconds.
#[test]
fn group_commits_while_members_reach_each_other_in_two_hops() {
    let mut times: Vec<(&str, Vec<f64>)> = Vec::new();
    let mut record_time = |scenario: &'static str, seed: u64, ms: Option<f64>, max: f64| {
        let ms = ms.unwrap_or_else(|| panic!("seed {seed}: {scenario}: no commit in 20 s"));
        assert!(ms < max, "seed {seed}: {scenario}: {ms} ms");
        match times.iter_mut().find(|(name, _)| *name == scenario) {
            Some((_, all)) => all.push(ms),
            None => times.push((scenario, vec![ms])),
        }
    };
    for seed in 0..20 {
        let (mut world, leader, others) = ready_group(3, seed);
        cut_links(&mut world, leader, others[1]);
        record_time(
            "chain of 3, leader at the end",
            seed,
            time_to_commit(&mut world),
            500.0,
        );
        let (mut world, _, others) = ready_group(5, seed);
        cut_to_star(&mut world, others[0]);
        record_time(
            "star of 5, leader is not the hub",
            seed,
            time_to_commit(&mut world),
            3000.0,
        );
        let (mut world, leader, others) = ready_group(5, seed);
        cut_links(&mut world, leader, others[0]);
        let _ = world.call(leader, CallKind::Suspend("x".into()));
        world.run(100.0);
        cut_to_star(&mut world, others[0]);
        record_time(
            "star of 5, hub lags, leader cut off",
            seed,
            time_to_commit(&mut world),
            3000.0,
        );
        let (mut world, leader, others) = ready_group(3, seed);
        world.cut_links.extend(others.iter().map(|x| (leader, *x)));
        record_time(
            "leader receives and cannot send",
            seed,
            time_to_commit(&mut world),
            3000.0,
        );
        let (mut world, leader, others) = ready_group(3, seed);
        world.cut_links.extend(others.iter().map(|x| (*x, leader)));
        record_time(
            "leader sends and cannot receive",
            seed,
            time_to_commit(&mut world),
            4000.0,
        );
    }
    for (scenario, mut all) in times {
        all.sort_by(f64::total_cmp);
        println!(
            "{scenario}: median {:.0} ms, maximum {:.0} ms",
            all[all.len() / 2],
            all[all.len() - 1]
        );
    }
}

/// A link fails and recovers repeatedly. Messages must be forwarded around it, and leader and term
/// must stay.
#[test]
fn flapping_link_does_not_change_the_leader() {
    for seed in 0..5 {
        let (mut world, leader, others) = ready_group(3, seed);
        let term = world.nodes[leader]
            .member()
            .unwrap()
            .status(world.now_ms)
            .term;
        for _ in 0..20 {
            cut_links(&mut world, leader, others[0]);
            world.run(700.0);
            world.cut_links.clear();
            world.run(700.0);
        }
        assert_eq!(world.leader(), Some(leader), "seed {seed}");
        assert_eq!(
            world.nodes[leader]
                .member()
                .unwrap()
                .status(world.now_ms)
                .term,
            term,
            "seed {seed}"
        );
    }
}
