//! The program as a process: its start, its signals, its log, and what the system says of it.

use super::Stage;
use std::collections::HashMap;
use std::fs::OpenOptions;
use std::os::fd::AsRawFd;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// What the log says once a reading of rules has ended: of the new ones, or of the old ones.
const RULES_REPLACED: &str = "rules replaced";
const RULES_KEPT: &str = "the old rules stay";
/// Longest that a reading of rules is waited for: nothing else may run on a busy machine for some seconds.
const LONGEST_READING: Duration = Duration::from_secs(60);
/// Between two looks at something that tells nobody when it changes.
const LOOK: Duration = Duration::from_millis(2);

/// Readings of rules that have ended, by the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Readings {
    /// With new rules in force.
    pub replaced: usize,
    /// With the old ones left in force.
    pub kept: usize,
}

impl Readings {
    /// All of them.
    pub fn all(self) -> usize {
        self.replaced + self.kept
    }
}

impl Stage {
    /// Starts the program; staff call it at the port that is set.
    pub(super) fn start(&self) -> Child {
        // As the platform does it: no more descriptors than the configuration says.
        let mut program = Command::new("sh");
        let limit = format!("ulimit -n {}; exec \"$0\"", self.sockets);
        program.args(["-c", &limit, env!("CARGO_BIN_EXE_driftgap")]);
        // Appended to: two processes may write to it, and one that is started again.
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join("log"))
            .unwrap();
        program
            .env("EDGE_CONFIG", self.folder.join("config.json"))
            .env("DRIFTGAP_OPERATOR", self.folder.join("operator.toml"))
            .env("EDGE_OPERATOR", self.staff_address())
            .env("TMPDIR", &self.folder)
            .stdout(Stdio::null())
            .stderr(log);
        if let Some(held) = &self.held {
            program.env("EDGE_ACCEPT_FD", held.as_raw_fd().to_string());
        }
        program.spawn().unwrap()
    }

    /// Kills the program at once and starts it again; it is ready then.
    pub async fn restart(&mut self) {
        self.program.kill().unwrap();
        self.program.wait().unwrap();
        self.program = self.start();
        self.ready().await;
    }

    /// Sends it a signal.
    pub fn signal(&self, name: &str) {
        let pid = self.program.id().to_string();
        assert!(Command::new("kill")
            .args([name, &pid])
            .status()
            .unwrap()
            .success());
    }

    /// Has it read its files again, and waits until it has read the rules.
    pub async fn read_again(&self) {
        let before = self.readings();
        self.signal("-HUP");
        self.readings_after(before).await;
    }

    /// Waits until a further reading of rules has ended.
    pub async fn readings_after(&self, before: Readings) -> Readings {
        let waited = tokio::time::timeout(LONGEST_READING, async {
            loop {
                let now = self.readings();
                if now.all() > before.all() {
                    return now;
                }
                tokio::time::sleep(LOOK).await;
            }
        });
        waited.await.expect("no reading of rules has ended")
    }

    /// Readings of rules that have ended so far.
    pub fn readings(&self) -> Readings {
        let log = self.log();
        let count = |text| log.lines().filter(|line| line.contains(text)).count();
        Readings {
            replaced: count(RULES_REPLACED),
            kept: count(RULES_KEPT),
        }
    }

    /// All that it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// The file of rules holds this from now on: all at once, so that no reading finds half of it.
    pub fn put_rules(&self, text: &str) {
        let new = self.folder.join("rules.new");
        std::fs::write(&new, text).unwrap();
        std::fs::rename(new, self.folder.join("rules.toml")).unwrap();
    }

    /// Memory that it holds, MB.
    pub fn resident(&self) -> f64 {
        self.status("VmRSS") / 1e3
    }

    /// The most memory that it has held, MB.
    pub fn max_resident(&self) -> f64 {
        self.status("VmHWM") / 1e3
    }

    /// Waits until it has one thread alone: none that reads rules, or drops old ones.
    pub async fn calm(&self) {
        while self.threads() > 1 {
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Attempts that have arrived at endpoints, by the request's id.
    pub fn runs(&self) -> HashMap<String, usize> {
        self.shared.runs.borrow().clone()
    }

    /// Its threads.
    pub fn threads(&self) -> usize {
        self.status("Threads") as usize
    }

    /// A figure that the system keeps of it.
    fn status(&self, name: &str) -> f64 {
        let status =
            std::fs::read_to_string(format!("/proc/{}/status", self.program.id())).unwrap();
        let line = status.lines().find(|line| line.starts_with(name)).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}
