//! Members that reach only some: who leads, and whether anything is agreed.

mod world;

use world::{What, World};

/// Calls at every member until one is agreed; how long that took, or none in 20 s.
fn agreed(world: &mut World) -> Option<f64> {
    let began = world.now;
    let mut calls = Vec::new();
    while world.now - began < 20_000.0 {
        for i in 0..world.nodes.len() {
            calls.extend(world.call(i, What::Suspend(format!("{}-{i}", world.now))));
        }
        for _ in 0..300 {
            world.run(1.0);
            if calls.iter().any(|c| world.seen[*c].ended.is_some()) {
                return Some(world.now - began);
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

#[test]
fn figures() {
    for seed in 0..3 {
        let (mut w, l, o) = set(3, seed);
        cut(&mut w, l, o[1]);
        println!("chain of 3, leader at its end: {:?}", agreed(&mut w));
        let (mut w, _, o) = set(5, seed);
        for a in 0..5 {
            for b in 0..a {
                if a != o[0] && b != o[0] {
                    cut(&mut w, a, b);
                }
            }
        }
        println!("star of 5, leader is not the hub: {:?}", agreed(&mut w));
        let (mut w, l, o) = set(5, seed);
        cut(&mut w, l, o[0]);
        let _ = w.call(l, What::Suspend("x".into()));
        w.run(100.0);
        for a in 0..5 {
            for b in 0..a {
                if a != o[0] && b != o[0] {
                    cut(&mut w, a, b);
                }
            }
        }
        println!("star of 5, hub lags, leader cut off: {:?}", agreed(&mut w));
        let (mut w, l, o) = set(3, seed);
        o.iter().for_each(|x| drop(w.cut.insert((l, *x))));
        println!("leader hears and is not heard: {:?}", agreed(&mut w));
        let (mut w, l, o) = set(3, seed);
        o.iter().for_each(|x| drop(w.cut.insert((*x, l))));
        println!("leader is heard and does not hear: {:?}", agreed(&mut w));
    }
}
