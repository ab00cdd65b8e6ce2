//! Bounds the time that runs of the script take on the serving thread.
//!
//! A limit on operations does not bound time: a native function counts as one operation however long
//! it works, and operations within its callbacks are not counted at all. Therefore the engine checks
//! the time before each operation, those within callbacks included.
//!
//! The system may take the processor from the thread for longer than a whole run takes. A sound script
//! must not be stopped for that, so one operation is charged for little, however long it took.
//!
//! A script that is stopped on every request would still use up the thread. Stopped runs have a share
//! of the thread's time; once it is used up, the script is not run until some time has passed.

use crate::units::MS_PER_S;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Most time that operations of one run may be charged for.
pub(super) const MAX_RUN_TIME: Duration = Duration::from_millis(5);
/// Most time that one operation is charged for.
const MAX_OPERATION_CHARGE: Duration = Duration::from_millis(1);
/// Longest run, whatever its operations are charged for.
const MAX_HOLD: Duration = Duration::from_millis(100);
/// Share of the thread's time for runs that are stopped.
const STOPPED_RUNS_SHARE: f64 = 0.25;
/// Time for runs that are stopped directly one after another, ms.
const MAX_STOPPED_RUNS_MS: f64 = 50.0;

/// The time of the current run, and whether it has been stopped. Shared with the engine.
#[derive(Clone, Default)]
pub(super) struct RunDeadline(Rc<Cell<CurrentRun>>);

#[derive(Clone, Copy, Default)]
struct CurrentRun {
    /// When the run started, and when its last operation began; none between runs.
    times: Option<(Instant, Instant)>,
    charged: Duration,
    stopped: bool,
}

impl RunDeadline {
    /// Whether the current run must stop now. Called by the engine before each operation.
    pub(super) fn has_passed(&self) -> bool {
        let mut run = self.0.get();
        let Some((started, last_operation)) = run.times else {
            return false;
        };
        let now = Instant::now();
        run.times = Some((started, now));
        run.charged += (now - last_operation).min(MAX_OPERATION_CHARGE);
        run.stopped |= run.charged >= MAX_RUN_TIME || now - started >= MAX_HOLD;
        self.0.set(run);
        run.stopped
    }

    fn start(&self) {
        let now = Instant::now();
        self.0.set(CurrentRun {
            times: Some((now, now)),
            ..CurrentRun::default()
        });
    }

    fn finish(&self) -> bool {
        self.0.take().stopped
    }
}

/// Measures runs, and decides whether another one is allowed.
pub(super) struct RunTime {
    deadline: RunDeadline,
    /// Time that stopped runs may still take, ms; below zero after a run that took more.
    remaining_ms: Cell<f64>,
    updated_ms: Cell<f64>,
}

/// How a run went.
pub(super) struct Run<T> {
    pub(super) result: T,
    /// Whether the run reached the time limit. Native functions may hide the error that stopped it.
    pub(super) stopped: bool,
}

impl RunTime {
    /// Creates the state before the first run; the engine stops at `deadline`.
    pub(super) fn new(deadline: RunDeadline) -> RunTime {
        RunTime {
            deadline,
            remaining_ms: Cell::new(MAX_STOPPED_RUNS_MS),
            updated_ms: Cell::new(f64::NEG_INFINITY),
        }
    }

    /// Runs the script at `now_ms`. Returns none if stopped runs have used up their share.
    pub(super) fn run<T>(&self, now_ms: f64, script: impl FnOnce() -> T) -> Option<Run<T>> {
        self.refill(now_ms);
        if self.remaining_ms.get() <= 0.0 {
            return None;
        }
        let started = Instant::now();
        self.deadline.start();
        let result = script();
        let stopped = self.deadline.finish();
        if stopped {
            let taken_ms = started.elapsed().as_secs_f64() * MS_PER_S;
            self.remaining_ms.set(self.remaining_ms.get() - taken_ms);
        }
        Some(Run { result, stopped })
    }

    fn refill(&self, now_ms: f64) {
        let passed_ms = now_ms - self.updated_ms.replace(now_ms);
        let refilled_ms = self.remaining_ms.get() + STOPPED_RUNS_SHARE * passed_ms.max(0.0);
        self.remaining_ms.set(refilled_ms.min(MAX_STOPPED_RUNS_MS));
    }
}

#[cfg(test)]
mod tests;
