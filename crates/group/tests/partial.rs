//! Members that reach only some: who leads, and whether anything is agreed.

mod world;

use world::{What, World};

/// Calls at every member until one is agreed; how long that took, or none in 20 s.
fn agreed(world: &mut World) -> Option<f64> {
    let began = world.now_ms;
    let mut calls = Vec::new();
    while world.now_ms - began < 20_000.0 {
        for i in 0..world.nodes.len() {
            calls.extend(world.call(i, What::Suspend(format!("{}-{i}", world.now_ms))));
        }
        for _ in 0..300 {
            world.run(1.0);
            if calls.iter().any(|c| world.seen[*c].ended_ms.is_some()) {
                return Some(world.now_ms - began);
            }
        }
    }
    None
}

fn cut(world: &mut World, a: usize, b: usize) {
    world.cut.extend([(a, b), (b, a)]);
}

/// A whole group; its leader and the others.
fn set(size: usize, seed: u64) -> (World, usize, Vec<usize>) {
    let mut world = World::new(size, seed);
    world.until(20_000.0, World::whole);
    let leader = world.leader().unwrap();
    let others = (0..size).filter(|i| *i != leader).collect();
    (world, leader, others)
}

/// All links but those of one member.
fn star(world: &mut World, hub: usize) {
    for a in 0..world.nodes.len() {
        for b in (0..a).filter(|b| a != hub && *b != hub) {
            cut(world, a, b);
        }
    }
}

/// Links between members are cut so that the leader, or the only member that reaches a majority, is not where the
/// consensus library needs it. As long as members reach each other in two steps a call must be promised within
/// seconds.
#[test]
fn whoever_reaches_a_majority_in_two_steps_goes_on() {
    let mut figures: Vec<(&str, Vec<f64>)> = Vec::new();
    let mut note = |what: &'static str, seed: u64, ms: Option<f64>, max: f64| {
        let ms = ms.unwrap_or_else(|| panic!("seed {seed}: {what}: nothing in 20 s"));
        assert!(ms < max, "seed {seed}: {what}: {ms} ms");
        match figures.iter_mut().find(|(w, _)| *w == what) {
            Some((_, all)) => all.push(ms),
            None => figures.push((what, vec![ms])),
        }
    };
    for seed in 0..20 {
        let (mut w, l, o) = set(3, seed);
        cut(&mut w, l, o[1]);
        note("chain of 3, leader at its end", seed, agreed(&mut w), 500.0);
        let (mut w, _, o) = set(5, seed);
        star(&mut w, o[0]);
        note(
            "star of 5, leader is not the hub",
            seed,
            agreed(&mut w),
            3000.0,
        );
        let (mut w, l, o) = set(5, seed);
        cut(&mut w, l, o[0]);
        let _ = w.call(l, What::Suspend("x".into()));
        w.run(100.0);
        star(&mut w, o[0]);
        note(
            "star of 5, hub lags, leader cut off",
            seed,
            agreed(&mut w),
            3000.0,
        );
        let (mut w, l, o) = set(3, seed);
        w.cut.extend(o.iter().map(|x| (l, *x)));
        note(
            "leader hears and is not heard",
            seed,
            agreed(&mut w),
            3000.0,
        );
        let (mut w, l, o) = set(3, seed);
        w.cut.extend(o.iter().map(|x| (*x, l)));
        note(
            "leader is heard and does not hear",
            seed,
            agreed(&mut w),
            4000.0,
        );
    }
    for (what, mut all) in figures {
        all.sort_by(f64::total_cmp);
        println!(
            "{what}: {:.0} ms in the middle, {:.0} at most",
            all[all.len() / 2],
            all[all.len() - 1]
        );
    }
}

/// A link goes and comes back again and again. Messages must go round it, and leader and term must stay.
#[test]
fn a_flapping_link_changes_no_leader() {
    for seed in 0..5 {
        let (mut w, l, o) = set(3, seed);
        let term = w.nodes[l].member().unwrap().status(w.now_ms).term;
        for _ in 0..20 {
            cut(&mut w, l, o[0]);
            w.run(700.0);
            w.cut.clear();
            w.run(700.0);
        }
        assert_eq!(w.leader(), Some(l), "seed {seed}");
        assert_eq!(
            w.nodes[l].member().unwrap().status(w.now_ms).term,
            term,
            "seed {seed}"
        );
    }
}
