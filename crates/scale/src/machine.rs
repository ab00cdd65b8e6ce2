//! The environment of a run: cores, memory, load and commit. Host names and paths are left out.

use crate::probe::kilobytes;
use serde::{Deserialize, Serialize};
use std::process::Command;

/// The machine of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Machine {
    /// Cores that this process may use.
    pub cores: usize,
    /// Total memory, bytes.
    pub memory_bytes: u64,
    /// One-minute load average at the start of the run; shows how busy the machine was with other
    /// work.
    pub load_average: f64,
}

impl Machine {
    /// Returns the current state of this machine.
    pub fn current() -> Machine {
        let read = |path| std::fs::read_to_string(path).unwrap_or_default();
        let load = read("/proc/loadavg");
        Machine {
            cores: std::thread::available_parallelism().map_or(1, usize::from),
            memory_bytes: kilobytes(&read("/proc/meminfo"), "MemTotal:") * 1024,
            load_average: load
                .split_whitespace()
                .next()
                .and_then(|word| word.parse().ok())
                .unwrap_or(0.0),
        }
    }
}

/// Returns the commit of the working directory, followed by `+changes` if tracked files differ from
/// it, or `unknown` if git is not available.
pub fn commit() -> String {
    let git = |arguments: &[&str]| {
        let output = Command::new("git").args(arguments).output().ok()?;
        let text = String::from_utf8(output.stdout).ok()?;
        output.status.success().then(|| text.trim().to_string())
    };
    let Some(commit) = git(&["rev-parse", "--short=12", "HEAD"]) else {
        return "unknown".into();
    };
    let changed = git(&["status", "--porcelain", "--untracked-files=no"])
        .is_some_and(|text| !text.is_empty());
    if changed {
        format!("{commit}+changes")
    } else {
        commit
    }
}
