use super::*;

/// A machine between ingress and endpoint drops connections that have been idle for 100 ms or more,
/// without closing them. A third of the attempts over such connections end in a reset, while new
/// connections and those idle for a short time fail rarely. Connections idle for long must no
/// longer be used, and must be tried again once the counts have decayed.
#[test]
fn idle_class_with_dead_connections_is_suspect_until_decay() {
    let mut counts = DeadConnections::default();
    let new = NEW_CONNECTION;
    let [young, middle, old] = [5.0, 150.0, 5000.0].map(idle_class);
    assert!(new == 0 && young < middle && middle < old && old < counts.attempts.len());
    for i in 0..100 {
        // New and young connections fail at the same rate; a third of those idle for longer fail.
        counts.record(new, i % 20 == 0);
        counts.record(young, i % 20 == 0);
        counts.record(middle, i % 3 == 0);
    }
    assert_eq!(
        [young, middle, old].map(|class| counts.is_suspect(class)),
        [false, true, true]
    );
    (0..100).for_each(|_| counts.decay());
    assert!(!counts.is_suspect(middle), "still suspect after decay");
}
