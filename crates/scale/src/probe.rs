//! Probes: heap by a counting allocator, processor time by the thread's own clock, resident memory by the kernel.
//!
//! The allocator counts the calling thread alone, so that a measurement is not disturbed by other threads and does
//! not see what they allocate. It has no `realloc` of its own: a vector that grows counts as a new allocation, and
//! both copies count to the peak.

use crate::experiment::{Measurement, Unit};
use cpu_time::ThreadTime;

/// What a piece of work cost the thread that did it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Bytes that are held behind it and were not before; below 0: it freed more than it took.
    pub heap: i64,
    /// The most bytes held at one moment beyond those held before.
    pub peak: u64,
    /// Calls of the allocator.
    pub allocations: u64,
    /// Processor time, microseconds.
    pub cpu: f64,
}

/// Does a piece of work and measures it. Must not be nested.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, Cost) {
    let mut done = None;
    let mut cpu = 0.0;
    let heap = allocation_counter::measure(|| {
        let start = ThreadTime::now();
        done = Some(work());
        cpu = start.elapsed().as_secs_f64() * 1e6;
    });
    let cost = Cost {
        heap: heap.bytes_current,
        peak: heap.bytes_max,
        allocations: heap.count_total,
        cpu,
    };
    // The closure above has run once.
    (done.expect("the work was done"), cost)
}

/// Does the simulation's own work within a measured piece without counting its allocations.
pub fn uncounted(work: impl FnOnce()) {
    allocation_counter::opt_out(work);
}

impl Cost {
    /// Heap, peak, allocations and processor time as quantities whose names begin with `step`.
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

    /// Allocations and processor time alone, for work that leaves nothing behind.
    pub fn effort(&self, step: &str) -> [Measurement; 2] {
        [
            Measurement::counted(
                format!("{step}_allocations"),
                Unit::Allocations,
                self.allocations as f64,
            ),
            self.cpu_measurement(step),
        ]
    }

    /// The cost of one of `count` equal pieces of work; the peak stays that of all.
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

/// Resident memory of this process in bytes, as the kernel counts it; 0 where it does not say.
pub fn resident() -> u64 {
    status_bytes("VmRSS:")
}

/// The most resident memory that this process has had, in bytes; 0 where the kernel does not say.
pub fn peak_resident() -> u64 {
    status_bytes("VmHWM:")
}

fn status_bytes(key: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    kilobytes(&status, key) * 1024
}

/// The kilobytes that a line `KEY  NUMBER kB` of a file under `/proc` gives.
pub(crate) fn kilobytes(text: &str, key: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    line.and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}
