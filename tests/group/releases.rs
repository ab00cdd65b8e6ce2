//! Rolling restarts and upgrades of members under load.

use crate::peers::{play, run, Peers};
use std::collections::BTreeSet;

/// Members are stopped and started one after the other while calls arrive. Each call must be
/// acknowledged in time by another member, and hold at the end.
#[test]
fn rolling_restart_loses_no_acknowledged_call() {
    run(async {
        let mut peers = Peers::new(3, 1).await;
        peers
            .steps(&["start 0 1 2 3", "whole 0 1 2", "says 3 member=m"])
            .await;
        let mut excluded = BTreeSet::new();
        for (turn, member) in [0, 1, 2].into_iter().enumerate() {
            let at = member;
            for (i, name) in ["a", "b", "c", "d"].into_iter().enumerate() {
                if i == 2 {
                    peers.step(&format!("term {member}")).await;
                }
                let call = if turn % 2 == 0 { "SUSPEND" } else { "RESTORE" };
                let through = [3, (at + 1) % 3][i % 2];
                let answer = peers.call(through, &format!("{call} {name}")).await;
                assert!(answer.starts_with("ACK"), "{member} {name}: {answer}");
                if turn % 2 == 0 {
                    excluded.insert(name)
                } else {
                    excluded.remove(name)
                };
                peers.step(&format!("answered {through} k{turn}{i}")).await;
            }
            peers.step(&format!("start {member}")).await;
            peers.step("led 0 1 2").await;
        }
        let all = excluded.into_iter().collect::<Vec<_>>().join(" ");
        for i in 0..4 {
            peers.step(&format!("out {i} {all}")).await;
        }
    });
}

/// Two versions of the program run in one group. Nothing that the older one cannot read may be
/// written before all members support the newer format version. From then on the older one must be
/// refused, with its own folder and with an empty one.
#[test]
fn format_version_is_raised_once_all_members_support_it() {
    play(
        3,
        "form 0 1
         form 1 1
         start 0 1 2
         whole 0 1 2
         call 2 ACK SUSPEND a
         says 2 form=1
         term 0
         form 0 2
         start 0
         led 0 1 2
         call 0 ACK SUSPEND b
         says 0 form=1
         kill leader
         start 0
         start 1
         start 2
         led 0 1 2
         call 1 ACK RESTORE a
         says 0 form=1
         # The last member is upgraded: only now does the group raise its format version.
         term 1
         form 1 2
         start 1
         led 0 1 2
         says 0 form=2
         says 1 form=2
         says 2 form=2
         call 1 ACK SUSPEND c
         kill 2
         form 2 1
         refused 2 form 2
         # With an empty folder it is not admitted, since it could not apply the entries of the log.
         wipe 2
         start 2
         call 0 ACK SUSPEND d
         says 2 not in the group yet
         kill 2
         form 2 2
         start 2
         whole 0 1 2
         out 2 b c d",
    );
}
