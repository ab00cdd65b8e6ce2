//! The language of schedules that drive the processes; `steps.rs` implements the steps. A line is
//! one step. `P` and `Q` are the number of a process or `leader`. Steps that check a condition poll
//! until it holds or a timeout passes, except `call`, `refused`, `runs`, `ended`, `served` and
//! `answered`:
//!
//!     start P ...                 starts the processes that do not run
//!     whole P ...                 all of these vote, and agree on the leader
//!     led P ...                   these know the leader, and agree on it
//!     call P WORD TEXT            the answer to an operator's call begins with WORD (@P: the link address of P)
//!     out P NAME ...              P reports exactly these endpoints as excluded (no names: none)
//!     stored P                    the copy on the disk of follower P is as recent as the one in memory
//!     says P TEXT                 `GROUP STATUS` of P contains TEXT
//!     begin P TEXT                sends an operator's call without waiting for the answer
//!     ended WORD                  the answer to that call begins with WORD (`either A or B`: with one of these)
//!     kill P / freeze P / thaw P  SIGKILL, SIGSTOP, SIGCONT
//!     runs P MS                   P still runs after MS
//!     term P                      SIGTERM; P must exit with status 0
//!     wipe P                      deletes the group folder of P
//!     cut P Q / mute P Q          from P to Q: closes connections and accepts none / discards all bytes
//!     split P                     cuts both directions between P and every other process
//!     form P N                    limits P to format version N of the log from its next start on
//!     full P BLOCKS               limits each file of P to BLOCKS of 512 bytes from its next start on (0: no limit)
//!     slow P Q MS                 delays bytes from P to Q by MS
//!     jitter P Q MS               delays each piece by a random time from 0 to MS
//!     throttle P Q BYTES          limits the bandwidth to BYTES per second
//!     half P Q                    closes the connection of P to Q at Q only; P does not notice
//!     torn P Q                    ends the connection from P to Q in the middle of the next bytes
//!     heal                        ends all faults of links
//!     answers P TEXT : CALL       the answer to an operator's call, which is repeated, contains TEXT
//!     refused P TEXT              a start of P exits with status 2, and the last line of its output contains TEXT
//!     swap P Q                    moves the group folder of P to the place of Q's
//!     file P NAME TEXT            writes a file in the folder of P (\n is a line feed): inventory.csv, rules.toml
//!     hup P                       SIGHUP
//!     logged P TEXT               the log of P contains TEXT
//!     served P K / answered P K   request K at P is answered with a value / with a value or a refusal

use super::{run, Peers, STEP_TIMEOUT};

/// One line of a schedule, split into words.
pub(super) struct Step<'a> {
    pub(super) line: &'a str,
    pub(super) verb: &'a str,
    /// All words after the verb.
    pub(super) words: Vec<&'a str>,
    /// The processes named by the leading words.
    pub(super) processes: Vec<usize>,
}

impl Step<'_> {
    /// Returns the process that the step concerns.
    pub(super) fn process(&self) -> usize {
        self.processes[0]
    }

    /// Returns the two processes whose link the step concerns.
    pub(super) fn link(&self) -> (usize, usize) {
        (self.processes[0], self.processes[1])
    }

    /// Returns the words from the given one on.
    pub(super) fn text_from(&self, word: usize) -> String {
        self.words[word..].join(" ")
    }

    /// Parses a word as a number.
    pub(super) fn number(&self, word: usize) -> u64 {
        self.words[word].parse().expect("a number")
    }
}

impl Peers {
    /// Runs these steps one after the other.
    pub async fn steps(&mut self, lines: &[&str]) {
        for line in lines {
            self.step(line).await;
        }
    }

    /// Runs one step, and panics with all logs if it fails.
    pub async fn step(&mut self, line: &str) {
        let mut words = line.split_ascii_whitespace();
        let Some(verb) = words.next() else {
            return;
        };
        let words: Vec<&str> = words.collect();
        let mut processes = Vec::new();
        for word in &words {
            if *word != "leader" && word.parse::<usize>().is_err() {
                break;
            }
            processes.push(self.process(word).await);
        }
        let step = Step {
            line,
            verb,
            words,
            processes,
        };
        self.run_step(&step).await;
    }

    async fn run_step(&mut self, step: &Step<'_>) {
        match step.verb {
            "start" | "kill" | "freeze" | "thaw" | "hup" | "wipe" | "swap" | "file" | "form"
            | "full" => self.change_process(step),
            "term" => self.terminate(step).await,
            "runs" => self.expect_running(step).await,
            "refused" => self.expect_refused(step).await,
            "cut" | "mute" | "torn" | "jitter" | "throttle" | "half" | "slow" | "split"
            | "heal" => self.change_links(step),
            "whole" | "led" => self.expect_leader(step).await,
            "call" => self.expect_answer(step).await,
            "begin" => self.begin_call(step),
            "ended" => self.expect_pending_answer(step).await,
            "out" => self.expect_excluded(step).await,
            "says" => self.expect_status(step).await,
            "stored" => self.expect_stored(step).await,
            "answers" => self.expect_answer_containing(step).await,
            "logged" => self.expect_logged(step).await,
            "served" | "answered" => self.expect_served(step).await,
            _ => panic!("unknown step: {}", step.line),
        }
    }
}

/// Plays a schedule with a group of `size` members.
pub fn play(size: usize, schedule: &str) {
    play_with_followers(size, 0, schedule);
}

/// Plays a schedule with a group of `size` members and a number of followers.
pub fn play_with_followers(size: usize, followers: usize, schedule: &str) {
    run(async {
        let mut peers = Peers::new(size, followers).await;
        for line in schedule
            .lines()
            .map(str::trim)
            .filter(|l| !l.starts_with('#'))
        {
            let done = tokio::time::timeout(2 * STEP_TIMEOUT, peers.step(line)).await;
            assert!(done.is_ok(), "step timed out: {line}{}", peers.logs());
        }
    });
}
