//! A child process that is killed when its handle is dropped.

use crate::probe::kilobytes;
use std::fs::{read_dir, read_to_string};
use std::io;
use std::process::{Child, Command};
use std::time::Duration;

/// Name of an ingress' group thread in `/proc`.
const GROUP_THREAD: &str = "group";

/// A child process, killed on drop, also when a panic unwinds.
pub(super) struct Process(Child);

impl Process {
    pub(super) fn start(command: &mut Command) -> io::Result<Process> {
        Ok(Process(command.spawn()?))
    }

    /// Returns the resident memory, bytes.
    pub(super) fn resident(&self) -> io::Result<u64> {
        let status = read_to_string(format!("/proc/{}/status", self.0.id()))?;
        Ok(kilobytes(&status, "VmRSS:") * 1024)
    }

    /// Returns the processor time of the process' group thread.
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
        // The process may have ended already; a failure to kill it needs no handling.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}
