//! Calls that were acknowledged with `ACK` survive kills, partitions and pauses of members.

use crate::peers::play;

/// A leader acknowledges calls and is killed. The other members must elect a leader that holds all
/// acknowledged calls, and accept new ones.
#[test]
fn acknowledged_calls_survive_a_kill_of_the_leader() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 1 ACK SUSPEND a
         call leader ACK SUSPEND b
         call 2 ACK RESTORE a
         out 0 b
         kill leader
         out leader b
         call leader ACK SUSPEND c
         out leader b c",
    );
}

/// A leader loses its links to all other members. It must acknowledge nothing from then on and
/// report that it has no leader, while the other members keep working. Once the links are back, all
/// members must hold the same state.
#[test]
fn partitioned_leader_catches_up_after_the_partition() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND a
         split leader
         says 0 leader
         call 1 ACK STATUS
         heal
         led 0 1 2
         call 0 ACK SUSPEND b
         out 0 a b
         out 1 a b
         out 2 a b",
    );
}

/// Two of three members cannot reach each other, and both reach the third, which forwards their
/// messages. Calls at every member must be acknowledged, and every member must hold the result of
/// all.
#[test]
fn messages_are_forwarded_between_unconnected_members() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         cut 0 2
         cut 2 0
         call 0 ACK SUSPEND a
         call 1 ACK SUSPEND b
         call 2 ACK SUSPEND c
         out 0 a b c
         out 1 a b c
         out 2 a b c",
    );
}

/// Two of three members are down. The third one must refuse calls for the group and reads of its
/// state, keep applying the state that it holds and calls for itself alone, and serve clients. Once
/// the other members are back, the refused calls must have no effect.
#[test]
fn calls_are_refused_and_requests_served_without_a_majority() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND a
         kill 1
         kill 2
         says 0 leader=none
         served 0 k1
         call 0 NAK SUSPEND b
         call 0 NAK GROUP OUT
         call 0 ACK SUSPEND b HERE
         call 0 ACK STATUS
         start 1 2
         whole 0 1 2
         out 1 a
         call 2 ACK RESTORE a
         out 0",
    );
}

/// All members are killed at the same moment, as by a loss of power. Calls that were acknowledged
/// must be on enough disks to be there after the restart.
#[test]
fn acknowledged_calls_survive_a_kill_of_all_members() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND a
         call 1 ACK SUSPEND b
         kill 0
         kill 1
         kill 2
         start 0 1 2
         led 0 1 2
         out 2 a b
         out 0 a b",
    );
}

/// A leader is paused, as a virtual machine may be, and another one is elected meanwhile. The
/// resumed member must not answer from the state that it had before.
#[test]
fn paused_leader_does_not_answer_from_stale_state() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         call 0 ACK SUSPEND a
         freeze 0
         call 1 ACK SUSPEND b
         call 2 ACK RESTORE a
         thaw 0
         out 0 b
         led 0 1 2",
    );
}

/// Links have jitter, little bandwidth or delay, or end on one side only, which leaves a link that
/// looks healthy and carries nothing. Every acknowledged call must hold, the half-open link must be
/// detected and opened again, and a kill of the leader afterwards must lose nothing.
#[test]
fn slow_and_half_open_links_lose_no_acknowledged_call() {
    play(
        3,
        "start 0 1 2
         whole 0 1 2
         jitter 0 1 60
         jitter 1 0 60
         throttle 0 2 20000
         throttle 2 0 20000
         slow 1 2 40
         call 0 ACK SUSPEND a
         call 1 ACK SUSPEND b
         call 2 ACK RESTORE a
         out 0 b
         heal
         half 0 1
         half 0 2
         call 1 ACK SUSPEND c
         call 2 ACK SUSPEND d
         # Nothing that member 0 sends arrives, until the reports of the other members show this.
         out 0 b c d
         logged 0 member receives nothing over its link: reconnecting
         kill leader
         start 0
         start 1
         start 2
         heal
         led 0 1 2
         out 0 b c d
         out 1 b c d
         out 2 b c d",
    );
}
