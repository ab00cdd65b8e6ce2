//! Processor time of many short pieces of work, by the thread's own clock, without what reading the clock costs.

use cpu_time::ThreadTime;
use std::time::Duration;

/// Readings from which the cost of one is taken.
const READINGS: u32 = 2000;

/// A clock that knows what it costs to be read.
#[derive(Clone, Copy, Debug)]
pub struct CpuTimer {
    overhead: Duration,
}

/// A piece of work under way.
#[derive(Clone, Copy, Debug)]
pub struct CpuSpan(ThreadTime);

impl CpuTimer {
    /// A timer whose own cost has been measured on this thread.
    pub fn calibrated() -> CpuTimer {
        let bare = CpuTimer {
            overhead: Duration::ZERO,
        };
        let total: Duration = (0..READINGS).map(|_| bare.end(bare.begin())).sum();
        CpuTimer {
            overhead: total / READINGS,
        }
    }

    /// Begins a piece of work.
    pub fn begin(&self) -> CpuSpan {
        CpuSpan(ThreadTime::now())
    }

    /// Ends it: the time on the processor that it took.
    pub fn end(&self, span: CpuSpan) -> Duration {
        span.0.elapsed().saturating_sub(self.overhead)
    }
}
