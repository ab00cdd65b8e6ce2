//! The language that drives the processes. `P` is a process by its number, or `leader`; one line, one step:
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

use super::clients::call_operator;
use super::relay::Link;
use super::{run, Peers, CALLS, FRONT, LONG};
use std::process::Stdio;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::sleep;

impl Peers {
    /// The process that a word of a step names.
    async fn process(&self, word: &str) -> usize {
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
            assert!(began.elapsed() < LONG, "nobody leads{}", self.logs());
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn set_link(&self, from: usize, to: usize, how: Link) {
        self.links.borrow_mut().insert((from, to), how);
    }

    /// Asks until it is so, or for too long.
    async fn until(&self, line: &str, so: impl AsyncFn() -> Result<(), String>) {
        let began = Instant::now();
        loop {
            match so().await {
                Ok(()) => return,
                Err(seen) => {
                    assert!(began.elapsed() < LONG, "{line}: {seen}{}", self.logs());
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
    }

    /// Takes these steps, one after the other.
    pub async fn steps(&mut self, lines: &[&str]) {
        for line in lines {
            self.step(line).await;
        }
    }

    /// Takes one step, and panics with all logs where it fails.
    #[expect(clippy::too_many_lines, reason = "not split yet, see docs/ROADMAP.md")]
    pub async fn step(&mut self, line: &str) {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let Some((verb, rest)) = words.split_first() else {
            return;
        };
        let mut ids = Vec::new();
        for word in rest
            .iter()
            .take_while(|w| **w == "leader" || w.parse::<usize>().is_ok())
        {
            ids.push(self.process(word).await);
        }
        let tail = |n: usize| rest[n..].join(" ");
        match *verb {
            "start" => ids.iter().for_each(|i| self.start(*i)),
            "whole" | "led" => {
                let all = &ids;
                self.until(line, async || {
                    let mut leaders = Vec::new();
                    for i in all {
                        let answer = self.call(*i, "GROUP STATUS").await;
                        let votes = answer.matches(":votes").count();
                        if !answer.starts_with("ACK") || (*verb == "whole" && votes < all.len()) {
                            return Err(answer);
                        }
                        leaders.push(
                            answer
                                .split("leader=")
                                .nth(1)
                                .and_then(|w| w.split(' ').next().map(String::from)),
                        );
                    }
                    leaders.dedup();
                    if leaders.len() == 1 {
                        Ok(())
                    } else {
                        Err(format!("{leaders:?}"))
                    }
                })
                .await;
            }
            "call" => {
                let mut text = tail(2);
                (0..self.size).for_each(|i| text = text.replace(&format!("@{i}"), &self.link(i)));
                let answer = self.call(ids[0], &text).await;
                assert!(
                    answer.starts_with(rest[1]),
                    "{line}: {answer}{}",
                    self.logs()
                );
            }
            "begin" => {
                let at = format!("{}:{}", self.host, CALLS + ids[0]);
                self.begun = Some(spawn_local(call_operator(at, tail(1))));
            }
            "ended" => {
                let answer = self.begun.take().expect("a call").await.unwrap();
                let words = tail(0);
                let either = words
                    .strip_prefix("either ")
                    .map(|words| words.split(" or ").collect());
                let fits = either
                    .unwrap_or(vec![rest[0]])
                    .iter()
                    .any(|word| answer.starts_with(word));
                assert!(fits, "{line}: {answer}{}", self.logs());
            }
            "out" => {
                let want = tail(1);
                self.until(line, async || {
                    let answer = self.call(ids[0], "GROUP OUT").await;
                    let held = answer
                        .split_once(": ")
                        .map(|(_, names)| names.trim().to_string());
                    if answer.starts_with("ACK") && (held.as_deref().unwrap_or("") == want) {
                        return Ok(());
                    }
                    Err(answer)
                })
                .await;
            }
            "stored" => {
                self.until(line, async || {
                    let answer = self.call(ids[0], "GROUP STATUS").await;
                    let number = |key: &str| -> Option<u64> {
                        let mut words = answer.split_ascii_whitespace();
                        words.find_map(|w| w.strip_prefix(key))?.parse().ok()
                    };
                    match (number("applied="), number("stored=")) {
                        (Some(applied), Some(stored)) if stored >= applied => Ok(()),
                        _ => Err(answer),
                    }
                })
                .await;
            }
            "says" => {
                let want = tail(1);
                self.until(line, async || {
                    let answer = self.call(ids[0], "GROUP STATUS").await;
                    if answer.contains(&want) {
                        Ok(())
                    } else {
                        Err(answer)
                    }
                })
                .await;
            }
            "file" => {
                let text = line
                    .splitn(4, ' ')
                    .nth(3)
                    .unwrap_or("")
                    .replace("\\n", "\n");
                std::fs::write(self.home(ids[0]).join(rest[1]), text).unwrap();
            }
            "hup" => self.signal(ids[0], "-HUP"),
            "logged" => {
                let want = tail(1);
                self.until(line, async || {
                    let log =
                        std::fs::read_to_string(self.home(ids[0]).join("log")).unwrap_or_default();
                    if log.contains(&want) {
                        Ok(())
                    } else {
                        Err("not logged".into())
                    }
                })
                .await;
            }
            "kill" => {
                let mut program = self.programs[ids[0]].take().expect("a process");
                program.kill().unwrap();
                program.wait().unwrap();
            }
            "term" => {
                self.signal(ids[0], "-TERM");
                let mut program = self.programs[ids[0]].take().unwrap();
                let began = Instant::now();
                let status = loop {
                    if let Some(status) = program.try_wait().unwrap() {
                        break status;
                    }
                    assert!(began.elapsed() < LONG, "{line}: it does not end");
                    sleep(Duration::from_millis(10)).await;
                };
                assert!(status.success(), "{line}: {status}{}", self.logs());
            }
            "runs" => {
                sleep(Duration::from_millis(rest[1].parse().unwrap())).await;
                assert!(
                    self.is_running(ids[0]),
                    "{line}: it has ended{}",
                    self.logs()
                );
            }
            "freeze" => self.signal(ids[0], "-STOP"),
            "thaw" => self.signal(ids[0], "-CONT"),
            "wipe" => std::fs::remove_dir_all(self.home(ids[0]).join("group")).unwrap(),
            "swap" => std::fs::rename(
                self.home(ids[0]).join("group"),
                self.home(ids[1]).join("group"),
            )
            .unwrap(),
            "cut" => self.set_link(ids[0], ids[1], Link::Cut),
            "mute" => self.set_link(ids[0], ids[1], Link::Mute),
            "torn" => self.set_link(ids[0], ids[1], Link::Torn),
            "jitter" => self.set_link(ids[0], ids[1], Link::Jitter(rest[2].parse().unwrap())),
            "throttle" => self.set_link(ids[0], ids[1], Link::Throttle(rest[2].parse().unwrap())),
            "half" => self.set_link(ids[0], ids[1], Link::Half),
            "form" => {
                self.forms[ids[0]] = Some(rest[1].parse().unwrap());
                self.write_operator_file(ids[0], &(0..self.members).collect::<Vec<_>>());
            }
            "full" => self.room[ids[0]] = rest[1].parse().unwrap(),
            "answers" => {
                let (want, ask) = line.split_once(" : ").expect("a text and a call");
                let want = want
                    .split_once(' ')
                    .and_then(|(_, w)| w.split_once(' '))
                    .unwrap()
                    .1;
                self.until(line, async || {
                    let answer = self.call(ids[0], ask).await;
                    if answer.contains(want) {
                        Ok(())
                    } else {
                        Err(answer)
                    }
                })
                .await;
            }
            "slow" => self.set_link(ids[0], ids[1], Link::Slow(rest[2].parse().unwrap())),
            "split" => {
                let both = |way: &(usize, usize)| way.0 == ids[0] || way.1 == ids[0];
                let mut links = self.links.borrow_mut();
                links
                    .iter_mut()
                    .filter(|(way, _)| both(way))
                    .for_each(|(_, link)| *link = Link::Cut);
            }
            "heal" => self
                .links
                .borrow_mut()
                .values_mut()
                .for_each(|link| *link = Link::Sound),
            "refused" => {
                let mut second = self.request(ids[0]).stderr(Stdio::piped()).spawn().unwrap();
                let began = Instant::now();
                while second.try_wait().unwrap().is_none() && began.elapsed() < LONG {
                    sleep(Duration::from_millis(5)).await;
                }
                let _ = second.kill();
                let out = second.wait_with_output().unwrap();
                let said = String::from_utf8_lossy(&out.stderr).to_string();
                let last = said.lines().last().unwrap_or("");
                assert!(
                    out.status.code() == Some(2) && last.contains(&tail(1)),
                    "{line}: {said}"
                );
            }
            "served" | "answered" => {
                let terms = "c=fetch-episode,t=city,d=2000,units=1,spread=1,first=0";
                let (id, text) = (rest[1], format!("${}\r\n{terms}", terms.len()));
                let request = format!(
                    "*4\r\n$9\r\nSVC.QUERY\r\n$16\r\n0000000000000007\r\n${}\r\n{id}\r\n{text}\r\n",
                    id.len()
                );
                let mut stream = TcpStream::connect(format!("{}:{}", self.host, FRONT + ids[0]))
                    .await
                    .unwrap();
                stream.write_all(request.as_bytes()).await.unwrap();
                let mut answer = Vec::new();
                while !answer.ends_with(b"\r\n")
                    || answer.starts_with(b"$") && !answer.ends_with(b"news\r\n")
                {
                    assert!(stream.read_buf(&mut answer).await.unwrap() > 0, "{line}");
                }
                let answer = String::from_utf8_lossy(&answer).to_string();
                // Without a counter a part of the quota is this ingress's: beyond it a refusal is the one answer.
                let busy = *verb == "answered" && answer.starts_with("-BUSY");
                assert!(busy || answer.contains("news"), "{line}: {answer}");
            }
            _ => panic!("no such step: {line}"),
        }
    }
}

/// Plays a schedule with a group of this size.
pub fn play(size: usize, schedule: &str) {
    play_beside(size, 0, schedule);
}

/// Plays a schedule with a group of this size and ingresses beside it.
pub fn play_beside(size: usize, beside: usize, schedule: &str) {
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
