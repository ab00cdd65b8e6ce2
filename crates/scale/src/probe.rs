//! Measures heap with a counting allocator, processor time with the thread's clock, and resident
//! memory with the kernel's figures.
//!
//! The allocator counts only the calling thread, so allocations of other threads neither disturb a
//! measurement nor appear in it. The allocator has no `realloc` of its own: a vector that grows
//! counts as a new allocation, and both copies count towards the peak.

use crate::experiment::{Measurement, Unit};
use cpu_time::ThreadTime;

/// Heap and processor time that a piece of work used on its thread.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Bytes still allocated after the work that were not allocated before; negative if the work
    /// freed more.
    pub heap: i64,
    /// Largest number of bytes allocated at one time beyond those allocated before.
    pub peak: u64,
    /// Calls to the allocator.
    pub allocations: u64,
    /// Processor time, microseconds.
    pub cpu: f64,
}

/// Runs `work` and measures its cost. Calls must not be nested.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, Cost) {
    let mut result = None;
    let mut cpu = 0.0;
    let heap = allocation_counter::measure(|| {
        let start = ThreadTime::now();
        result = Some(work());
        cpu = start.elapsed().as_secs_f64() * 1e6;
    });
    let cost = Cost {
        heap: heap.bytes_current,
        peak: heap.bytes_max,
        allocations: heap.count_total,
        cpu,
    };
    // `allocation_counter::measure` runs its closure exactly once.
    (result.expect("the measured closure has run"), cost)
}

/// Runs `work` within a measurement without counting its allocations; used for the simulation's own
/// work.
pub fn uncounted(work: impl FnOnce()) {
    allocation_counter::opt_out(work);
}

impl Cost {
    /// Returns heap, peak, allocations and processor time as quantities whose names begin with
    /// `step`.
    pub fn measurements(&self, step: &str) -> [Measurement; 4] {
        [
            Measurement::counted(format!("{step}_heap"), Unit::Bytes, self.heap as f64),
            Measurement::counted(format!("{step}_peak_heap"), Unit::Bytes, self.peak as f64),
            Measurement::counted(
                format!("{step}_allocations"),
                Unit::Allocations,
                self.allocations as f64,
            ),
            self.cpu_measurement(step),
        ]
    }

    /// Returns only allocations and processor time, for work that retains no memory.
    pub fn allocations_and_cpu(&self, step: &str) -> [Measurement; 2] {
        [
            Measurement::counted(
                format!("{step}_allocations"),
                Unit::Allocations,
                self.allocations as f64,
            ),
            self.cpu_measurement(step),
        ]
    }

    /// Returns the cost of one of `count` equal pieces of work. The peak remains that of all of
    /// them.
    #[must_use]
    pub fn each(self, count: u64) -> Cost {
        Cost {
            heap: self.heap / count as i64,
            peak: self.peak,
            allocations: self.allocations / count,
            cpu: self.cpu / count as f64,
        }
    }

    fn cpu_measurement(&self, step: &str) -> Measurement {
        Measurement::timed(format!("{step}_cpu"), Unit::Microseconds, self.cpu)
    }
}

/// Returns the resident memory of this process in bytes, or 0 if the kernel does not report it.
pub fn resident() -> u64 {
    status_bytes("VmRSS:")
}

/// Returns the peak resident memory of this process in bytes, or 0 if the kernel does not report
/// it.
pub fn peak_resident() -> u64 {
    status_bytes("VmHWM:")
}

fn status_bytes(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    kilobytes(&status, key) * 1024
}

/// Returns the number of kilobytes in the line `KEY  NUMBER kB` of a file under `/proc`, or 0
/// without such a line.
pub(crate) fn kilobytes(text: &str, key: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
