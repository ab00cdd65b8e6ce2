use super::*;

/// A machine on the way drops connections that have been idle for 100 ms or more, without closing them. A
/// third of the attempts over such connections end in a reset, while new and young ones fail as seldom as
/// ever. The older ones must not be used any more, and must be tried again once the counts have faded.
#[test]
fn idle_times_at_which_connections_are_found_dead_are_learnt_and_forgotten() {
    let mut counts = DeadConnections::default();
    let new = NEW_CONNECTION;
    let [young, middle, old] = [5.0, 150.0, 5000.0].map(idle_class);
    assert!(new == 0 && young < middle && middle < old && old < counts.attempts.len());
    for i in 0..100 {
        // As many new ones fail as young ones; a third of those that were idle for longer.
        counts.note(new, i % 20 == 0);
        counts.note(young, i % 20 == 0);
        counts.note(middle, i % 3 == 0);
    }
    assert_eq!(
        [young, middle, old].map(|class| counts.is_suspect(class)),
        [false, true, true]
    );
    (0..100).for_each(|_| counts.fade());
    assert!(!counts.is_suspect(middle), "tried again");
}
