//! A process that ends with its guard.

use crate::probe::kilobytes;
use std::fs::{read_dir, read_to_string};
use std::io;
use std::process::{Child, Command};
use std::time::Duration;

/// The name of an ingress' thread for its group, as the kernel has it.
const GROUP_THREAD: &str = "group";

/// A child process, killed when this is dropped, also by a panic.
pub(super) struct Process(Child);

impl Process {
    pub(super) fn start(request: &mut Command) -> io::Result<Process> {
        Ok(Process(request.spawn()?))
    }

    /// Resident memory, bytes.
    pub(super) fn resident(&self) -> io::Result<u64> {
        let status = read_to_string(format!("/proc/{}/status", self.0.id()))?;
        Ok(kilobytes(&status, "VmRSS:") * 1024)
    }

    /// The time on a processor that its thread for the group has had.
    pub(super) fn group_cpu(&self) -> io::Result<Duration> {
        let mut total = Duration::ZERO;
        for task in read_dir(format!("/proc/{}/task", self.0.id()))? {
            let path = task?.path();
            if read_to_string(path.join("comm"))?.trim() == GROUP_THREAD {
                let times = read_to_string(path.join("schedstat"))?;
                let nanoseconds = times
                    .split_whitespace()
                    .next()
                    .and_then(|text| text.parse().ok());
                total += Duration::from_nanos(nanoseconds.unwrap_or(0));
            }
        }
        Ok(total)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself; there is nobody left to tell.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
