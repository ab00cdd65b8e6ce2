//! A call with `ACK` outlives kills, cuts and freezes of members.

use crate::peers::play;

/// A leader answers calls with ACK and is killed. The others elect a new one, which must hold all that was promised,
/// and take new calls.
#[test]
fn a_promise_is_kept_through_the_death_of_the_leader_that_gave_it() {
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

/// A leader loses its links to all others. It must promise nothing from then on and say that it has no leader, while
/// the others go on; once the links are back all hold the same.
#[test]
fn a_leader_that_is_cut_off_promises_nothing_and_hears_of_it_once_it_is_back() {
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

/// Two of three members cannot reach each other, and both reach the third. Messages go by the third: calls at every
/// member must be promised, and every member must hear of all.
#[test]
fn a_chain_of_members_goes_on_and_the_one_at_its_end_hears_all() {
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

/// Two of three members are down. The third must refuse calls for the group and reads of it, go on to obey what it
/// knew and calls for itself alone, and serve clients. Once the others are back, what was refused must not hold.
#[test]
fn without_a_majority_nothing_is_promised_and_requests_are_served() {
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

/// All members are killed at one moment, as by a loss of power. What had an ACK must be on enough disks to be there
/// after the start.
#[test]
fn all_killed_at_once_and_started_again_keep_every_promise() {
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

/// A leader stops for a while, as a machine that is paused, and another one is elected meanwhile. When it wakes it
/// must answer nothing from what it knew before.
#[test]
fn a_leader_that_was_frozen_wakes_as_no_leader() {
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

/// Links jitter, carry little, are slow, and end for one side only, which shows as a link that looks sound and
/// carries nothing. Every promise must hold, the dead link must be noticed and made anew, and a kill of the leader
/// after it must change nothing.
#[test]
fn slow_narrow_and_half_open_links_lose_no_promise() {
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
         # Nothing that it sends arrives, until it notices by what the others say that they hear.
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
