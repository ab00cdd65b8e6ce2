//! Full disks, writes that are interrupted, and members that catch up.

use crate::peers::{run, Peers};
use std::time::{Duration, Instant};

/// A member's disk is full, and a write fails. What it acknowledged before may be gone: it must vote no more and say
/// why, go on to serve requests and obey what it hears, and be admitted again with an empty folder.
#[test]
fn a_member_whose_disk_is_full_votes_no_more_and_the_others_go_on() {
    run(async {
        let mut peers = Peers::new(3, 0).await;
        peers
            .steps(&[
                "start 0 1 2",
                "whole 0 1 2",
                "call 0 ACK SUSPEND a",
                "term 2",
                "full 2 4000",
                "start 2",
            ])
            .await;
        peers.step("led 0 1 2").await;
        // Documents of 256 kB, each one anew, until its 2 MB are used up.
        let mut turn = 0;
        while !peers
            .call(2, "GROUP STATUS")
            .await
            .contains("votes no more")
        {
            turn += 1;
            let text = format!("# {turn}\n").repeat(50_000);
            std::fs::write(peers.home(0).join("rules.toml"), text).unwrap();
            peers.step("hup 0").await;
            peers
                .step(&format!(
                    "logged 0 stored by the group kind=Rules number={}",
                    turn + 1
                ))
                .await;
            assert!(turn < 200, "its disk is never full");
        }
        println!("full after {turn} documents");
        peers
            .steps(&[
                "says 2 its disk has failed",
                "call 2 NAK SUSPEND b",
                "served 2 k1",
                "call 0 ACK SUSPEND b",
                "call 1 ACK RESTORE a",
                "answers 2 1 suspended : STATUS",
                "kill 2",
                "full 2 0",
                "wipe 2",
                "start 2",
                "whole 0 1 2",
                "out 2 b",
            ])
            .await;
    });
}

/// A member is stopped at some moment of a call's way and wakes later. What was promised meanwhile must hold
/// everywhere, and the one that woke must answer nothing older.
#[test]
fn members_stopped_within_a_write_wake_without_harm() {
    run(async {
        let mut peers = Peers::new(3, 0).await;
        peers.steps(&["start 0 1 2", "whole 0 1 2"]).await;
        let mut rand = oorandom::Rand64::new(7);
        for turn in 0..12 {
            // At a moment of the call's way: the leader, or one that copies.
            let leader: usize = peers.status(0, "leader").await.unwrap()[1..]
                .parse()
                .unwrap();
            let stopped = [leader, (leader + 1) % 3][turn % 2];
            let through = (leader + 2) % 3;
            let call = if turn % 4 < 2 { "SUSPEND" } else { "RESTORE" };
            peers.step(&format!("begin {through} {call} a")).await;
            tokio::time::sleep(Duration::from_micros(rand.rand_range(0..2500))).await;
            peers.step(&format!("freeze {stopped}")).await;
            // Where two members sought votes at once the call's own 2 s may end first: then it is repeated, as the
            // operators' page says, and the group carries out once what was asked for twice.
            peers.step("ended either ACK or NAK not known").await;
            peers
                .step(&format!("answers {through} ACK : {call} a"))
                .await;
            // It holds whether it woke or not, and the one that woke says nothing older than that.
            let held = if call == "SUSPEND" { "a" } else { "" };
            peers.step(&format!("out {through} {held}")).await;
            peers.step(&format!("thaw {stopped}")).await;
            peers.step(&format!("out {stopped} {held}")).await;
            peers.step("led 0 1 2").await;
        }
    });
}

/// A member and a follower are down while the log grows by more entries than members retain. Back again they must get
/// a snapshot and hold all.
#[test]
fn a_member_and_a_follower_that_were_away_for_10_000_entries_catch_up() {
    run(async {
        let mut peers = Peers::new(3, 1).await;
        peers
            .steps(&[
                "start 0 1 2 3",
                "whole 0 1 2",
                "says 3 member=m",
                "kill 2",
                "kill 3",
                "led 0 1",
            ])
            .await;
        peers.step("call leader ACK SUSPEND d").await;
        for turn in 0..840 {
            // Each name has its own order: one that is asked for twice at once may end either way.
            let name = ["a", "b", "c"][turn % 3];
            let calls = (0..12).map(|i| {
                let call = if turn % 2 == 0 { "SUSPEND" } else { "RESTORE" };
                tokio::task::spawn_local(peers.calling(i % 2, format!("{call} {name}")))
            });
            for call in calls.collect::<Vec<_>>() {
                let answer = call.await.unwrap();
                assert!(answer.starts_with("ACK"), "{turn}: {answer}");
            }
        }
        let began = Instant::now();
        let held = peers.call(0, "GROUP OUT").await;
        let (place, held) = held.split_once(": ").unwrap();
        let place: u64 = place.strip_prefix("ACK at ").unwrap().parse().unwrap();
        assert!(place > 10_000, "{place}");
        peers.step("start 2 3").await;
        for i in [2, 3] {
            peers.step(&format!("out {i} {held}")).await;
            let applied: u64 = peers.status(i, "applied").await.unwrap().parse().unwrap();
            assert!(applied >= place, "{applied} of {place}");
        }
        println!("{place} places: both have all after {:?}", began.elapsed());
    });
}
