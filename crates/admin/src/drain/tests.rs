use super::*;

#[test]
fn pause_drains_by_stages_until_resume() {
    let mut drain = DrainControl::default();
    assert_eq!(drain.state(1e12), DrainState::Serving);
    assert!(
        drain.pause(1000.0) && !drain.pause(1300.0),
        "a repeated call does not restart the stages"
    );
    let state = |ms: f64| drain.state(ms);
    assert_eq!(
        [1000.0, 1399.0, 1400.0, 2499.0, 2500.0, 1e9].map(state),
        [
            DrainState::Notice,
            DrainState::Notice,
            DrainState::Draining,
            DrainState::Draining,
            DrainState::Drained,
            DrainState::Drained
        ]
    );
    assert!(drain.paused() && drain.resume() && !drain.resume() && !drain.paused());
    assert_eq!(drain.state(5000.0), DrainState::Serving);
}

#[test]
fn stop_drains_by_stages_and_cannot_be_undone() {
    let mut drain = DrainControl::default();
    let stages = |draining_ms, drained_ms| StopStages {
        draining_ms,
        drained_ms,
    };
    drain.stop(1000.0, stages(500.0, 2500.0));
    drain.stop(9000.0, stages(0.0, 0.0));
    assert_eq!(
        [1000.0, 1499.0, 1500.0, 3499.0, 3500.0, 1e9].map(|ms| drain.state(ms)),
        [
            DrainState::Notice,
            DrainState::Notice,
            DrainState::Draining,
            DrainState::Draining,
            DrainState::Drained,
            DrainState::Drained
        ]
    );
    assert!(!drain.resume() && drain.stopped() && !drain.paused());
    drain.pause(1400.0);
    assert_eq!(
        [1500.0, 3000.0].map(|ms| drain.state(ms)),
        [DrainState::Draining, DrainState::Drained],
        "the later stage applies"
    );
    assert!(drain.resume());
    assert_eq!(
        [3000.0, 3500.0].map(|ms| drain.state(ms)),
        [DrainState::Draining, DrainState::Drained],
        "the end of a pause does not undo the shutdown"
    );
}
