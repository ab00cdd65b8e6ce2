//! Faults by name, in virtual time.

mod world;

use world::{What, World};

fn suspend(name: &str) -> What {
    What::Suspend(name.into())
}

#[test]
fn members_with_empty_folders_are_let_in_and_a_promise_outlives_its_leader() {
    for seed in 0..20 {
        let mut world = World::new(3, seed);
        assert!(world.call(1, suspend("x")).is_err(), "nobody knows it yet");
        let ms = world.until(10_000.0, World::whole);
        println!("seed {seed}: whole after {ms} ms");
        let leader = world.leader().unwrap();
        let call = world.call((leader + 1) % 3, suspend("a")).unwrap();
        world.until(500.0, |w| w.seen[call].ended.is_some());
        world.kill(leader);
        let ms = world.until(3000.0, |w| w.leader().is_some());
        println!("seed {seed}: a leader again after {ms} ms");
        let call = world.call((leader + 1) % 3, What::Read(None)).unwrap();
        world.until(1000.0, |w| w.seen[call].ended.is_some());
        assert_eq!(world.seen[call].what, What::Read(Some(["a".to_string()].into())), "seed {seed}");
        // The machine comes back without its disk: as another incarnation, with all that was promised.
        world.lose(leader);
        world.start(leader);
        world.until(15_000.0, World::whole);
        let back = world.nodes[leader].member().unwrap();
        assert!(back.id() > 3 && back.state().out.contains_key("a"), "seed {seed}");
    }
}
