//! A group of real processes with followers. Every link passes through a counting relay.

use super::process::Process;
use super::relay::{Relay, RelayCounts};
use crate::experiment::{Measurement, Unit};
use crate::hollow::Traffic;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const SETTINGS: &str = include_str!("../ingress_settings.json");
const MEMBERS: usize = 3;
/// Ports of the processes are these bases plus the index of the process.
const FRONT_PORT: usize = 7000;
const CALL_PORT: usize = 9000;
const LINK_PORT: usize = 10_000;
const MEMBER_RELAY_PORT: usize = 20_000;
const FOLLOWER_RELAY_PORT: usize = 21_000;
/// Time limit for the group to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval between two checks of the group's status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit for the answer to an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Time after the start in which every follower receives its replica.
const SETTLING: Duration = Duration::from_secs(3);

/// Why a group of real processes could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum RealError {
    /// A process, file or socket operation failed.
    #[error("a process, file or socket operation failed: {0}")]
    System(#[from] io::Error),
    /// The group did not become ready.
    #[error("the group is not ready after {START_TIMEOUT:?}: {0}")]
    NotReady(String),
    /// `group init` failed.
    #[error("`group init` failed: {0}")]
    Init(String),
}

/// Traffic of all relays and processor times up to one time.
#[derive(Clone, Debug, Default)]
struct Counts {
    /// Traffic from one member to another.
    members: BTreeMap<(usize, usize), RelayCounts>,
    /// Traffic between each member and all its followers.
    followers: Vec<RelayCounts>,
    /// Processor time of the group's thread, by process.
    cpu: Vec<Duration>,
}

/// Members and followers, each a process. The processes end when this value is dropped.
pub struct RealGroup {
    program: PathBuf,
    host: String,
    folder: TempDir,
    processes: Vec<Process>,
    member_relays: BTreeMap<(usize, usize), Relay>,
    follower_relays: Vec<Relay>,
}

impl RealGroup {
    /// Starts a group of three members and `followers` followers with this build of the program.
    ///
    /// # Errors
    /// The group does not become ready.
    pub fn start(program: &Path, followers: usize) -> Result<RealGroup, RealError> {
        let process = std::process::id();
        let mut group = RealGroup {
            program: program.into(),
            host: format!("127.{}.{}.9", 10 + process % 200, process / 200 % 250),
            folder: tempfile::tempdir()?,
            processes: Vec::new(),
            member_relays: BTreeMap::new(),
            follower_relays: Vec::new(),
        };
        group.start_relays()?;
        for index in 0..MEMBERS + followers {
            group.write_files(index)?;
        }
        group.init_group()?;
        // Followers that connect before all members vote would all stay with the first member.
        for indexes in [0..MEMBERS, MEMBERS..MEMBERS + followers] {
            for index in indexes {
                let process = Process::start(&mut group.command(index)?)?;
                group.processes.push(process);
            }
            group.await_ready()?;
        }
        sleep(SETTLING);
        Ok(group)
    }

    fn address(&self, port: usize) -> Result<SocketAddr, RealError> {
        format!("{}:{port}", self.host)
            .parse()
            .map_err(|e| RealError::System(io::Error::other(e)))
    }

    fn start_relays(&mut self) -> Result<(), RealError> {
        for to in 0..MEMBERS {
            let link = self.address(LINK_PORT + to)?;
            let listen = self.address(FOLLOWER_RELAY_PORT + to)?;
            self.follower_relays.push(Relay::start(listen, link)?);
            for from in (0..MEMBERS).filter(|from| *from != to) {
                let listen = self.address(member_relay_port(from, to))?;
                self.member_relays
                    .insert((from, to), Relay::start(listen, link)?);
            }
        }
        Ok(())
    }

    fn home(&self, index: usize) -> PathBuf {
        self.folder.path().join(name(index))
    }

    fn write_files(&self, index: usize) -> Result<(), RealError> {
        let home = self.home(index);
        std::fs::create_dir_all(&home)?;
        let config = format!(
            r#"{{"name":"{}","listen":"{host}:{}","operator":"{host}:{}","settings":{SETTINGS},
                "known":{{"version":1,"full":true,"servers":[]}}}}"#,
            name(index),
            FRONT_PORT + index,
            CALL_PORT + index,
            host = self.host,
        );
        std::fs::write(home.join("config.json"), config)?;
        std::fs::write(home.join("operator.toml"), self.operator_file(index))?;
        Ok(())
    }

    fn operator_file(&self, index: usize) -> String {
        let mut text = String::from("[group]\n");
        if index < MEMBERS {
            // Writing to a string does not fail.
            let _ = writeln!(
                text,
                "listen = \"{}:{}\"\nfolder = \"group\"",
                self.host,
                LINK_PORT + index
            );
        }
        text.push_str("[group.members]\n");
        for member in 0..MEMBERS {
            let port = match index {
                _ if index == member => LINK_PORT + member,
                _ if index < MEMBERS => member_relay_port(index, member),
                _ => FOLLOWER_RELAY_PORT + member,
            };
            let _ = writeln!(text, "{} = \"{}:{port}\"", name(member), self.host);
        }
        text
    }

    /// Returns the command that starts the program as the ingress with this index.
    fn command(&self, index: usize) -> io::Result<Command> {
        let home = self.home(index);
        let log = std::fs::File::create(home.join("log"))?;
        let mut command = Command::new(&self.program);
        command
            .env("EDGE_CONFIG", home.join("config.json"))
            .env("DRIFTGAP_OPERATOR", home.join("operator.toml"))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        Ok(command)
    }

    fn init_group(&self) -> Result<(), RealError> {
        let output = self
            .command(0)?
            .args(["group", "init"])
            .stderr(Stdio::piped())
            .output()?;
        if output.status.success() {
            return Ok(());
        }
        Err(RealError::Init(
            String::from_utf8_lossy(&output.stderr).trim().into(),
        ))
    }

    /// Sends an operator's call and returns the answer, or an empty string if the call failed.
    fn call(&self, index: usize, text: &str) -> String {
        let call_and_read = || -> Result<String, RealError> {
            let mut stream = TcpStream::connect(self.address(CALL_PORT + index)?)?;
            stream.set_read_timeout(Some(CALL_TIMEOUT))?;
            stream.write_all(format!("{text}\n").as_bytes())?;
            let mut answer = String::new();
            stream.read_to_string(&mut answer)?;
            Ok(answer)
        };
        call_and_read().unwrap_or_default()
    }

    /// Checks that a process reports that all members vote, or that it follows a member.
    fn is_up(&self, index: usize) -> Result<(), String> {
        let answer = self.call(index, "GROUP STATUS");
        let votes = answer.matches(":votes").count() == MEMBERS;
        let follows = index >= MEMBERS && answer.contains("role=beside");
        match answer.starts_with("ACK") && (votes || follows) {
            true => Ok(()),
            false => Err(format!("{}: {answer:?}", name(index))),
        }
    }

    fn await_ready(&self) -> Result<(), RealError> {
        let began = Instant::now();
        for index in 0..self.processes.len() {
            while let Err(status) = self.is_up(index) {
                if began.elapsed() > START_TIMEOUT {
                    return Err(RealError::NotReady(status));
                }
                sleep(POLL_INTERVAL);
            }
        }
        Ok(())
    }

    fn leader(&self) -> Option<usize> {
        (0..MEMBERS).find(|index| self.call(*index, "GROUP STATUS").contains("role=leader"))
    }

    fn counts(&self) -> Result<Counts, RealError> {
        let cpu: io::Result<Vec<Duration>> =
            self.processes.iter().map(Process::group_cpu).collect();
        Ok(Counts {
            members: self
                .member_relays
                .iter()
                .map(|(link, relay)| (*link, relay.counts()))
                .collect(),
            followers: self.follower_relays.iter().map(Relay::counts).collect(),
            cpu: cpu?,
        })
    }

    /// Measures an idle second of the group, averaged over a longer time. The quantities have the
    /// same names as those of the simulated group.
    ///
    /// # Errors
    /// A process has ended, or the group has no leader.
    pub fn idle_second(&self, over: Duration) -> Result<Vec<Measurement>, RealError> {
        let leader = self
            .leader()
            .ok_or_else(|| RealError::NotReady("the group has no leader".into()))?;
        let (began, before) = (Instant::now(), self.counts()?);
        sleep(over);
        let (seconds, after) = (began.elapsed().as_secs_f64(), self.counts()?);
        let since = after.since(&before);
        let followers = self.processes.len() - MEMBERS;
        let busiest = (0..MEMBERS)
            .filter(|member| *member != leader)
            .max_by_key(|member| since.sent_by(*member).bytes)
            .unwrap_or_default();
        let mut results = since.member_second("leader_second", leader, seconds);
        results.extend(since.member_second("member_second", busiest, seconds));
        results.extend(since.follower_second(followers, seconds));
        let resident = |index: usize| self.processes[index].resident().map(|bytes| bytes as f64);
        let all: io::Result<Vec<f64>> = (MEMBERS..self.processes.len()).map(resident).collect();
        results.push(Measurement::timed(
            "leader_resident",
            Unit::Bytes,
            resident(leader)?,
        ));
        results.push(Measurement::timed(
            "follower_resident",
            Unit::Bytes,
            all?.iter().sum::<f64>() / followers as f64,
        ));
        Ok(results)
    }
}

impl Counts {
    fn since(&self, earlier: &Counts) -> Counts {
        let then = |link: &(usize, usize)| earlier.members.get(link).copied().unwrap_or_default();
        let followers = self.followers.iter().zip(&earlier.followers);
        let cpu = self.cpu.iter().zip(&earlier.cpu);
        Counts {
            members: self
                .members
                .iter()
                .map(|(link, counts)| (*link, counts.since(then(link))))
                .collect(),
            followers: followers.map(|(now, then)| now.since(*then)).collect(),
            cpu: cpu.map(|(now, then)| now.saturating_sub(*then)).collect(),
        }
    }

    /// Returns the traffic that a member has sent to other members and to its followers.
    fn sent_by(&self, member: usize) -> Traffic {
        let to_members = self
            .members
            .iter()
            .filter(|((from, _), _)| *from == member)
            .map(|(_, counts)| counts.to_server);
        sum(to_members.chain([self.followers[member].to_client]))
    }

    fn received_by(&self, member: usize) -> Traffic {
        let from_members = self
            .members
            .iter()
            .filter(|((_, to), _)| *to == member)
            .map(|(_, counts)| counts.to_server);
        sum(from_members.chain([self.followers[member].to_server]))
    }

    fn member_second(&self, role: &str, member: usize, seconds: f64) -> Vec<Measurement> {
        second(
            role,
            self.sent_by(member),
            self.received_by(member),
            self.cpu[member],
            seconds,
        )
    }

    /// Returns the quantities of a second of the mean follower.
    fn follower_second(&self, followers: usize, seconds: f64) -> Vec<Measurement> {
        let sent = sum(self.followers.iter().map(|counts| counts.to_server));
        let received = sum(self.followers.iter().map(|counts| counts.to_client));
        let cpu = self.cpu[MEMBERS..].iter().sum();
        second(
            "follower_second",
            sent,
            received,
            cpu,
            seconds * followers as f64,
        )
    }
}

fn sum(traffic: impl Iterator<Item = Traffic>) -> Traffic {
    traffic.fold(Traffic::default(), |sum, one| Traffic {
        messages: sum.messages + one.messages,
        bytes: sum.bytes + one.bytes,
    })
}

fn second(
    role: &str,
    sent: Traffic,
    received: Traffic,
    cpu: Duration,
    seconds: f64,
) -> Vec<Measurement> {
    let each = |name: &str, unit, value: f64| {
        Measurement::timed(format!("{role}_{name}"), unit, value / seconds)
    };
    vec![
        each("sent_messages", Unit::Messages, sent.messages as f64),
        each("sent_bytes", Unit::Bytes, sent.bytes as f64),
        each(
            "received_messages",
            Unit::Messages,
            received.messages as f64,
        ),
        each("received_bytes", Unit::Bytes, received.bytes as f64),
        each("cpu", Unit::Microseconds, cpu.as_secs_f64() * 1e6),
    ]
}

fn member_relay_port(from: usize, to: usize) -> usize {
    MEMBER_RELAY_PORT + MEMBERS * from + to
}

fn name(index: usize) -> String {
    match index < MEMBERS {
        true => format!("m{index}"),
        false => format!("f{}", index - MEMBERS),
    }
}
