//! Admission, removal and replacement of members, and folders that are refused.

use crate::peers::{play, run, Peers};
use crate::recovery::recover;

/// A member's machine is lost with its folder. A member that starts with an empty folder must be
/// admitted as a new incarnation, and hold all acknowledged calls before it votes.
#[test]
fn member_with_a_lost_disk_is_readmitted_with_the_state() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND a
         kill 2
         call 1 ACK SUSPEND b
         wipe 2
         start 2
         whole 0 1 2
         says 2 m2:4:votes
         out 2 a b
         served 2 k1",
    );
}

/// One member has lost its folder and another one is down, so no majority holds all acknowledged
/// calls. The member without its folder must not be admitted until the other one is back.
#[test]
fn lost_member_is_not_readmitted_without_a_majority() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND a
         kill 1
         kill 2
         wipe 2
         start 2
         says 2 not in the group yet
         says 0 leader=none
         call 2 NAK SUSPEND b
         call 0 NAK SUSPEND b
         start 1
         whole 0 1 2
         out 2 a",
    );
}

/// A folder is mounted at the wrong member, or two processes are started under one name. Votes
/// would count twice, so the start must be refused with a line that gives the reason.
#[test]
fn wrong_folders_and_second_processes_are_refused() {
    play(
        3,
        "start 0
         says 0 role=
         refused 0 another process uses this folder
         kill 0
         swap 0 1
         refused 1 the folder of member m0, not of m1",
    );
}

/// A member is replaced by one of another name, one more is added and one is removed, with members
/// killed in between. Every acknowledged call must hold, and invalid changes must be refused.
#[test]
fn members_are_replaced_added_and_removed() {
    run(async {
        let mut peers = Peers::new(3, 2).await;
        peers.write_operator_file(3, &[0, 1, 2, 3]);
        peers.write_operator_file(4, &[0, 1, 3, 4]);
        let schedule = "start 0 1 2
             whole 0 1 2
             call 0 ACK SUSPEND a
             call 1 NAK GROUP REMOVE m2
             call 1 NAK GROUP REPLACE m7 m3 @3
             call 1 ACK GROUP REPLACE m2 m3 @3
             start 3
             says 3 m3:4:votes
             says 0 changing=no
             out 3 a
             kill 2
             call 0 ACK GROUP ADD m4 @4
             start 4
             says 4 m4:5:votes
             says 1 changing=no
             call 4 ACK SUSPEND b
             kill 0
             call 4 ACK SUSPEND c
             out 3 a b c
             call 3 ACK GROUP REMOVE m0
             says 3 changing=no
             call 1 ACK RESTORE a
             out 4 b c";
        for line in schedule.lines() {
            peers.step(line.trim()).await;
        }
    });
}

/// Two of three members are lost with their folders for good. An operator recovers a new group from
/// the folder of the third one, which must work only once. A member of the old group must not take
/// part with its old folder.
#[test]
fn group_is_recovered_from_one_folder_after_majority_loss() {
    run(async {
        let mut peers = Peers::new(3, 0).await;
        peers
            .steps(&[
                "start 0 1 2",
                "whole 0 1 2",
                "call 1 ACK SUSPEND a",
                "out 2 a",
                "kill 0",
                "kill 1",
                "kill 2",
            ])
            .await;
        let (old, output) = recover(&peers, 2);
        assert!(output.contains("Lost is"));
        let twice = peers
            .command(2)
            .args(["group", "recover", "--from"])
            .arg(&old)
            .output()
            .unwrap();
        assert!(String::from_utf8_lossy(&twice.stderr).contains("holds a member already"));
        // A member of the old group is not admitted with its old folder.
        peers
            .steps(&[
                "start 2 1",
                "says 2 role=",
                "says 1 role=",
                "call 2 NAK SUSPEND b",
                "kill 1",
                "wipe 0",
                "wipe 1",
                "start 0 1",
                "whole 0 1 2",
            ])
            .await;
        peers
            .steps(&["out 0 a", "call 1 ACK SUSPEND b", "out 2 a b"])
            .await;
    });
}
