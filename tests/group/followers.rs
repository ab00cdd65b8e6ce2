//! Followers: they apply the group's state, forward calls, and change the member that they follow.

use crate::peers::{play_with_followers, run, Peers, Wire};
use crate::recovery::recover;
use std::time::{Duration, Instant};

/// The member that a follower is connected to is killed, and then the majority is lost. The
/// follower must connect to another member, apply the state and forward calls while there is a
/// majority, refuse calls while there is none, and serve requests throughout.
#[test]
fn followers_forward_calls_and_change_members() {
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

/// An endpoint is suspended by a call at a member whose leader is killed at that moment, and
/// another one by a call at a follower. No ingress may send the endpoint a new request 2 s after
/// the ACK.
#[test]
fn suspended_endpoint_gets_no_requests_after_two_seconds() {
    suspensions_are_obeyed_in_time(Wire::Resp);
}

/// Checks as `suspended_endpoint_gets_no_requests_after_two_seconds` does, over HTTP/2, where one
/// connection carries many requests.
#[test]
fn suspended_endpoint_gets_no_requests_after_two_seconds_over_http2() {
    suspensions_are_obeyed_in_time(Wire::Http2);
}

/// Sends requests to all ingresses, and suspends one endpoint by a call at a member, whose leader is
/// then killed, and another one by a call at a follower.
fn suspensions_are_obeyed_in_time(wire: Wire) {
    run(async move {
        let mut peers = Peers::with_wire(3, 1, wire).await;
        peers
            .steps(&["start 0 1 2 3", "whole 0 1 2", "says 3 member=m"])
            .await;
        let counts: Vec<_> = (0..4).map(|i| peers.send_requests(i)).collect();
        let wait_for_requests = async |n: u64| {
            let expected: Vec<u64> = counts.iter().map(|c| c.get() + n).collect();
            let began = Instant::now();
            // All ingresses must make progress except the one that was killed.
            while counts
                .iter()
                .zip(&expected)
                .filter(|(c, expected)| c.get() < **expected)
                .count()
                > 1
            {
                assert!(
                    began.elapsed() < Duration::from_secs(20),
                    "requests have no answers: {counts:?}"
                );
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        wait_for_requests(50).await;
        for at in [0, 3] {
            // Suspends the endpoint with the latest request, since which endpoints are used is the
            // ingress's choice.
            let name = *peers
                .arrivals
                .borrow()
                .iter()
                .max_by_key(|(_, at)| **at)
                .unwrap()
                .0;
            peers.step(&format!("call {at} ACK SUSPEND {name}")).await;
            let acknowledged = Instant::now();
            // Kills the leader while it sends the committed entry to the other members.
            if at == 0 {
                peers.step("kill leader").await;
            }
            while acknowledged.elapsed() < Duration::from_secs(3) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
            let last = peers.arrivals.borrow()[name].saturating_duration_since(acknowledged);
            println!("{name}: last request {last:?} after the ACK");
            assert!(last < Duration::from_secs(2), "{name}: {last:?}");
            wait_for_requests(1).await;
        }
        let total: u64 = counts.iter().map(|c| c.get()).sum();
        assert!(total > 400, "{total}");
    });
}

/// The member of a follower still answers but is partitioned from the other members, so the age of
/// its state grows. The follower must change to another member and apply a call within 2 s of its
/// ACK.
#[test]
fn follower_leaves_a_partitioned_member_within_two_seconds() {
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
            // A member without a known leader refuses the call, so the call is repeated until one
            // is known.
            let mut acknowledged = Instant::now();
            while !peers
                .call(others[0], &format!("SUSPEND {name}"))
                .await
                .starts_with("ACK")
            {
                acknowledged = Instant::now();
            }
            let called = acknowledged;
            acknowledged = Instant::now();
            let text = format!("{} suspended", if name == "a" { 1 } else { 2 });
            peers.step(&format!("answers 3 {text} : STATUS")).await;
            let delay = acknowledged.elapsed();
            println!(
                "{name}: the call took {:?}, the follower applied it {delay:?} after the ACK",
                acknowledged - called
            );
            assert!(delay < Duration::from_secs(2), "{delay:?}");
            peers.step("heal").await;
            peers.step("led 0 1 2").await;
        }
    });
}

/// A follower is killed and restarts while no member can be reached. It must keep the endpoints
/// excluded that the copy in its folder has, report the age of its state as unknown, refuse calls
/// for the group, and serve requests. State that was visible but not written before the kill may be
/// lost, so the schedule waits until the copy on the disk is complete.
#[test]
fn follower_restarted_without_members_uses_its_cached_replica() {
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

/// A group is lost and recovered from a folder that holds less than a follower knew. The follower
/// must adopt the state of the new group, although the log index of its own replica is higher.
#[test]
fn follower_of_a_lost_group_adopts_the_recovered_group() {
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
        // The follower's index is beyond the new group's log: an index of the old group must be
        // ignored.
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
