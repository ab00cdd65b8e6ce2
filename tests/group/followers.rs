//! Ingresses beside the group: they obey it, hand calls in, and change the member that they follow.

use crate::peers::{play_with_followers, run, Peers, Wire};
use crate::recovery::recover;
use std::time::{Duration, Instant};

/// The member that a follower is connected to is killed, and then the majority is lost. The follower must go to
/// another member, obey and hand in calls while there is a majority, refuse them while there is none, and serve
/// requests throughout.
#[test]
fn ingresses_beside_the_group_obey_it_hand_in_calls_and_change_members() {
    play_with_followers(
        3,
        2,
        "start 0 1 2 3 4
         whole 0 1 2
         says 3 role=beside member=m
         call 3 ACK SUSPEND a
         out 4 a
         out 0 a
         call 0 ACK SUSPEND b
         out 3 a b
         call 4 ACK RESTORE a
         out 3 b
         kill 0
         says 3 member=m
         says 4 member=m
         call 3 ACK SUSPEND c
         out 4 b c
         kill 1
         call 4 NAK SUSPEND d
         call 4 ACK SUSPEND d HERE
         served 4 k1
         start 0 1
         whole 0 1 2
         # Whether the call without an answer was done, nobody could know: now it is not.
         call 4 ACK RESTORE d
         out 4 b c",
    );
}

/// An endpoint is excluded by a call at a member whose leader dies at that moment, and by one at a follower. No
/// ingress may send it a new request 2 s after the ACK.
#[test]
fn nothing_new_reaches_an_endpoint_two_seconds_after_the_yes_wherever_it_was_called() {
    suspensions_are_obeyed_in_time(Wire::Resp);
}

/// The same over HTTP/2, where a connection carries many requests.
#[test]
fn nothing_new_reaches_an_endpoint_two_seconds_after_the_yes_over_http2() {
    suspensions_are_obeyed_in_time(Wire::Http2);
}

/// Steady requests at all; an endpoint is taken out at a member that dies, and then by a follower.
fn suspensions_are_obeyed_in_time(wire: Wire) {
    run(async move {
        let mut peers = Peers::with_wire(3, 1, wire).await;
        peers
            .steps(&["start 0 1 2 3", "whole 0 1 2", "says 3 member=m"])
            .await;
        let counts: Vec<_> = (0..4).map(|i| peers.steady(i)).collect();
        let more = async |n: u64| {
            let want: Vec<u64> = counts.iter().map(|c| c.get() + n).collect();
            let began = Instant::now();
            // All but the one whose ingress was killed.
            while counts
                .iter()
                .zip(&want)
                .filter(|(c, want)| c.get() < **want)
                .count()
                > 1
            {
                assert!(
                    began.elapsed() < Duration::from_secs(20),
                    "commands have no answers: {counts:?}"
                );
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        more(50).await;
        for at in [0, 3] {
            // Whichever is in use: the choice is the module's.
            let name = *peers
                .arrivals
                .borrow()
                .iter()
                .max_by_key(|(_, at)| **at)
                .unwrap()
                .0;
            peers.step(&format!("call {at} ACK SUSPEND {name}")).await;
            let yes = Instant::now();
            // The leader dies with the answer on its way to the others.
            if at == 0 {
                peers.step("kill leader").await;
            }
            while yes.elapsed() < Duration::from_secs(3) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let last = peers.arrivals.borrow()[name].saturating_duration_since(yes);
            println!("{name}: last command {last:?} after the yes");
            assert!(last < Duration::from_secs(2), "{name}: {last:?}");
            more(1).await;
        }
        let total: u64 = counts.iter().map(|c| c.get()).sum();
        assert!(total > 400, "{total}");
    });
}

/// A follower's member answers, and is cut off from the other members: what it knows grows old, which shows as an age
/// that grows. The follower must go to another member and know of a call within 2 s of its ACK.
#[test]
fn a_follower_leaves_a_member_that_is_cut_off_and_obeys_within_two_seconds_of_the_yes() {
    run(async {
        let mut peers = Peers::new(3, 1).await;
        peers
            .steps(&["start 0 1 2 3", "whole 0 1 2", "says 3 member=m"])
            .await;
        for name in ["a", "b"] {
            let member: usize = peers.status(3, "member").await.unwrap()[1..]
                .parse()
                .unwrap();
            let others: Vec<usize> = (0..3).filter(|i| *i != member).collect();
            for other in &others {
                peers.step(&format!("cut {member} {other}")).await;
                peers.step(&format!("cut {other} {member}")).await;
            }
            // By a member that knows of no leader it is refused: asked until one does.
            let mut yes = Instant::now();
            while !peers
                .call(others[0], &format!("SUSPEND {name}"))
                .await
                .starts_with("ACK")
            {
                yes = Instant::now();
            }
            let called = yes;
            yes = Instant::now();
            let text = format!("{} suspended", if name == "a" { 1 } else { 2 });
            peers.step(&format!("answers 3 {text} : STATUS")).await;
            let late = yes.elapsed();
            println!(
                "{name}: the call took {:?}, the follower knew {late:?} after the yes",
                yes - called
            );
            assert!(late < Duration::from_secs(2), "{late:?}");
            peers.step("heal").await;
            peers.step("led 0 1 2").await;
        }
    });
}

/// A follower dies and starts again while no member can be reached. It must keep out what it knew, from the copy in its
/// folder, say that it does not know how old that is, refuse calls for the group and serve requests. What it showed and
/// had not written when it died is not promised: the kill waits until the copy on the disk holds what is shown.
#[test]
fn a_follower_that_starts_while_it_is_cut_off_keeps_out_what_it_knew() {
    play_with_followers(
        3,
        1,
        "start 0 1 2 3
         whole 0 1 2
         call 3 ACK SUSPEND a
         call 0 ACK SUSPEND b
         answers 3 2 suspended : STATUS
         stored 3
         kill 3
         split 3
         start 3
         answers 3 2 suspended : STATUS
         logged 3 using the cached replica of an earlier run
         says 3 member=none applied=
         says 3 age_ms=unknown
         call 3 NAK SUSPEND c
         served 3 k1
         call 1 ACK RESTORE a
         heal
         out 3 b
         refused 3 another process uses this folder",
    );
}

/// A group is lost and begun anew from one folder with less in it than a follower knew. The follower must take what
/// the new group holds, though its own number in the log is the higher one.
#[test]
fn a_follower_of_a_lost_group_takes_what_the_new_one_has() {
    run(async {
        let mut peers = Peers::new(3, 1).await;
        peers
            .steps(&[
                "start 0 1 2 3",
                "whole 0 1 2",
                "call 1 ACK SUSPEND a",
                "out 2 a",
                "kill 2",
                "call 1 ACK SUSPEND b",
                "out 3 a b",
                "kill 0",
                "kill 1",
            ])
            .await;
        recover(&peers, 2);
        // Further than the new group's log is for now: numbers of the old one count for nothing.
        peers
            .steps(&[
                "wipe 0",
                "wipe 1",
                "start 0 1 2",
                "whole 0 1 2",
                "out 3 a",
                "call 3 ACK SUSPEND c",
            ])
            .await;
        peers
            .steps(&["answers 3 2 suspended : STATUS", "out 0 a c"])
            .await;
    });
}
