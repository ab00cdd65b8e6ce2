//! Full disks, interrupted writes, and members that catch up.

use crate::peers::{run, Peers};
use std::time::{Duration, Instant};

/// A write fails because the member's disk is full, and entries that the member acknowledged may be
/// lost. The member must stop voting and report the reason, still serve requests and apply the
/// state that it receives, and be admitted again with an empty folder.
#[test]
fn member_with_a_full_disk_stops_voting_until_readmitted() {
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
        // Writes a different document of about 256 kB each time, until the 2 MB are used up.
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
                    "logged 0 document stored by the group kind=Rules number={}",
                    turn + 1
                ))
                .await;
            assert!(turn < 200, "the disk does not fill up");
        }
        println!("disk full after {turn} documents");
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

/// A member is paused (SIGSTOP) at a random moment of a call and resumes later. A call that was
/// acknowledged meanwhile must hold at every member, and the resumed member must not answer from an
/// older state.
#[test]
fn members_paused_during_a_write_keep_acknowledged_calls() {
    run(async {
        let mut peers = Peers::new(3, 0).await;
        peers.steps(&["start 0 1 2", "whole 0 1 2"]).await;
        let mut rand = oorandom::Rand64::new(7);
        for turn in 0..12 {
            // Pauses the leader and another member in turn.
            let leader: usize = peers.status(0, "leader").await.unwrap()[1..]
                .parse()
                .unwrap();
            let stopped = [leader, (leader + 1) % 3][turn % 2];
            let through = (leader + 2) % 3;
            let call = if turn % 4 < 2 { "SUSPEND" } else { "RESTORE" };
            peers.step(&format!("begin {through} {call} a")).await;
            tokio::time::sleep(Duration::from_micros(rand.rand_range(0..2500))).await;
            peers.step(&format!("freeze {stopped}")).await;
            // If two members campaign at the same time, the call may time out after 2 s. An
            // operator repeats the call then, and the group applies it once.
            peers.step("ended either ACK or NAK not known").await;
            peers
                .step(&format!("answers {through} ACK : {call} a"))
                .await;
            // The call holds whether or not the member has resumed, and a resumed member answers no
            // older state.
            let excluded = if call == "SUSPEND" { "a" } else { "" };
            peers.step(&format!("out {through} {excluded}")).await;
            peers.step(&format!("thaw {stopped}")).await;
            peers.step(&format!("out {stopped} {excluded}")).await;
            peers.step("led 0 1 2").await;
        }
    });
}

/// A member and a follower are down while the log grows beyond the entries that members retain.
/// After a restart both must receive a snapshot and hold the whole state.
#[test]
fn member_and_follower_catch_up_on_10_000_entries() {
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
            // All concurrent calls of a turn have the same effect on the same name, so their order
            // does not matter.
            let name = ["a", "b", "c"][turn % 3];
            let calls = (0..12).map(|i| {
                let call = if turn % 2 == 0 { "SUSPEND" } else { "RESTORE" };
                tokio::task::spawn_local(peers.call_future(i % 2, format!("{call} {name}")))
            });
            for call in calls.collect::<Vec<_>>() {
                let answer = call.await.unwrap();
                assert!(answer.starts_with("ACK"), "{turn}: {answer}");
            }
        }
        let began = Instant::now();
        let excluded = peers.call(0, "GROUP OUT").await;
        let (index, excluded) = excluded.split_once(": ").unwrap();
        let index: u64 = index.strip_prefix("ACK at ").unwrap().parse().unwrap();
        assert!(index > 10_000, "{index}");
        peers.step("start 2 3").await;
        for i in [2, 3] {
            peers.step(&format!("out {i} {excluded}")).await;
            let applied: u64 = peers.status(i, "applied").await.unwrap().parse().unwrap();
            assert!(applied >= index, "{applied} of {index}");
        }
        println!(
            "{index} entries: both have caught up after {:?}",
            began.elapsed()
        );
    });
}
