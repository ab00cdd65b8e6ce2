//! Implements the steps of a schedule.

use super::clients::call_operator;
use super::relay::Fault;
use super::schedule::Step;
use super::{Peers, CALL_BASE_PORT, CLIENT_BASE_PORT, STEP_TIMEOUT};
use std::process::{Output, Stdio};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Pause between two polls of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

impl Peers {
    /// Returns the process that a word of a step names.
    pub(super) async fn process(&self, word: &str) -> usize {
        if word != "leader" {
            return word.parse().unwrap_or_else(|_| panic!("no process {word}"));
        }
        let began = Instant::now();
        loop {
            for i in 0..self.size {
                let answer = self.call(i, "GROUP STATUS").await;
                if answer.contains("role=leader") {
                    return i;
                }
            }
            assert!(
                began.elapsed() < STEP_TIMEOUT,
                "no process is the leader{}",
                self.logs()
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Polls a condition until it holds, and panics after a timeout.
    async fn wait_until(&self, line: &str, condition: impl AsyncFn() -> Result<(), String>) {
        let began = Instant::now();
        loop {
            match condition().await {
                Ok(()) => return,
                Err(seen) => {
                    assert!(
                        began.elapsed() < STEP_TIMEOUT,
                        "{line}: {seen}{}",
                        self.logs()
                    );
                    sleep(POLL_INTERVAL).await;
                }
            }
        }
    }

    /// Steps that change processes or their files, and wait for nothing.
    pub(super) fn change_process(&mut self, step: &Step) {
        match step.verb {
            "start" => step.processes.iter().for_each(|i| self.start(*i)),
            "kill" => {
                let mut program = self.programs[step.process()].take().expect("a process");
                program.kill().unwrap();
                program.wait().unwrap();
            }
            "freeze" => self.signal(step.process(), "-STOP"),
            "thaw" => self.signal(step.process(), "-CONT"),
            "hup" => self.signal(step.process(), "-HUP"),
            "wipe" => std::fs::remove_dir_all(self.home(step.process()).join("group")).unwrap(),
            "swap" => {
                let (from, to) = step.link();
                let group = |i| self.home(i).join("group");
                std::fs::rename(group(from), group(to)).unwrap();
            }
            "file" => {
                let text = step.line.splitn(4, ' ').nth(3).unwrap_or("");
                let path = self.home(step.process()).join(step.words[1]);
                std::fs::write(path, text.replace("\\n", "\n")).unwrap();
            }
            "form" => {
                self.format_versions[step.process()] = Some(step.words[1].parse().unwrap());
                self.write_operator_file(step.process(), &(0..self.members).collect::<Vec<_>>());
            }
            "full" => self.max_file_blocks[step.process()] = step.number(1),
            _ => unreachable!("{}", step.line),
        }
    }

    pub(super) async fn terminate(&mut self, step: &Step<'_>) {
        let line = step.line;
        self.signal(step.process(), "-TERM");
        let mut program = self.programs[step.process()].take().unwrap();
        let began = Instant::now();
        let status = loop {
            if let Some(status) = program.try_wait().unwrap() {
                break status;
            }
            assert!(
                began.elapsed() < STEP_TIMEOUT,
                "{line}: the process does not exit"
            );
            sleep(Duration::from_millis(10)).await;
        };
        assert!(status.success(), "{line}: {status}{}", self.logs());
    }

    pub(super) async fn expect_running(&self, step: &Step<'_>) {
        sleep(Duration::from_millis(step.number(1))).await;
        assert!(
            self.is_running(step.process()),
            "{}: the process has exited{}",
            step.line,
            self.logs()
        );
    }

    pub(super) async fn expect_refused(&self, step: &Step<'_>) {
        let Output { status, stderr, .. } = self.run_to_end(step.process()).await;
        let output = String::from_utf8_lossy(&stderr).to_string();
        let last = output.lines().last().unwrap_or("");
        assert!(
            status.code() == Some(2) && last.contains(&step.text_from(1)),
            "{}: {output}",
            step.line
        );
    }

    /// Starts a second process from the files of process `i`, which is expected to exit, and
    /// returns its output.
    async fn run_to_end(&self, i: usize) -> Output {
        let mut second = self.command(i).stderr(Stdio::piped()).spawn().unwrap();
        let began = Instant::now();
        while second.try_wait().unwrap().is_none() && began.elapsed() < STEP_TIMEOUT {
            sleep(Duration::from_millis(5)).await;
        }
        let _ = second.kill();
        second.wait_with_output().unwrap()
    }

    /// Steps that change what the relays do.
    pub(super) fn change_links(&mut self, step: &Step) {
        let mut links = self.links.borrow_mut();
        let fault = match step.verb {
            "cut" => Fault::Cut,
            "mute" => Fault::Mute,
            "torn" => Fault::Torn,
            "half" => Fault::Half,
            "jitter" => Fault::Jitter(step.words[2].parse().unwrap()),
            "throttle" => Fault::Throttle(step.words[2].parse().unwrap()),
            "slow" => Fault::Slow(step.words[2].parse().unwrap()),
            "split" => {
                let process = step.process();
                let is_of_process = |link: &(usize, usize)| link.0 == process || link.1 == process;
                let all = links.iter_mut().filter(|(link, _)| is_of_process(link));
                return all.for_each(|(_, link)| *link = Fault::Cut);
            }
            "heal" => return links.values_mut().for_each(|link| *link = Fault::None),
            _ => unreachable!("{}", step.line),
        };
        links.insert(step.link(), fault);
    }

    /// Waits until these processes agree on a leader, and for `whole` also until all of them vote.
    pub(super) async fn expect_leader(&self, step: &Step<'_>) {
        let all = &step.processes;
        self.wait_until(step.line, async || {
            let mut leaders = Vec::new();
            for i in all {
                let answer = self.call(*i, "GROUP STATUS").await;
                let votes = answer.matches(":votes").count();
                if !answer.starts_with("ACK") || (step.verb == "whole" && votes < all.len()) {
                    return Err(answer);
                }
                let rest = answer.split("leader=").nth(1);
                leaders.push(rest.and_then(|text| text.split(' ').next().map(String::from)));
            }
            leaders.dedup();
            match leaders.len() {
                1 => Ok(()),
                _ => Err(format!("{leaders:?}")),
            }
        })
        .await;
    }

    pub(super) async fn expect_answer(&self, step: &Step<'_>) {
        let mut text = step.text_from(2);
        for i in 0..self.size {
            text = text.replace(&format!("@{i}"), &self.link(i));
        }
        let answer = self.call(step.process(), &text).await;
        assert!(
            answer.starts_with(step.words[1]),
            "{}: {answer}{}",
            step.line,
            self.logs()
        );
    }

    pub(super) fn begin_call(&mut self, step: &Step) {
        let at = format!("{}:{}", self.host, CALL_BASE_PORT + step.process());
        self.pending_call = Some(spawn_local(call_operator(at, step.text_from(1))));
    }

    pub(super) async fn expect_pending_answer(&mut self, step: &Step<'_>) {
        let answer = self.pending_call.take().expect("a call").await.unwrap();
        let words = step.text_from(0);
        let expected = match words.strip_prefix("either ") {
            Some(words) => words.split(" or ").collect(),
            None => vec![step.words[0]],
        };
        let matches = expected.iter().any(|word| answer.starts_with(word));
        assert!(matches, "{}: {answer}{}", step.line, self.logs());
    }

    pub(super) async fn expect_excluded(&self, step: &Step<'_>) {
        let expected = step.text_from(1);
        self.wait_until(step.line, async || {
            let answer = self.call(step.process(), "GROUP OUT").await;
            let names = answer
                .split_once(": ")
                .map_or("", |(_, names)| names.trim());
            if answer.starts_with("ACK") && names == expected {
                return Ok(());
            }
            Err(answer)
        })
        .await;
    }

    pub(super) async fn expect_status(&self, step: &Step<'_>) {
        let expected = step.text_from(1);
        self.wait_until(step.line, async || {
            let answer = self.call(step.process(), "GROUP STATUS").await;
            contains(answer, &expected)
        })
        .await;
    }

    pub(super) async fn expect_stored(&self, step: &Step<'_>) {
        self.wait_until(step.line, async || {
            let answer = self.call(step.process(), "GROUP STATUS").await;
            let number = |key: &str| -> Option<u64> {
                let mut words = answer.split_ascii_whitespace();
                words.find_map(|word| word.strip_prefix(key))?.parse().ok()
            };
            match (number("applied="), number("stored=")) {
                (Some(applied), Some(stored)) if stored >= applied => Ok(()),
                _ => Err(answer),
            }
        })
        .await;
    }

    pub(super) async fn expect_answer_containing(&self, step: &Step<'_>) {
        let (text, call) = step.line.split_once(" : ").expect("a text and a call");
        let expected = text.splitn(3, ' ').nth(2).expect("a text");
        self.wait_until(step.line, async || {
            contains(self.call(step.process(), call).await, expected)
        })
        .await;
    }

    pub(super) async fn expect_logged(&self, step: &Step<'_>) {
        let expected = step.text_from(1);
        let path = self.home(step.process()).join("log");
        self.wait_until(step.line, async || {
            let log = std::fs::read_to_string(&path).unwrap_or_default();
            contains(log, &expected).map_err(|_| "not logged".into())
        })
        .await;
    }

    /// Sends a request that must be answered with a value, or for `answered` with a value or a
    /// refusal.
    pub(super) async fn expect_served(&self, step: &Step<'_>) {
        let terms = "c=fetch-episode,t=city,d=2000,units=1,spread=1,first=0";
        let (id, text) = (step.words[1], format!("${}\r\n{terms}", terms.len()));
        let request = format!(
            "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n${}\r\n{id}\r\n{text}\r\n",
            id.len()
        );
        let at = format!("{}:{}", self.host, CLIENT_BASE_PORT + step.process());
        let mut stream = TcpStream::connect(at).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        while !is_whole_answer(&answer) {
            let read = stream.read_buf(&mut answer).await.unwrap();
            assert!(read > 0, "{}", step.line);
        }
        let answer = String::from_utf8_lossy(&answer).to_string();
        // Without a counter this ingress has only a part of the quota, and refuses requests beyond
        // it.
        let busy = step.verb == "answered" && answer.starts_with("-BUSY");
        assert!(busy || answer.contains("news"), "{}: {answer}", step.line);
    }
}

fn is_whole_answer(answer: &[u8]) -> bool {
    let is_value = answer.starts_with(b"$");
    answer.ends_with(b"\r\n") && (!is_value || answer.ends_with(b"news\r\n"))
}

fn contains(answer: String, expected: &str) -> Result<(), String> {
    if answer.contains(expected) {
        Ok(())
    } else {
        Err(answer)
    }
}
