//! Processor time of many short pieces of work, measured with the thread's clock and corrected for
//! the cost of reading that clock.

use cpu_time::ThreadTime;
use std::time::Duration;

/// Number of clock readings from which the cost of one is computed.
const READINGS: u32 = 2000;

/// A processor-time clock that subtracts the cost of its own readings.
#[derive(Clone, Copy, Debug)]
pub struct CpuTimer {
    overhead: Duration,
}

/// A measurement in progress.
#[derive(Clone, Copy, Debug)]
pub struct CpuSpan(ThreadTime);

impl CpuTimer {
    /// Creates a timer and measures the cost of a clock reading on this thread.
    pub fn calibrated() -> CpuTimer {
        let uncalibrated = CpuTimer {
            overhead: Duration::ZERO,
        };
        let total: Duration = (0..READINGS)
            .map(|_| uncalibrated.end(uncalibrated.begin()))
            .sum();
        CpuTimer {
            overhead: total / READINGS,
        }
    }

    /// Starts a measurement.
    pub fn begin(&self) -> CpuSpan {
        CpuSpan(ThreadTime::now())
    }

    /// Ends a measurement and returns the processor time used since its start.
    pub fn end(&self, span: CpuSpan) -> Duration {
        span.0.elapsed().saturating_sub(self.overhead)
    }
}
