//! The language that drives the processes; `steps.rs` carries it out. `P` is a process by its number, or `leader`; one line, one step:
//!
//!     start P ...                 those that do not run are started (the first line of all begins the group at 0)
//!     whole P ...                 these all vote, and know who leads
//!     led P ...                   these know who leads, and agree on it
//!     call P WORD TEXT            an operator's call; the answer begins with the word (@P stands for P's link)
//!     out P NAME ...              what P knows to be out, asked until it is so (no names: nothing)
//!     stored P                    follower P's copy on its disk holds all that P shows, asked until it is so
//!     says P TEXT                 P's `GROUP STATUS` holds this text, asked until it is so
//!     begin P TEXT                a call whose answer is waited for later
//!     ended WORD                  that call's answer begins with the word (`either A or B`: with one of these)
//!     kill P / freeze P / thaw P  SIGKILL, SIGSTOP, SIGCONT
//!     runs P MS                   P runs, and still does after so long
//!     term P                      SIGTERM, and it ends with status 0
//!     wipe P                      its folder is gone
//!     cut P Q / mute P Q          bytes from P to Q: connections end and none come up / all are swallowed
//!     split P                     cut both ways between P and all others
//!     form P N                    P's file allows this form of the log at most, from its next start on
//!     full P BLOCKS               from its next start on P's files hold so many blocks of 512 bytes at most (0: as it likes)
//!     slow P Q MS                 bytes from P to Q come so much later
//!     jitter P Q MS               each piece comes 0 to MS later
//!     throttle P Q BYTES          so many bytes come through a second, at most
//!     half P Q                    the connection of P to Q ends at Q, and P is never told
//!     torn P Q                    the link from P to Q is reset in the middle of what it carries next
//!     heal                        every link is as it should be
//!     answers P TEXT : CALL       a call at P, repeated until the answer holds the text
//!     refused P TEXT              starting P fails with status 2 and one line that holds the text
//!     swap P Q                    P's folder is put in the place of Q's
//!     file P NAME TEXT            a file in P's folder holds this (\n are escapes): inventory.csv, rules.toml
//!     hup P                       SIGHUP
//!     logged P TEXT               P's log holds this text, asked until it is so
//!     served P K / answered P K   a request at P is answered with a value / with one final answer

use super::{run, Peers, LONG};

/// One line of a schedule.
pub(super) struct Step<'a> {
    pub(super) line: &'a str,
    pub(super) verb: &'a str,
    /// All words behind the verb.
    pub(super) words: Vec<&'a str>,
    /// The processes that the first of them name.
    pub(super) processes: Vec<usize>,
}

impl Step<'_> {
    /// The one process that it is about.
    pub(super) fn process(&self) -> usize {
        self.processes[0]
    }

    /// The two processes whose link it is about.
    pub(super) fn link(&self) -> (usize, usize) {
        (self.processes[0], self.processes[1])
    }

    /// The words from this one on.
    pub(super) fn text_from(&self, word: usize) -> String {
        self.words[word..].join(" ")
    }

    /// This word as a number.
    pub(super) fn number(&self, word: usize) -> u64 {
        self.words[word].parse().expect("a number")
    }
}

impl Peers {
    /// Takes these steps, one after the other.
    pub async fn steps(&mut self, lines: &[&str]) {
        for line in lines {
            self.step(line).await;
        }
    }

    /// Takes one step, and panics with all logs where it fails.
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
        self.take_step(&step).await;
    }

    async fn take_step(&mut self, step: &Step<'_>) {
        match step.verb {
            "start" | "kill" | "freeze" | "thaw" | "hup" | "wipe" | "swap" | "file" | "form"
            | "full" => self.change_process(step),
            "term" => self.terminate(step).await,
            "runs" => self.expect_running(step).await,
            "refused" => self.expect_refused(step).await,
            "cut" | "mute" | "torn" | "jitter" | "throttle" | "half" | "slow" | "split"
            | "heal" => self.change_links(step),
            "whole" | "led" => self.expect_led(step).await,
            "call" => self.expect_answer(step).await,
            "begin" => self.begin_call(step),
            "ended" => self.expect_begun_answer(step).await,
            "out" => self.expect_excluded(step).await,
            "says" => self.expect_status(step).await,
            "stored" => self.expect_stored(step).await,
            "answers" => self.expect_answer_in_time(step).await,
            "logged" => self.expect_logged(step).await,
            "served" | "answered" => self.expect_served(step).await,
            _ => panic!("no such step: {}", step.line),
        }
    }
}

/// Plays a schedule with a group of this size.
pub fn play(size: usize, schedule: &str) {
    play_with_followers(size, 0, schedule);
}

/// Plays a schedule with a group of this size and ingresses beside it.
pub fn play_with_followers(size: usize, beside: usize, schedule: &str) {
    run(async {
        let mut peers = Peers::new(size, beside).await;
        for line in schedule
            .lines()
            .map(str::trim)
            .filter(|l| !l.starts_with('#'))
        {
            let done = tokio::time::timeout(2 * LONG, peers.step(line)).await;
            assert!(done.is_ok(), "nothing came of: {line}{}", peers.logs());
        }
    });
}
