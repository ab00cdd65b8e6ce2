use super::*;

/// A script is stopped on every request of a busy client. Stopped runs must not take more than their
/// share of the serving thread, and the script must run again later.
#[test]
fn stopped_runs_take_a_share_of_the_thread_only() {
    let deadline = RunDeadline::default();
    let run_time = RunTime::new(deadline.clone());
    let spin = || while !deadline.has_passed() {};
    let mut stopped_runs = 0;
    let requests_a_second = 1000;
    for request in 0..requests_a_second {
        if let Some(run) = run_time.run(f64::from(request), spin) {
            assert!(run.stopped);
            stopped_runs += 1;
        }
    }
    let taken_ms = f64::from(stopped_runs) * MAX_RUN_TIME.as_secs_f64() * MS_PER_S;
    let allowed_ms = MAX_STOPPED_RUNS_MS + STOPPED_RUNS_SHARE * MS_PER_S;
    assert!(stopped_runs > 1, "the script never ran again");
    assert!(
        taken_ms <= allowed_ms + MAX_RUN_TIME.as_secs_f64() * MS_PER_S,
        "{taken_ms} ms"
    );
}

/// Runs that end in time are never refused, however many there are.
#[test]
fn runs_that_end_in_time_are_all_allowed() {
    let run_time = RunTime::new(RunDeadline::default());
    for _ in 0..100_000 {
        let run = run_time.run(0.0, || 7).unwrap();
        assert_eq!((run.result, run.stopped), (7, false));
    }
}

/// The system takes the processor from the thread during a sound script, three times. The script must not
/// be stopped for that: its request would be rejected.
#[test]
fn run_is_not_stopped_because_the_thread_was_preempted() {
    let deadline = RunDeadline::default();
    let run_time = RunTime::new(deadline.clone());
    let preempted = || {
        for _ in 0..3 {
            std::thread::sleep(2 * MAX_RUN_TIME);
            assert!(!deadline.has_passed());
        }
    };
    assert!(!run_time.run(0.0, preempted).unwrap().stopped);
}
